#include "memory_budget/eviction.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Progress that a holder is taken to make at least, in bytes a second. Keeps small holders that
/// have just begun from looking worse than large ones that are stalled.
constexpr double leastRate = 500;

/// Estimated time for which the bytes are held.
double holdingTime(const eviction_candidate &candidate)
{
    return static_cast<double>(candidate.held) / (candidate.rate + leastRate);
}

} // namespace

std::vector<std::uint64_t> chooseEvictions(std::vector<eviction_candidate> candidates,
                                           std::size_t bytes)
{
    std::size_t all = 0;
    for (const eviction_candidate &each : candidates)
        all += each.held;
    const std::size_t left = all > bytes ? all - bytes : 0;
    const std::size_t equalShare = candidates.empty() ? 0 : left / candidates.size();
    std::erase_if(candidates, [equalShare](const auto &each) { return each.held <= equalShare; });
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return holdingTime(a) > holdingTime(b); });
    std::vector<std::uint64_t> chosen;
    std::size_t released = 0;
    for (const eviction_candidate &each : candidates) {
        if (released >= bytes)
            break;
        released += each.held;
        chosen.push_back(each.number);
    }
    return chosen;
}

} // namespace waxwing
