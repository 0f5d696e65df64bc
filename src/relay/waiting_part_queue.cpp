#include "relay/waiting_part_queue.h"

#include <algorithm>

namespace waxwing::relay {

waiting_part_queue::rank_pair waiting_part_queue::ranksOf(const waiting_part &waiting)
{
    return {waiting.customer.rank, waiting.rank};
}

void waiting_part_queue::add(const service_id &service, const waiting_part &waiting)
{
    m_queues[service][ranksOf(waiting)].add(waiting.customer.id, waiting.customer.weight, waiting);
}

template<typename Removal>
void waiting_part_queue::take(const service_id &service, const waiting_part &waiting,
                              Removal removal)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return;
    const auto ofRank = found->second.find(ranksOf(waiting));
    if (ofRank == found->second.end())
        return;
    removal(ofRank->second);
    if (ofRank->second.isForgettable())
        found->second.erase(ofRank);
    if (found->second.empty())
        m_queues.erase(found);
}

void waiting_part_queue::remove(const service_id &service, const waiting_part &waiting)
{
    take(service, waiting, [&waiting](fair_queue<waiting_part> &parts) {
        parts.remove(waiting.customer.id, waiting);
    });
}

void waiting_part_queue::serve(const service_id &service, const waiting_part &waiting)
{
    take(service, waiting, [&waiting](fair_queue<waiting_part> &parts) {
        parts.serve(waiting.customer.id, waiting);
    });
}

std::optional<waiting_part> waiting_part_queue::first(const service_id &service) const
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return std::nullopt;
    for (const auto &[ranks, parts] : found->second) {
        if (auto next = parts.first())
            return next;
    }
    return std::nullopt;
}

std::optional<waiting_part>
waiting_part_queue::first(const service_id &service,
                          const std::function<bool(const waiting_part &)> &isSkipped) const
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return std::nullopt;
    for (const auto &[ranks, parts] : found->second) {
        if (auto next = parts.firstUnless(isSkipped))
            return next;
    }
    return std::nullopt;
}

bool waiting_part_queue::isEmpty(const service_id &service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end()
        || std::all_of(found->second.begin(), found->second.end(),
                       [](const auto &each) { return each.second.size() == 0; });
}

std::size_t
waiting_part_queue::countAhead(const service_id &service, std::uint32_t rank,
                               const waiting_customer &customer,
                               const std::function<bool(const waiting_part &)> &isSkipped) const
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return 0;
    const rank_pair ranks{customer.rank, rank};
    std::size_t result = 0;
    for (const auto &[each, parts] : found->second) {
        if (each < ranks)
            result += parts.count(isSkipped);
        else if (each == ranks)
            result += parts.countAhead(customer.id, customer.weight, isSkipped);
    }
    return result;
}

} // namespace waxwing::relay
