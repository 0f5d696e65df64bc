#include "distribution/watcher_selection.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

std::pair<std::uint64_t, host_id> watcherRank(const member &host)
{
    const std::uint64_t seed = stableHash("configuration watcher");
    return {stableHash(host.host.value, seed), host.host};
}

} // namespace

bool isWatcher(const std::vector<member> &active, const host_id &self, std::uint32_t perZone)
{
    const auto own = std::find_if(active.begin(), active.end(),
                                  [&](const member &each) { return each.host == self; });
    if (own == active.end())
        return false;
    const auto rank = watcherRank(*own);
    const auto lower = std::count_if(active.begin(), active.end(), [&](const member &each) {
        return each.zone == own->zone && watcherRank(each) < rank;
    });
    return lower < static_cast<std::ptrdiff_t>(perZone);
}

} // namespace waxwing
