#pragma once

#include "quota/quota_bucket.h"
#include "quota/quota_view.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace waxwing {

/// Owner of the quotas of some organisations: counts the usage that all hosts report and grants
/// permits while an organisation is limited.
///
/// The quota is divided among the hosts in case of a partition: the owner grants the part of those
/// hosts that chose the same owners and reported within the lease. The others use their own part.
class quota_owner
{
public:
    explicit quota_owner(const quota_settings &settings) : m_settings(settings) { }

    /// Starts; grants nothing for the first `startHold`, or `fleetStartHold`. Stamps begin with the
    /// wall time, so that they increase over a restart.
    void start(const host_id &self, time_point now, wall_time wall);
    /// Applies new quotas.
    void setQuotas(std::shared_ptr<const quota_table> quotas) { m_quotas = std::move(quotas); }
    void setView(const quota_view &view, time_point now);

    /// Message to a host.
    using outgoing = std::pair<host_id, quota_message>;
    /// Counts the usage in a report and returns the answer; empty for a report from before
    /// the host's latest start.
    std::optional<quota_message> onReport(const host_id &host, const quota_message &report,
                                          time_point now);
    /// Repeats notices.
    void onTick(time_point now);
    std::optional<time_point> nextDeadline() const { return m_nextNotice; }
    /// Notices to be sent.
    std::vector<outgoing> takeNotices() { return std::exchange(m_notices, {}); }

    /// Part of the quotas that this owner grants, 0 to 1.
    double share() const { return m_share; }
    /// Whether this host owns quotas by its own choice of owners.
    bool isServing(time_point now) const { return now >= m_ownsSince && m_view.isOwner(m_self); }
    /// Number of organisations that are limited.
    std::size_t limitedCount() const;

private:
    /// Totals of one host and organisation since the start of the host.
    struct totals
    {
        /// Usage that was counted.
        std::uint64_t counted = 0;
        /// Permits that were granted, and when the latest one was.
        std::uint64_t granted = 0;
        /// Unused permits that were returned; empty until the first report about them.
        std::optional<std::uint64_t> returned{};
        time_point grantedAt{};
    };
    struct reporting_host
    {
        std::uint64_t epoch = 0;
        std::uint64_t lastSequence = 0;
        std::uint64_t view = 0;
        time_point reportedAt;
        absl::flat_hash_map<std::uint64_t, totals> organisations;
    };
    struct organisation_state
    {
        quota_bucket bucket;
        /// Number of notices since it became limited.
        std::uint32_t notices = 0;
        std::optional<time_point> noticeAt{};
    };

    bool isStarting(time_point now) const { return now - m_startedAt < m_settings.startHold; }
    /// Whether almost all known hosts started together with this one.
    bool isFleetStarting(time_point now) const;
    organisation_state *find(std::uint64_t organisation, time_point now);
    quota_entry answerTo(reporting_host &host, const quota_entry &entry, bool grants,
                         time_point now);
    void grant(totals &known, const quota_entry &entry, quota_bucket &bucket, quota_entry &answer,
               time_point now);
    void updateLimited(std::uint64_t organisation, organisation_state &state, time_point now);
    void addLimited(quota_message &message);
    void updateShare(time_point now);
    void sendNotices(const std::vector<std::uint64_t> &organisations, time_point now);
    void scheduleNotice(time_point at);
    void removeIdle(time_point now);

    quota_settings m_settings;
    host_id m_self;
    time_point m_startedAt{};
    /// Wall time of the start in milliseconds, as hosts state theirs.
    std::uint64_t m_epoch = 0;
    quota_view m_view;
    time_point m_viewSince{};
    /// Since when this host owns quotas by this choice of owners; may be in the future.
    time_point m_ownsSince{};
    std::shared_ptr<const quota_table> m_quotas = std::make_shared<quota_table>();
    std::map<host_id, reporting_host> m_hosts;
    absl::flat_hash_map<std::uint64_t, organisation_state> m_organisations;
    double m_share = 0;
    std::uint64_t m_lastStamp = 0;
    std::optional<time_point> m_nextNotice;
    time_point m_nextRemoval{};
    std::vector<outgoing> m_notices;
};

} // namespace waxwing
