#include "membership/probe_schedule.h"

#include <utility>

namespace waxwing {
namespace {

bool isProbed(const member_table &members, const host_id &host)
{
    const member *known = members.find(host);
    return known != nullptr && known->state != member_state::Dead && host != members.self().host;
}

} // namespace

void probe_schedule::add(const host_id &host, random_engine &random)
{
    const auto left = static_cast<std::uint32_t>(m_order.size() - m_next);
    const std::size_t place = m_next + random(left + 1);
    m_order.insert(m_order.begin() + static_cast<std::ptrdiff_t>(place), host);
}

std::optional<host_id> probe_schedule::next(const member_table &members, random_engine &random)
{
    for (int round = 0; round < 2; ++round) {
        while (m_next < m_order.size()) {
            const host_id &host = m_order[m_next++];
            if (isProbed(members, host))
                return host;
        }
        startRound(members, random);
    }
    return std::nullopt;
}

void probe_schedule::startRound(const member_table &members, random_engine &random)
{
    m_next = 0;
    m_order.clear();
    for (const auto &[host, each] : members.all()) {
        if (isProbed(members, host))
            m_order.push_back(host);
    }
    for (std::size_t i = m_order.size(); i > 1; --i)
        std::swap(m_order[i - 1], m_order[random(static_cast<std::uint32_t>(i))]);
}

} // namespace waxwing
