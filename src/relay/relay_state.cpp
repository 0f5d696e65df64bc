#include "relay/relay_dispatch.h"

#include <algorithm>

namespace waxwing::relay {

std::vector<store_watcher *> relay_state::parts::watchers()
{
    std::vector<store_watcher *> result{&routes, &servers};
    if (evacuationWatcher.has_value())
        result.push_back(&*evacuationWatcher);
    return result;
}

store_watcher *relay_state::parts::watcherOf(store_object_kind kind)
{
    const auto all = watchers();
    const auto found = std::find_if(
        all.begin(), all.end(), [kind](const store_watcher *each) { return each->kind() == kind; });
    return found == all.end() ? nullptr : *found;
}

std::uint64_t relay_state::parts::storeEra()
{
    std::uint64_t latest = 0;
    for (const store_watcher *each : watchers())
        latest = std::max(latest, each->era());
    return latest;
}

bool relay_state::parts::hasListed() const
{
    // Data of other hosts may be older than an evacuation that is already in force.
    return servers.hasListed()
        && (!evacuationWatcher.has_value() || evacuationWatcher->isConfirmed());
}

} // namespace waxwing::relay
