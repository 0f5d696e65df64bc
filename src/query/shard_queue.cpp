#include "query/shard_queue.h"

namespace waxwing {

void shard_queue::enqueue(const key &shard, const entry &waiting)
{
    m_waiting[shard].insert(waiting);
}

void shard_queue::remove(const key &shard, const entry &waiting)
{
    const auto found = m_waiting.find(shard);
    if (found == m_waiting.end())
        return;
    found->second.erase(waiting);
    if (found->second.empty())
        m_waiting.erase(found);
}

std::optional<shard_queue::entry> shard_queue::first(const key &shard) const
{
    const auto found = m_waiting.find(shard);
    if (found == m_waiting.end())
        return std::nullopt;
    return *found->second.begin();
}

} // namespace waxwing
