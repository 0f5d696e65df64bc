// Reports of `quota_gate` to the owners.

#include "quota/quota_gate.h"

#include <algorithm>

namespace waxwing {

void quota_gate::returnPermits(time_point now)
{
    if (now < m_nextReturn)
        return;
    m_nextReturn = now + m_settings.permitLease / 4;
    for (auto &[organisation, usage] : m_usage) {
        usage.expirePermits(now);
        owner_contact *owner = contactOf(organisation);
        if (owner != nullptr && usage.unused > usage.returned)
            owner->reportBy(now + m_settings.reportDelay);
    }
}

void quota_gate::sendReports(const host_id &owner, owner_contact &contact, time_point now)
{
    quota_message report;
    report.view = m_view.digest();
    report.epoch = m_epoch;
    bool isSent = false;
    const auto send = [&] {
        report.sequence = ++m_lastSequence;
        contact.onSent(report.sequence, now);
        m_reports.emplace_back(owner, report);
        report.entries.clear();
        isSent = true;
    };
    bool asks = false;
    for (auto &[organisation, usage] : m_usage) {
        const host_id *current = m_view.ownerOf(organisation);
        if (current == nullptr || *current != owner
            || !usage.isToReport(now, m_settings.askTimeout))
            continue;
        quota_entry entry;
        entry.organisation = organisation;
        entry.used = usage.used;
        entry.acknowledged = usage.acknowledged;
        entry.permits = usage.received;
        entry.unused = usage.returned = usage.unused;
        entry.wanted = static_cast<std::uint32_t>(usage.waiting.size());
        entry.late = usage.lateCount(now);
        for (quota_usage::waiting_request &request : usage.waiting) {
            if (request.askedIn == 0)
                request.askedIn = m_lastSequence + 1;
        }
        if (!usage.waiting.empty())
            usage.askedAt = now;
        asks = asks || entry.wanted != 0;
        report.entries.push_back(entry);
        if (report.entries.size() == maxQuotaEntries)
            send();
    }
    if (!isSent || !report.entries.empty())
        send();
    if (asks && (contact.state(now) != owner_contact::state_kind::Lost || isStarting(now)))
        contact.reportBy(now + m_settings.askTimeout);
}

void quota_gate::removeIdle(time_point now)
{
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + m_settings.idleTime / 4;
    absl::erase_if(m_usage, [this, now](const auto &entry) {
        const quota_usage &usage = entry.second;
        if (!usage.waiting.empty() || now - usage.lastUse < m_settings.idleTime)
            return false;
        m_forgotten = std::max({m_forgotten, usage.used, usage.received});
        return true;
    });
}

} // namespace waxwing
