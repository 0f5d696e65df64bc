#include "memory_budget/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace waxwing {
namespace {

std::size_t scaled(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

std::size_t difference(std::size_t left, std::size_t right)
{
    return left > right ? left - right : 0;
}

} // namespace

std::string_view toString(memory_use use)
{
    switch (use) {
    case memory_use::Callers:
        return "callers";
    case memory_use::Answers:
        return "answers";
    case memory_use::Servers:
        return "servers";
    case memory_use::Hosts:
        return "hosts";
    case memory_use::Store:
        return "store";
    }
    return "unknown";
}

absl::StatusOr<memory_budget> memory_budget::create(const memory_budget_settings &settings)
{
    double reserved = 0;
    for (const memory_share &share : settings.shares) {
        if (share.reserved < 0 || share.most > 1 || share.reserved > share.most)
            return absl::InvalidArgumentError("a share of the memory budget is not within 0 to 1");
        reserved += share.reserved;
    }
    if (reserved > 1)
        return absl::InvalidArgumentError("more than the memory budget is reserved");
    return memory_budget(settings);
}

memory_budget::memory_budget(const memory_budget_settings &settings) : m_settings(settings) { }

std::size_t memory_budget::held() const
{
    return std::accumulate(m_held.begin(), m_held.end(), std::size_t{0});
}

std::size_t memory_budget::reserved(memory_use use) const
{
    return scaled(m_settings.bytes, m_settings.shares[indexOf(use)].reserved);
}

std::size_t memory_budget::most(memory_use use) const
{
    return scaled(m_settings.bytes, m_settings.shares[indexOf(use)].most);
}

std::size_t memory_budget::excess(memory_use use) const
{
    return difference(held(use), most(use));
}

std::size_t memory_budget::shortage() const
{
    std::size_t claimed = 0;
    for (const memory_use use : allMemoryUses)
        claimed += std::max(held(use), reserved(use));
    return difference(claimed, m_settings.bytes);
}

std::size_t memory_budget::room(memory_use use) const
{
    std::size_t others = 0;
    for (const memory_use each : allMemoryUses) {
        if (each != use)
            others += std::max(held(each), reserved(each));
    }
    const std::size_t largest = std::min(most(use), difference(m_settings.bytes, others));
    return difference(std::max(largest, reserved(use)), held(use));
}

void memory_budget::addReclaimer(memory_use use, reclaimer release)
{
    m_reclaimers[indexOf(use)].push_back(std::move(release));
}

void memory_budget::reclaim(memory_use use, std::size_t bytes)
{
    const std::size_t before = held(use);
    for (const reclaimer &release : m_reclaimers[indexOf(use)]) {
        const std::size_t released = difference(before, held(use));
        if (released >= bytes)
            return;
        release(bytes - released);
    }
}

bool memory_budget::makeRoom(memory_use use)
{
    if (const std::size_t over = excess(use); over > 0)
        reclaim(use, over);
    for (const memory_use each : allMemoryUses) {
        // A use that holds no more than what is reserved for it is in nobody's way.
        if (each > use || held(use) <= reserved(use))
            break;
        const std::size_t needed = std::min(shortage(), difference(held(each), reserved(each)));
        if (needed > 0)
            reclaim(each, needed);
    }
    return excess(use) == 0 && (held(use) <= reserved(use) || shortage() == 0);
}

} // namespace waxwing
