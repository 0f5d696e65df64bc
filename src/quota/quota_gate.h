#pragma once

#include "quota/owner_contact.h"
#include "quota/quota_usage.h"
#include "quota/quota_view.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace waxwing {

/// Admission of the requests of organisations with a quota on one host.
///
/// Admits requests of an open organisation at once and reports them to the owner of its quota.
/// Requests of a limited one wait for a permit of the owner. While no owner answers, the host uses
/// its equal share of the quota.
class quota_gate
{
public:
    explicit quota_gate(const quota_settings &settings) : m_settings(settings) { }

    /// Starts. One request of each organisation is admitted without an owner in the first
    /// `startHold`.
    void start(const host_id &self, time_point now, wall_time wall);
    void setQuotas(std::shared_ptr<const quota_table> quotas) { m_quotas = std::move(quotas); }
    void setView(const quota_view &view, time_point now);

    /// Decides on a request, which is known by `id` if it has to wait. From `lateAt` on it can no
    /// longer be answered within its latency target; others then get permits before it.
    quota_decision admit(std::uint64_t id, std::uint64_t organisation, time_point now,
                         time_point lateAt = time_point::max());
    /// Removes a waiting request. Returns whether there was one.
    bool cancel(std::uint64_t id);
    /// Handles an answer or a notice of an owner.
    void onAnswer(const host_id &owner, const quota_message &answer, time_point now);
    /// Sends what is due and ends waits that are too long. Called after every event.
    void onTick(time_point now);
    std::optional<time_point> nextDeadline() const;

    /// Report to an owner.
    using outgoing = std::pair<host_id, quota_message>;
    std::vector<outgoing> takeReports() { return std::exchange(m_reports, {}); }
    /// Waiting requests that were decided on.
    std::vector<std::pair<std::uint64_t, quota_decision>> takeDecisions()
    {
        return std::exchange(m_decisions, {});
    }

    /// Contact with each owner.
    const std::map<host_id, owner_contact> &contacts() const { return m_contacts; }
    const quota_view &view() const { return m_view; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// Contact with the owner of the organisation; `Lost` if there is no owner.
    owner_contact::state_kind contact(std::uint64_t organisation, time_point now) const;

private:
    quota_usage &usageOf(std::uint64_t organisation, time_point now);
    owner_contact *contactOf(std::uint64_t organisation);
    /// Number of requests of an open organisation that are admitted before the owner has
    /// acknowledged them.
    std::uint64_t unreportedLimit(const quota_terms &terms) const;
    bool isStarting(time_point now) const { return now - m_startedAt < m_settings.startHold; }
    /// Whether one request of the organisation may be admitted before an owner answers.
    bool isAdmittedAtStart(std::uint64_t organisation, const quota_terms &terms) const;
    /// Uses the host's equal share of the quota.
    quota_decision admitWithoutOwner(std::uint64_t organisation, quota_usage &usage,
                                     const quota_terms &terms, time_point now);
    std::optional<quota_decision> admitAtOnce(quota_usage &usage, const quota_terms &terms,
                                              owner_contact &contact, time_point now);
    void applyEntry(quota_usage &usage, const quota_entry &entry, std::uint64_t owner,
                    const quota_message &answer, std::optional<time_point> sent, time_point now);
    void decideWaiting(std::uint64_t organisation, quota_usage &usage, std::uint64_t sequence,
                       time_point now);
    /// Uses the equal share for the requests that wait no longer than `until`.
    void decideWithoutOwner(std::uint64_t organisation, quota_usage &usage, time_point until,
                            time_point now);
    void decide(const quota_usage::waiting_request &request, const quota_decision &decision);
    void sendReports(const host_id &owner, owner_contact &contact, time_point now);
    /// Tells the owners which permits have expired unused.
    void returnPermits(time_point now);
    void removeIdle(time_point now);

    quota_settings m_settings;
    host_id m_self;
    time_point m_startedAt{};
    std::uint64_t m_epoch = 0;
    std::shared_ptr<const quota_table> m_quotas = std::make_shared<quota_table>();
    quota_view m_view;
    std::map<host_id, owner_contact> m_contacts;
    absl::flat_hash_map<std::uint64_t, quota_usage> m_usage;
    /// Organisation of each waiting request.
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_waiting;
    /// At least the totals of organisations that were forgotten. Their next totals begin there,
    /// since the owner may remember the old ones.
    std::uint64_t m_forgotten = 0;
    std::uint64_t m_lastSequence = 0;
    time_point m_nextRemoval{};
    time_point m_nextReturn{};
    std::vector<outgoing> m_reports;
    std::vector<std::pair<std::uint64_t, quota_decision>> m_decisions;
};

} // namespace waxwing
