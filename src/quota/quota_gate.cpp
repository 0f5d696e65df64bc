#include "quota/quota_gate.h"

#include "core/hash.h"

#include <algorithm>

namespace waxwing {
namespace {

using kind_type = quota_decision::kind_type;
using basis_kind = quota_decision::basis_kind;
using state_kind = owner_contact::state_kind;

/// Part of a period, from 0 to 1, after which the first turn of the host begins.
double phaseOf(const host_id &host, std::uint64_t organisation)
{
    constexpr std::uint64_t phases = 10000;
    return static_cast<double>(stableHash(host.value, organisation) % phases) / phases;
}

} // namespace

void quota_gate::start(const host_id &self, time_point now, wall_time wall)
{
    m_epoch =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.time_since_epoch().count()));
    m_self = self;
    m_startedAt = now;
}

void quota_gate::setView(const quota_view &view, time_point now)
{
    if (view == m_view)
        return;
    const bool sameOwners = view.digest() == m_view.digest();
    m_view = view;
    if (sameOwners)
        return;
    // Owners of the old choice learn at once that they no longer grant this host's part.
    for (auto &[owner, contact] : m_contacts)
        contact.reportBy(now);
    for (const host_id &owner : view.owners())
        m_contacts.try_emplace(owner, m_settings, m_startedAt + m_settings.startTime, now);
}

owner_contact *quota_gate::contactOf(std::uint64_t organisation)
{
    const host_id *owner = m_view.ownerOf(organisation);
    const auto found = owner == nullptr ? m_contacts.end() : m_contacts.find(*owner);
    return found == m_contacts.end() ? nullptr : &found->second;
}

owner_contact::state_kind quota_gate::contact(std::uint64_t organisation, time_point now) const
{
    const host_id *owner = m_view.ownerOf(organisation);
    const auto found = owner == nullptr ? m_contacts.end() : m_contacts.find(*owner);
    return found == m_contacts.end() ? state_kind::Lost : found->second.state(now);
}

quota_usage &quota_gate::usageOf(std::uint64_t organisation, time_point now)
{
    const auto [entry, isNew] = m_usage.try_emplace(organisation);
    if (isNew)
        entry->second.restart(m_forgotten);
    entry->second.lastUse = now;
    return entry->second;
}

quota_decision quota_gate::admit(std::uint64_t id, std::uint64_t organisation, time_point now,
                                 time_point lateAt)
{
    const auto terms = m_quotas->find(organisation);
    if (terms == m_quotas->end())
        return {};
    quota_usage &usage = usageOf(organisation, now);
    owner_contact *owner = contactOf(organisation);
    // While this host starts, the owner may be about to begin.
    if (owner == nullptr || (owner->state(now) == state_kind::Lost && !isStarting(now)))
        return admitWithoutOwner(organisation, usage, terms->second, now);
    if (const auto decision = admitAtOnce(usage, terms->second, *owner, now))
        return *decision;
    usage.waiting.push_back({id, now + m_settings.maxWait, 0, lateAt});
    m_waiting.emplace(id, organisation);
    owner->reportBy(std::max(now, owner->nextAskAt()));
    return {kind_type::Wait, basis_kind::Permit, {}};
}

std::optional<quota_decision> quota_gate::admitAtOnce(quota_usage &usage, const quota_terms &terms,
                                                      owner_contact &contact, time_point now)
{
    if (usage.waiting.empty() && usage.takePermit(now))
        return quota_decision{kind_type::Admit, basis_kind::Permit, {}};
    if (contact.state(now) != state_kind::Confirmed)
        return std::nullopt;
    if (!usage.isLimited) {
        // Requests that queued up while the host was stalled would be far above the quota.
        if (!usage.waiting.empty() || usage.used - usage.acknowledged >= unreportedLimit(terms))
            return std::nullopt;
        ++usage.used;
        contact.reportBy(now + m_settings.reportDelay);
        return quota_decision{kind_type::Admit, basis_kind::Open, {}};
    }
    // An answer would be that there is no permit, even if it took as long as a request may wait.
    if (usage.noPermitUntil <= now + m_settings.maxWait)
        return std::nullopt;
    return quota_decision{kind_type::Refuse, basis_kind::Permit,
                          std::max(usage.due, usage.noPermitUntil) - now};
}

std::uint64_t quota_gate::unreportedLimit(const quota_terms &terms) const
{
    constexpr double least = 4;
    return static_cast<std::uint64_t>(std::max(least, terms.halfMargin(m_settings) / 2));
}

quota_decision quota_gate::admitWithoutOwner(std::uint64_t organisation, quota_usage &usage,
                                             const quota_terms &terms, time_point now)
{
    const duration sinceStart = now - m_startedAt;
    if (sinceStart < m_settings.startHold) {
        if (usage.hasAdmittedAtStart || !isAdmittedAtStart(organisation, terms))
            return {kind_type::NotReady, basis_kind::EqualShare, m_settings.startHold - sinceStart};
        usage.hasAdmittedAtStart = true;
        ++usage.used;
        return {kind_type::Admit, basis_kind::EqualShare, {}};
    }
    const owner_contact *owner = contactOf(organisation);
    // Until the lease has ended, the owner may still grant this host's part to others.
    const bool isCounted = owner != nullptr && owner->isCounted(now);
    double rate = terms.ratePerSecond;
    if (isCounted) {
        // If half of the hosts lost the owner, they admit half of `halfMargin` in the lease.
        const double lease = std::chrono::duration<double>(m_settings.contactLease).count();
        rate = std::min(rate, terms.halfMargin(m_settings) / lease);
    }
    if (!usage.share.has_value() || usage.shareTerms != terms) {
        usage.shareTerms = terms;
        usage.share.emplace(
            rate_limit_share_settings{.turnValidity = terms.turnValidity(m_settings),
                                      .minPerSecond = 0.001},
            rate, m_view.hosts(), phaseOf(m_self, organisation), now);
    }
    usage.share->update(rate, m_view.hosts(), now);
    if (!usage.share->isAvailable(now))
        return {kind_type::Refuse, basis_kind::EqualShare, usage.share->availableAt(now) - now};
    usage.share->take(now);
    if (isCounted)
        ++usage.used;
    return {kind_type::Admit, basis_kind::EqualShare, {}};
}

bool quota_gate::isAdmittedAtStart(std::uint64_t organisation, const quota_terms &terms) const
{
    // If all hosts start at once, refusing everything would cost callers more than what is admitted
    // here; the hosts granted nothing while they were down. One request of each host is too much
    // for small quotas, and the host does not know yet how many others there are. A hash chooses
    // the hosts, so that they admit about as much together as the quota allows in the time in which
    // a fleet starts, and a small part of the margin.
    constexpr double leastHosts = 64;
    constexpr double startSeconds = 0.3;
    const double hosts = std::max(leastHosts, static_cast<double>(m_view.hosts()));
    const double allowed = terms.ratePerSecond * startSeconds + terms.halfMargin(m_settings) / 4;
    return phaseOf(m_self, organisation) * hosts < allowed;
}

bool quota_gate::cancel(std::uint64_t id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return false;
    std::erase_if(m_usage[found->second].waiting,
                  [id](const auto &request) { return request.id == id; });
    m_waiting.erase(found);
    return true;
}

void quota_gate::decide(const quota_usage::waiting_request &request, const quota_decision &decision)
{
    m_waiting.erase(request.id);
    m_decisions.emplace_back(request.id, decision);
}

void quota_gate::onAnswer(const host_id &owner, const quota_message &answer, time_point now)
{
    const auto known = m_contacts.find(owner);
    if (known == m_contacts.end())
        return;
    const bool isServing = answer.isServing && answer.view == m_view.digest();
    std::optional<time_point> sent;
    if (answer.sequence != 0) {
        sent = known->second.onAnswer(answer.sequence, isServing, now);
        if (!sent.has_value())
            return;
    }
    for (const quota_entry &entry : answer.entries) {
        const host_id *current = m_view.ownerOf(entry.organisation);
        if (!isServing || current == nullptr || *current != owner
            || !m_quotas->contains(entry.organisation))
            continue;
        // A notice is kept for the next request, though the host may not have had one.
        quota_usage &usage = usageOf(entry.organisation, now);
        applyEntry(usage, entry, stableHash(owner.value), answer, sent, now);
        decideWaiting(entry.organisation, usage, answer.sequence, now);
    }
    for (auto &[organisation, usage] : m_usage) {
        if (!usage.waiting.empty() && contact(organisation, now) == state_kind::Lost
            && !isStarting(now))
            decideWithoutOwner(organisation, usage, time_point::max(), now);
    }
}

void quota_gate::applyEntry(quota_usage &usage, const quota_entry &entry, std::uint64_t owner,
                            const quota_message &answer, std::optional<time_point> sent,
                            time_point now)
{
    if (sent.has_value()) {
        usage.acknowledged = std::max(usage.acknowledged, std::min(entry.used, usage.used));
        if (entry.permits > usage.received) {
            constexpr std::uint64_t most = 1000;
            usage.permits.insert(usage.permits.end(),
                                 std::min(entry.permits - usage.received, most),
                                 *sent + m_settings.permitLease);
            usage.received = entry.permits;
        }
    }
    // Messages may overtake each other. An owner whose wall clock was set back before a restart
    // continues with much lower numbers.
    constexpr std::uint64_t maxReordered = 1'000'000;
    if (usage.stampedBy == owner && answer.stamp < usage.stamp
        && usage.stamp - answer.stamp < maxReordered)
        return;
    usage.stamp = answer.stamp;
    usage.stampedBy = owner;
    usage.isLimited = entry.isLimited;
    if (!sent.has_value())
        return;
    // Counted from when the report was sent, so that the owner is not asked later than needed.
    usage.noPermitUntil = *sent + entry.nextPermit;
    if (entry.due.count() > 0)
        usage.due = now + entry.due;
}

void quota_gate::decideWaiting(std::uint64_t organisation, quota_usage &usage,
                               std::uint64_t sequence, time_point now)
{
    owner_contact *owner = contactOf(organisation);
    while (!usage.waiting.empty() && owner != nullptr) {
        // The owner has not counted those that the report did not contain.
        const auto next = usage.nextInTurn(now);
        const std::uint64_t askedIn = next->askedIn;
        const bool isOpen = !usage.isLimited && askedIn != 0 && askedIn <= sequence
            && owner->state(now) == state_kind::Confirmed;
        if (!usage.takePermit(now)) {
            if (!isOpen)
                break;
            ++usage.used;
            owner->reportBy(now + m_settings.reportDelay);
        }
        decide(*next, {kind_type::Admit, isOpen ? basis_kind::Open : basis_kind::Permit, {}});
        usage.waiting.erase(next);
    }
    if (sequence == 0)
        return;
    const duration retryAfter =
        std::max({usage.due, usage.noPermitUntil, now + m_settings.askInterval}) - now;
    std::erase_if(usage.waiting, [&](const quota_usage::waiting_request &request) {
        if (request.askedIn == 0 || request.askedIn > sequence)
            return false;
        decide(request, {kind_type::Refuse, basis_kind::Permit, retryAfter});
        return true;
    });
}

void quota_gate::decideWithoutOwner(std::uint64_t organisation, quota_usage &usage,
                                    time_point until, time_point now)
{
    const auto terms = m_quotas->find(organisation);
    while (!usage.waiting.empty() && usage.waiting.front().until <= until) {
        // Routes that were applied meanwhile may have removed the quota.
        const quota_decision decision = terms == m_quotas->end()
            ? quota_decision{}
            : admitWithoutOwner(organisation, usage, terms->second, now);
        decide(usage.waiting.front(), decision);
        usage.waiting.pop_front();
    }
}

void quota_gate::onTick(time_point now)
{
    if (!m_waiting.empty()) {
        for (auto &[organisation, usage] : m_usage)
            decideWithoutOwner(organisation, usage, now, now);
    }
    returnPermits(now);
    for (auto each = m_contacts.begin(); each != m_contacts.end();) {
        const auto current = each++;
        if (current->second.reportAt() > now)
            continue;
        sendReports(current->first, current->second, now);
        if (!m_view.isOwner(current->first))
            m_contacts.erase(current);
    }
    removeIdle(now);
}

std::optional<time_point> quota_gate::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &[owner, contact] : m_contacts)
        earliest = std::min(earliest.value_or(contact.reportAt()), contact.reportAt());
    if (m_waiting.empty())
        return earliest;
    for (const auto &[organisation, usage] : m_usage) {
        if (!usage.waiting.empty())
            earliest = std::min(earliest.value_or(usage.waiting.front().until),
                                usage.waiting.front().until);
    }
    return earliest;
}

} // namespace waxwing
