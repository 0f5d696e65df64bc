#include "quota/owner_contact.h"

#include <iterator>

namespace waxwing {

owner_contact::state_kind owner_contact::state(time_point now) const
{
    if (isSilent(now))
        return state_kind::Lost;
    if (!m_confirmedAt.has_value() || now - *m_confirmedAt >= m_settings.contactLease)
        return state_kind::Unknown;
    return m_isServing ? state_kind::Confirmed : state_kind::Lost;
}

void owner_contact::onSent(std::uint64_t sequence, time_point now)
{
    const bool isLost = state(now) == state_kind::Lost;
    // A silent owner answers the next report; the unanswered ones are not needed.
    constexpr std::size_t maxUnanswered = 100;
    if (isSilent(now) || m_unanswered.size() >= maxUnanswered)
        m_unanswered.clear();
    m_unanswered.emplace(sequence, now);
    m_sentAt = now;
    m_requestedAt.reset();
    if (!m_silentSince.has_value())
        m_silentSince = now;
    m_reportAt = now + (isLost ? lostInterval(now) : m_settings.retransmission);
}

std::optional<time_point> owner_contact::onAnswer(std::uint64_t sequence, bool isServing,
                                                  time_point now)
{
    const auto found = m_unanswered.find(sequence);
    if (found == m_unanswered.end())
        return std::nullopt;
    const time_point sent = found->second;
    // Answers to older reports may still arrive, but say less.
    m_unanswered.erase(m_unanswered.begin(), std::next(found));
    m_silentSince.reset();
    if (!m_unanswered.empty())
        m_silentSince = m_unanswered.begin()->second;
    else
        m_reportAt = std::max(now, sent + m_settings.heartbeat);
    m_confirmedAt = sent;
    m_isServing = isServing;
    if (isServing)
        m_servedAt = sent;
    if (!isServing)
        m_reportAt = now + lostInterval(now);
    return sent;
}

} // namespace waxwing
