#pragma once

#include "core/clock.h"
#include "core/strong_id.h"
#include "membership/member.h"
#include "quarantine/known_good_cache.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

/// Policy of `request_quarantine`.
struct quarantine_settings
{
    /// Number of crashes from which a request is refused.
    std::uint32_t crashesToList = 2;
    /// Number of crashes from which the other hosts are told.
    std::uint32_t crashesToPublish = 1;
    /// Requests that reach `crashesToList` within this time of each other are assumed to have run
    /// on the same server, perhaps sent by different hosts. Only one of them is the cause, so each
    /// needs one more crash to be refused.
    std::chrono::milliseconds tieWindow{50};
    /// Time for which a request is refused and its crashes are counted.
    std::chrono::milliseconds listedFor{300000};
    /// Time after a crash during which unknown requests of the service wait for their canary shard.
    std::chrono::milliseconds alertTime{120000};
    /// Servers lost within this time count as lost together.
    std::chrono::milliseconds burstWindow{1000};
    /// If at least this many servers that did not run a request are lost together with those that
    /// did, the request is not taken as the cause.
    std::size_t unrelatedLosses = 2;
    /// Number of crashes of a request in a row that are not counted because of unrelated losses. A
    /// request that loses its servers again and again is not only a victim of other failures.
    std::uint32_t maxIgnoredCrashes = 1;
    /// Maximum number of suspected requests that are stored.
    std::size_t maxSuspects = 10000;
    /// Time after a loss in which the end of the server shows that it was a crash. A registration
    /// lapses some seconds after a crash.
    std::chrono::milliseconds confirmTime{10000};

    bool operator==(const quarantine_settings &) const = default;
};

/// What a lost connection means for the request that was in progress on it.
enum class loss_verdict {
    /// Counted as a crash that the request may have caused.
    Counted,
    /// A backend server answered the request recently.
    KnownGood,
    /// The request was sent before its last counted crash, which may have the same cause.
    SameEpisode,
    /// Other backend servers were lost at the same time.
    UnrelatedLosses,
    /// Too many requests are suspected.
    TooManySuspects,
};

/// Name of a verdict in logs and metrics.
std::string_view verdictName(loss_verdict verdict);

/// Backend server to which a connection was lost.
struct lost_server
{
    server_id id;
    /// Identifies this start of the server on all hosts.
    std::uint64_t start = 0;

    bool operator==(const lost_server &) const = default;
};

/// Crash of a backend server that a request may have caused, told to the hosts that add up the
/// crashes of that request.
struct crash_report
{
    std::uint64_t fingerprint = 0;
    /// `lost_server::start` of the server.
    std::uint64_t start = 0;

    bool operator==(const crash_report &) const = default;
};

/// Fingerprint that identifies a request in the quarantine: hash of its service and query, without
/// its page.
std::uint64_t requestFingerprint(const service_id &service, std::string_view query);

/// Counts the crashes of backend servers that each request may have caused, and refuses requests
/// with too many of them.
class request_quarantine
{
public:
    explicit request_quarantine(quarantine_settings settings);

    /// Remaining time for which the request is refused; empty if it may run.
    std::optional<std::chrono::milliseconds> listedFor(std::uint64_t fingerprint,
                                                       time_point now) const;
    /// Whether a backend server answered the request recently, according to the bounded cache.
    bool isKnownGood(std::uint64_t fingerprint) const;
    /// Whether the request was in progress on a lost server and is not known to be good.
    bool isSuspect(std::uint64_t fingerprint, time_point now) const;
    /// Crashes counted for the request that have not expired.
    std::uint32_t crashes(std::uint64_t fingerprint, time_point now) const;
    /// Whether a connection was lost with a request of the service in progress within the last
    /// `alertTime`.
    bool hasRecentCrash(const service_id &service, time_point now) const;

    /// Called when a backend server answered the request. Clears its suspicion unless it is
    /// refused.
    void onAnswer(std::uint64_t fingerprint, time_point now);
    /// Called when the connection to `lost` broke while the request, sent at `sent`, was in
    /// progress.
    loss_verdict onConnectionLost(const service_id &service, std::uint64_t fingerprint,
                                  const lost_server &lost, time_point sent, time_point now);
    /// Called when `lost` closed a new connection at once, on which the request had been sent at
    /// `sent`. A server without room for connections does so, and one that crashes as soon as it
    /// begins the request. The loss counts as a crash if the server turns out to have ended.
    void onConnectionNotAccepted(std::uint64_t fingerprint, const lost_server &lost,
                                 time_point sent, time_point now);
    /// Called when a start of a server has ended without notice. Returns the fingerprints of the
    /// requests of which it counts as a crash.
    std::vector<std::uint64_t> onServerEnded(std::uint64_t start, time_point now);
    /// Called when a request ended without the answer of a server. Its crashes that were not
    /// published are reported then, since no answer followed.
    void onUnanswered(std::uint64_t fingerprint);
    /// Applies a crash count published by another host.
    void onFact(const fact &received, time_point now);
    /// Adds a crash that another host reported, unless that start of the server is counted already.
    void onReport(const crash_report &report, time_point now);

    /// Crash counted by this host, to be published as a fact to the other hosts.
    struct observation
    {
        /// Subject of the fact: the fingerprint as 16 hexadecimal digits.
        std::string subject;
        /// Crashes of the request known to this host, including counts applied from facts.
        std::uint64_t crashes = 0;
        /// Time after which other hosts discard the fact.
        std::chrono::milliseconds validFor{0};

        bool operator==(const observation &) const = default;
    };
    /// Returns and clears the observations since the last call.
    std::vector<observation> takeObservations();
    /// Returns and clears the crashes to be reported since the last call.
    std::vector<crash_report> takeReports();

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        /// When the latest crash was counted or ignored. A loss of an attempt sent before this is
        /// not counted again, since it may be the same crash.
        time_point countedAt;
        time_point expires;
        std::set<server_id> servers;
        /// Starts of servers whose crash this host counted itself.
        std::set<std::uint64_t> starts;
        /// Starts of servers whose crash was counted from reports.
        std::set<std::uint64_t> reported;
        /// Those of `starts` that were neither published nor reported to other hosts.
        std::vector<std::uint64_t> unreported;
        /// When the count reached `crashesToList`.
        std::optional<time_point> reachedAt;
        /// Crashes since the last counted one that were not counted because of unrelated losses.
        std::uint32_t ignoredCrashes = 0;
        /// When the requests that were counted as confirmed losses were sent and lost.
        std::vector<std::pair<time_point, time_point>> confirmed;
        /// Whether another request reached `crashesToList` within `tieWindow`, so that this one
        /// needs one more crash to be refused.
        bool contested = false;
    };
    /// Loss that is not known to be a crash yet.
    struct unconfirmed_loss
    {
        std::uint64_t fingerprint = 0;
        lost_server lost;
        time_point sent;
        time_point at;
    };
    struct server_loss
    {
        time_point at;
        server_id server;
    };

    const suspect *find(std::uint64_t fingerprint, time_point now) const;
    suspect *insert(std::uint64_t fingerprint, time_point now);
    void recordLoss(const server_id &server, time_point now);
    bool isListed(const suspect &candidate) const;
    void raiseCrashCount(std::uint64_t fingerprint, suspect &known, std::uint32_t crashes,
                         time_point now);
    void publish(std::uint64_t fingerprint, suspect &known);
    bool countConfirmed(const unconfirmed_loss &loss, time_point now);
    bool isCorrelatedLoss(const suspect &candidate) const;

    quarantine_settings m_settings;
    known_good_cache m_good;
    std::map<std::uint64_t, suspect> m_suspects;
    std::map<service_id, time_point> m_lastCrash;
    std::deque<server_loss> m_losses;
    /// Oldest first.
    std::deque<unconfirmed_loss> m_unconfirmed;
    /// Fingerprints that reached `crashesToList` most recently, oldest first.
    std::deque<std::uint64_t> m_reached;
    std::vector<observation> m_observations;
    std::vector<crash_report> m_reports;
};

} // namespace waxwing
