#pragma once

#include "quota/quota_settings.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace waxwing {

/// Contact of a host with one owner of quotas: when reports are due, and how far its latest answer
/// can be relied on.
class owner_contact
{
public:
    /// A new contact reports at once. Until `startsUntil`, the host is starting and repeats reports
    /// to an owner that does not grant permits yet sooner.
    owner_contact(const quota_settings &settings, time_point startsUntil, time_point now)
        : m_settings(settings), m_startsUntil(startsUntil), m_reportAt(now)
    { }

    enum class state_kind {
        /// Nothing is known, because the host has just started or was suspended.
        Unknown,
        /// Answered within the lease.
        Confirmed,
        /// Did not answer in time, or does not own quotas.
        Lost,
    };
    state_kind state(time_point now) const;

    /// When the next report is due.
    time_point reportAt() const { return std::min(m_reportAt, m_requestedAt.value_or(m_reportAt)); }
    /// Requests a report at `at` at the latest.
    void reportBy(time_point at) { m_requestedAt = std::min(m_requestedAt.value_or(at), at); }
    /// Earliest time at which a report can ask for permits.
    time_point nextAskAt() const { return m_sentAt + m_settings.askInterval; }
    void onSent(std::uint64_t sequence, time_point now);
    /// Returns when the answered report was sent; empty if the answer is late or repeated.
    std::optional<time_point> onAnswer(std::uint64_t sequence, bool isServing, time_point now);
    /// Whether the owner may count this host among those that it shares quotas out to.
    bool isCounted(time_point now) const
    {
        return m_servedAt.has_value() && now - *m_servedAt < m_settings.contactLease;
    }

private:
    /// Time between two reports to a lost owner.
    std::chrono::milliseconds lostInterval(time_point now) const
    {
        return now < m_startsUntil ? m_settings.startInterval : m_settings.lostInterval;
    }
    bool isSilent(time_point now) const
    {
        return m_silentSince.has_value() && now - *m_silentSince >= m_settings.ownerTimeout;
    }

    quota_settings m_settings;
    time_point m_startsUntil;
    /// When a report is due without a request.
    time_point m_reportAt;
    std::optional<time_point> m_requestedAt;
    time_point m_sentAt{};
    /// Sending times of reports that are not answered.
    std::map<std::uint64_t, time_point> m_unanswered;
    /// Since when no report is answered.
    std::optional<time_point> m_silentSince;
    /// When the latest report that was answered was sent.
    std::optional<time_point> m_confirmedAt;
    /// The same for answers of an owner that grants permits.
    std::optional<time_point> m_servedAt;
    bool m_isServing = true;
};

} // namespace waxwing
