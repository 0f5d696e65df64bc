#include "http/connection_account.h"

namespace waxwing::http {

connection_account::connection_account(const connection_memory &memory)
    : m_received(memory.budget, memory.received), m_unsent(memory.budget, memory.unsent)
{ }

bool connection_account::holdUnsent(std::size_t bytes, time_point now)
{
    if (m_unsent.held() == 0)
        m_lastTaken = now;
    return m_unsent.hold(bytes);
}

void connection_account::onSent(std::size_t bytes, std::size_t unsent, time_point now)
{
    m_departures.add(bytes, now);
    m_lastTaken = now;
    m_unsent.setHeld(unsent);
}

eviction_candidate connection_account::asSender(std::uint64_t number, time_point now) const
{
    return {number, held(), m_arrivals.rate(now)};
}

eviction_candidate connection_account::asReader(std::uint64_t number, time_point now) const
{
    return {number, unsent(), m_departures.rate(now)};
}

} // namespace waxwing::http
