#include "quota/quota_owner.h"

#include <algorithm>

namespace waxwing {
namespace {

std::chrono::milliseconds wholeMilliseconds(duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

} // namespace

void quota_owner::start(const host_id &self, time_point now, wall_time wall)
{
    constexpr std::uint64_t stampsPerMillisecond = 1000;
    const auto time = std::max<std::int64_t>(0, wall.time_since_epoch().count());
    m_epoch = static_cast<std::uint64_t>(time);
    m_lastStamp = m_epoch * stampsPerMillisecond;
    m_self = self;
    m_startedAt = now;
}

void quota_owner::setView(const quota_view &view, time_point now)
{
    // Buckets are kept if this host stops to be an owner, since it may become one again soon.
    if (view.digest() != m_view.digest()) {
        m_viewSince = now;
        m_ownsSince = std::max(now, m_startedAt + m_settings.startHold);
        for (auto &[organisation, state] : m_organisations) {
            const host_id *before = m_view.ownerOf(organisation);
            if (before == nullptr || *before != m_self)
                state.bucket.takeOver(now, isStarting(now));
        }
    }
    m_view = view;
    updateShare(now);
}

bool quota_owner::isFleetStarting(time_point now) const
{
    // Fewer hosts may be only those that a host which starts alone knows first.
    constexpr std::size_t leastHosts = 4;
    if (!isStarting(now) || m_view.hosts() < leastHosts)
        return false;
    const auto spread = static_cast<std::uint64_t>(m_settings.fleetStartSpread.count());
    const auto starting =
        std::count_if(m_hosts.begin(), m_hosts.end(), [this, spread](const auto &entry) {
            const std::uint64_t epoch = entry.second.epoch;
            return std::max(epoch, m_epoch) - std::min(epoch, m_epoch) <= spread;
        });
    return static_cast<std::size_t>(starting) * 4 >= m_view.hosts() * 3;
}

std::size_t quota_owner::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_organisations.begin(), m_organisations.end(),
                      [](const auto &entry) { return entry.second.bucket.isLimited(); }));
}

void quota_owner::updateShare(time_point now)
{
    const auto agreeing =
        std::count_if(m_hosts.begin(), m_hosts.end(), [this, now](const auto &entry) {
            return entry.second.view == m_view.digest()
                && now - entry.second.reportedAt < m_settings.contactLease;
        });
    m_share = std::min(1.0, static_cast<double>(agreeing) / static_cast<double>(m_view.hosts()));
}

std::optional<quota_message> quota_owner::onReport(const host_id &host, const quota_message &report,
                                                   time_point now)
{
    reporting_host &known = m_hosts[host];
    // The wall clock of a host may have been set back before it started again.
    if (report.epoch < known.epoch && now - known.reportedAt < m_settings.contactLease)
        return std::nullopt;
    if (report.epoch != known.epoch) {
        known = reporting_host();
        known.epoch = report.epoch;
    }
    const bool isLatest = report.sequence > known.lastSequence;
    if (isLatest) {
        known.lastSequence = report.sequence;
        known.view = report.view;
        known.reportedAt = now;
    }
    updateShare(now);
    if (now < m_ownsSince && now >= m_startedAt + m_settings.fleetStartHold
        && now >= m_viewSince + m_settings.fleetStartSettle && isFleetStarting(now))
        m_ownsSince = now;
    quota_message answer;
    answer.sequence = report.sequence;
    answer.view = m_view.digest();
    answer.isServing = isServing(now) && report.view == m_view.digest();
    answer.stamp = ++m_lastStamp;
    if (!answer.isServing)
        return answer;
    for (const quota_entry &entry : report.entries)
        answer.entries.push_back(answerTo(known, entry, isLatest, now));
    addLimited(answer);
    removeIdle(now);
    return answer;
}

quota_owner::organisation_state *quota_owner::find(std::uint64_t organisation, time_point now)
{
    const auto terms = m_quotas->find(organisation);
    if (terms == m_quotas->end() || terms->second.ratePerSecond <= 0)
        return nullptr;
    const auto [known, isNew] = m_organisations.try_emplace(
        organisation,
        organisation_state{quota_bucket(m_settings, terms->second, m_ownsSince, isStarting(now))});
    known->second.bucket.advance(terms->second, m_share, now);
    return &known->second;
}

quota_entry quota_owner::answerTo(reporting_host &host, const quota_entry &entry, bool grants,
                                  time_point now)
{
    quota_entry answer;
    answer.organisation = entry.organisation;
    answer.used = entry.used;
    organisation_state *state = find(entry.organisation, now);
    if (state == nullptr) {
        // These routes name no quota for it; the host's routes are newer or older.
        answer.permits = entry.permits + entry.wanted;
        return answer;
    }
    totals &known = host.organisations[entry.organisation];
    known.counted = std::max(known.counted, entry.acknowledged);
    state->bucket.charge(entry.used > known.counted ? entry.used - known.counted : 0);
    known.counted = std::max(known.counted, entry.used);
    if (grants) {
        // The permits may come from another owner if this one does not know the host's total. A
        // lower total than before begins anew, since the host had forgotten the organisation.
        if (entry.unused > known.returned.value_or(entry.unused))
            state->bucket.refund(entry.unused - *known.returned);
        known.returned = entry.unused;
        grant(known, entry, state->bucket, answer, now);
    }
    answer.permits = known.granted;
    answer.nextPermit = wholeMilliseconds(state->bucket.untilNextPermit());
    updateLimited(entry.organisation, *state, now);
    answer.isLimited = state->bucket.isLimited();
    return answer;
}

void quota_owner::grant(totals &known, const quota_entry &entry, quota_bucket &bucket,
                        quota_entry &answer, time_point now)
{
    // Permits that the host has not received may be in an answer that was lost, and are for
    // requests that still wait. They are void after the lease.
    if (known.granted < entry.permits || now - known.grantedAt >= m_settings.permitLease)
        known.granted = entry.permits;
    const std::uint64_t underway = known.granted - entry.permits;
    if (entry.wanted <= underway)
        return;
    const auto missing = static_cast<std::uint32_t>(entry.wanted - underway);
    // The host uses the permits that are underway for requests that can be answered in time.
    const std::uint64_t timely = entry.wanted - std::min(entry.late, entry.wanted);
    const auto missingTimely =
        static_cast<std::uint32_t>(timely - std::min<std::uint64_t>(timely, underway));
    std::uint32_t granted = bucket.grant(missingTimely);
    granted += bucket.grantLate(missing - missingTimely);
    if (granted != 0)
        known.grantedAt = now;
    known.granted += granted;
    if (granted < missing)
        answer.due = wholeMilliseconds(bucket.promise(missing - granted, now));
}

void quota_owner::updateLimited(std::uint64_t organisation, organisation_state &state,
                                time_point now)
{
    if (!state.bucket.updateLimited())
        return;
    state.notices = 0;
    state.noticeAt.reset();
    if (!state.bucket.isLimited())
        return;
    // The first one at once; two more soon, since datagrams get lost.
    sendNotices({organisation}, now);
    state.noticeAt = now + m_settings.reportDelay;
    scheduleNotice(*state.noticeAt);
}

void quota_owner::addLimited(quota_message &message)
{
    const std::size_t answered = message.entries.size();
    for (const auto &[organisation, state] : m_organisations) {
        if (message.entries.size() >= maxQuotaEntries)
            return;
        const auto isAnswered = [id = organisation](const quota_entry &entry) {
            return entry.organisation == id;
        };
        const auto end = message.entries.begin() + static_cast<std::ptrdiff_t>(answered);
        if (!state.bucket.isLimited() || std::any_of(message.entries.begin(), end, isAnswered))
            continue;
        quota_entry entry;
        entry.organisation = organisation;
        entry.isLimited = true;
        message.entries.push_back(entry);
    }
}

void quota_owner::sendNotices(const std::vector<std::uint64_t> &organisations, time_point now)
{
    for (std::size_t from = 0; from < organisations.size(); from += maxQuotaEntries) {
        quota_message notice;
        notice.view = m_view.digest();
        notice.isServing = true;
        notice.stamp = ++m_lastStamp;
        const std::size_t end = std::min(organisations.size(), from + maxQuotaEntries);
        for (std::size_t i = from; i < end; ++i) {
            quota_entry entry;
            entry.organisation = organisations[i];
            entry.isLimited = true;
            notice.entries.push_back(entry);
        }
        for (const auto &[host, known] : m_hosts) {
            if (known.view == m_view.digest() && now - known.reportedAt < m_settings.contactLease)
                m_notices.emplace_back(host, notice);
        }
    }
}

void quota_owner::onTick(time_point now)
{
    if (!m_nextNotice.has_value() || now < *m_nextNotice)
        return;
    m_nextNotice.reset();
    updateShare(now);
    std::vector<std::uint64_t> due;
    for (auto &[organisation, state] : m_organisations) {
        if (!state.noticeAt.has_value())
            continue;
        if (now >= *state.noticeAt) {
            find(organisation, now);
            if (state.bucket.updateLimited()) {
                state.noticeAt.reset();
                continue;
            }
            due.push_back(organisation);
            constexpr std::uint32_t earlyNotices = 2;
            state.noticeAt = now
                + (++state.notices < earlyNotices ? m_settings.askTimeout
                                                  : m_settings.noticeInterval);
        }
        scheduleNotice(*state.noticeAt);
    }
    sendNotices(due, now);
}

void quota_owner::scheduleNotice(time_point at)
{
    m_nextNotice = std::min(m_nextNotice.value_or(at), at);
}

void quota_owner::removeIdle(time_point now)
{
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + m_settings.idleTime / 4;
    for (auto entry = m_organisations.begin(); entry != m_organisations.end();) {
        const auto current = entry++;
        find(current->first, now);
        if (m_quotas->contains(current->first) && !current->second.bucket.isIdle(now))
            continue;
        for (auto &[host, known] : m_hosts)
            known.organisations.erase(current->first);
        m_organisations.erase(current);
    }
    const auto isGone = [this, now](const auto &entry) {
        return now - entry.second.reportedAt >= m_settings.idleTime * 6;
    };
    std::erase_if(m_hosts, isGone);
}

} // namespace waxwing
