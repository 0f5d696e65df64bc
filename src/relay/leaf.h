#pragma once

#include "allowance/rate_limit_share.h"
#include "backends/concurrency_limit.h"
#include "balancing/cold_limit.h"
#include "balancing/load_report.h"
#include "balancing/recent_requests.h"
#include "balancing/server_observations.h"
#include "core/clock.h"
#include "relay/relay_types.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace waxwing::relay {

/// Settings for the health estimates, ejection and concurrency limit of a backend server.
struct leaf_settings
{
    /// Weight of a new sample in the moving averages of slowness and errors.
    double sampleWeight = 0.2;
    /// Upper bound of a slowness sample, as a multiple of the usual processing time. A pause of the
    /// server delays single requests by much more than this and does not predict the next ones.
    double maxSlowness = 8;
    /// Half-life of the slowness and error estimates, so that a recovered server is used again.
    std::chrono::milliseconds estimateHalfLife{4000};
    /// Slowness from which an answer counts as slow, as a multiple of the usual processing time.
    double slowThreshold = 3;
    /// Minimum slowness assumed of a server during its cold period, as a multiple of the usual
    /// processing time.
    double coldSlowness = 1.6;
    /// A server counts as stalled when a request has been unanswered for this multiple of its
    /// expected time.
    double stallFactor = 4;
    /// Minimum time without an answer before a server counts as stalled. Covers a few scheduling
    /// delays of a busy host.
    std::chrono::milliseconds minStallTime{25};
    /// Duration of the first ejection. Doubles with each further ejection.
    std::chrono::milliseconds firstEjection{250};
    /// Upper bound of the duration of an ejection.
    std::chrono::milliseconds longestEjection{2000};
    /// Consecutive connection losses after which a server is ejected. One is not enough, since a
    /// server may lose single answers.
    std::uint32_t lossesBeforeEjection = 3;
    /// Time for which other servers are preferred to one that refused a request or connection
    /// because of load.
    std::chrono::milliseconds refusalBackoff{40};
    /// Maximum number of requests from this host in progress on a server, per slot of the server.
    double requestsPerSlot = 2;
    /// Factor applied to the concurrency limit when the server is overloaded.
    double limitDecrease = 0.7;
    /// Minimum time between two decreases of the limit. Answers that waited in the same queue
    /// report the same overload.
    std::chrono::milliseconds limitDecreaseInterval{100};
    /// Time after the first registration during which each good answer raises the limit by 1. The
    /// first overload ends it; afterwards the limit grows by 1/limit per answer.
    std::chrono::milliseconds limitRamp{10000};
    /// Cost of a failed request; multiplied by the error share and added to the expected time.
    /// Exceeds the latency and cost of another region, since a retry uses up the service's budget
    /// of extra requests.
    std::chrono::milliseconds failureCost{300};
    /// Whether requests without an answer make the server count as stalled.
    bool detectsPauses = true;
    /// Whether the limit of requests in progress follows the answers of the server.
    bool limitsRequests = true;
    /// Use of what other hosts observed of the server.
    server_observations_settings observations{};
    /// Upper bound of the excess of the own slowness estimate when another host got a normal answer
    /// to a request that was sent after the latest own answer. `server_choice` takes the difference
    /// as equal, so this host tries the server again.
    double excessAfterNormal = 0.3;
    /// Division of a limit that the server names among the hosts.
    rate_limit_share_settings rateLimits{};

    bool operator==(const leaf_settings &) const = default;
};

/// State of one backend server, derived from its registration and the results of this host's
/// requests.
class leaf
{
public:
    leaf(const leaf_settings &settings, registered_server entry, time_point now);

    const leaf_settings &settings() const { return m_settings; }
    /// Latest registration of the server.
    const registered_server &entry() const { return m_entry; }
    /// Applies a changed registration. Estimates, ejections, pauses and the announced departure are
    /// reset if the start time or address of the server changed.
    void update(registered_server entry, time_point now);
    /// Records that the server announced its departure. It is final until the server restarts: a
    /// registration may be older than an answer, or come from an older copy of the store.
    void onLeaving() { m_leaving = true; }
    /// Whether the server announced its departure, in its registration or in an answer.
    bool isLeaving() const { return m_leaving; }
    /// Records that the server asked to receive no requests until `until`.
    void onPauseRequested(time_point until) { m_pausedUntil = std::max(m_pausedUntil, until); }
    /// Whether the server asked to receive no requests now.
    bool isPaused(time_point now) const { return now < m_pausedUntil; }

    /// Records the requests a second that the server accepts from all hosts together; empty if it
    /// named no limit in its latest answer.
    /// `phase` is used if it named none before; see `rate_limit_share`.
    void onRateLimit(std::optional<double> perSecond, double phase, time_point now);
    /// Requests a second that the server accepts from all hosts together; empty if not limited.
    std::optional<double> rateLimit() const;
    /// Sets the number of hosts that share a limit.
    void setHosts(std::size_t hosts, time_point now);
    /// Whether the server named a limit, or is cold and limited for that.
    bool isLimited(time_point now) const
    {
        return m_rateShare.has_value() || m_cold.isLimited(now);
    }
    /// Whether the limits of the server, if any, allow a request of this host now.
    bool hasTurn(time_point now) const
    {
        return (!m_rateShare.has_value() || m_rateShare->isAvailable(now)) && m_cold.hasTurn(now);
    }
    /// Earliest time at which the limits allow a request of this host, at least `now`.
    time_point turnAt(time_point now) const
    {
        const time_point turn = m_rateShare.has_value() ? m_rateShare->availableAt(now) : now;
        return std::max(turn, m_cold.turnAt(now));
    }
    /// Number of requests from this host that the server accepts until `until`, if it processes
    /// each in `processingTime` while it is not slow. For a server without a limit, as many of
    /// those in progress as it finishes until then.
    double roomUntil(duration processingTime, time_point now, time_point until) const;
    /// Limits on requests while the server is cold, and whether it is.
    cold_limit &cold() { return m_cold; }
    const cold_limit &cold() const { return m_cold; }

    /// Records the load stated in the answer to a request that was sent at `sent`. Returns whether
    /// it is used: it must be plausible and not from before the latest restart.
    bool onLoadReport(const load_report &load, time_point sent, time_point now);
    /// When this host learned of the latest restart; earlier than any request if it knows of none.
    time_point restartedAt() const { return m_restartedAt; }
    /// Latest load that the server stated; empty if it stated none since its start.
    std::optional<aged_load_report> loadReport(time_point now) const;

    /// Records that the server was chosen for a request. From now on it counts as one that was sent
    /// at least `recent` requests recently, to which each request adds `weight`; see
    /// `server_selection`.
    void onChosen(double recent, double weight, time_point now);
    /// Requests from this host in progress, plus those sent recently.
    double ownRequests(time_point now) const
    {
        return static_cast<double>(inFlight()) + m_recent.value(now);
    }
    /// Records a request that was sent and is expected to be answered within `expected`.
    void onSent(attempt_id attempt, duration expected, time_point now);
    /// Records an answer. `slowness` is its processing time as a multiple of the usual one. `late`
    /// is true if it took too much of the latency goal; it lowers the concurrency limit.
    void onAnswer(attempt_id attempt, double slowness, bool late, time_point now);
    /// Records a server error or malformed answer from a reachable server.
    void onError(attempt_id attempt, time_point now);
    /// Records a request that the server refused because of load.
    void onRefusal(attempt_id attempt, time_point now);
    /// Records a new connection that the server reset at once. Does not count as an error.
    void onNotAccepted(attempt_id attempt, time_point now);
    /// Records the loss of a connection with a request in progress.
    void onConnectionLoss(attempt_id attempt, time_point now);
    /// Records that no connection could be opened or that no answer arrived in time. Ejects the
    /// server.
    void onNoResponse(attempt_id attempt, time_point now);
    /// Records a request that was cancelled by its caller. Does not change the estimates.
    void onCancel(attempt_id attempt);

    /// Maximum number of requests from this host in progress.
    std::size_t limit() const
    {
        return m_settings.limitsRequests
            ? m_limit.value()
            : static_cast<std::size_t>(m_settings.requestsPerSlot * m_entry.slots);
    }
    /// Number of requests from this host in progress.
    std::size_t inFlight() const { return m_outstanding.size(); }
    /// Whether a request in progress has exceeded its stall time.
    bool isStalled(time_point now) const;
    /// Whether the server receives no requests because it failed. After the ejection time it may
    /// receive one trial request at a time.
    bool isEjected(time_point now) const;
    /// Whether the server failed and has not answered since.
    bool isOnTrial() const { return m_ejectedUntil.has_value(); }
    /// Whether the server can receive a request now, unless it is at its limit of requests in
    /// progress or has to wait for its turn.
    bool isUsable(time_point now) const
    {
        return !isLeaving() && !isPaused(now) && !isEjected(now);
    }
    /// Earliest time at which the server may receive a request, unless it is at its limit of
    /// requests in progress; at least `now`. Empty if it is leaving.
    std::optional<time_point> usableAt(time_point now) const;
    /// Whether the server replied to any request, even with an error or refusal, at `since` or
    /// later.
    bool hasAnsweredSince(time_point since) const
    {
        return m_lastAnswer.has_value() && *m_lastAnswer >= since;
    }
    /// Whether the server refused a request or connection within the last `refusalBackoff`.
    bool isBackingOff(time_point now) const { return now < m_backoffUntil; }
    /// Estimated processing time as a multiple of the usual one, from this host's answers.
    double slowness(time_point now) const;
    /// The same, raised by what other hosts observed.
    double sharedSlowness(time_point now) const
    {
        return std::max(slowness(now), 1 + m_observations.excess(m_settings.observations, now));
    }
    /// Adds what another host, or this one, observed of the server; see `server_observations::add`.
    bool addObservation(const reported_slowness &observed, double trialFraction, time_point now);
    /// What hosts of the zone observed of the server since its start.
    const server_observations &observations() const { return m_observations; }
    /// Estimated share of requests that fail, from 0 to 1.
    double errorShare(time_point now) const;

    /// When the registration disappeared; empty while the server is registered.
    std::optional<time_point> unlistedSince;

private:
    struct outstanding
    {
        attempt_id attempt;
        time_point sent;
        time_point stallsAt;
    };
    struct slow_answer
    {
        time_point at;
        double slowness;
    };

    std::optional<time_point> removeOutstanding(attempt_id attempt);
    /// Limits the own estimate if another host got a normal answer to a later request than the
    /// latest one that this host got an answer to.
    void applyNormalObservation();
    void addSlownessSample(double slowness, time_point sent, time_point now);
    void eject(time_point now);
    void clearFailures(time_point now);
    double decayed(double excess, time_point since, time_point now) const;
    void addErrorSample(double sample, time_point now);

    leaf_settings m_settings;
    registered_server m_entry;
    concurrency_limit m_limit;
    std::vector<outstanding> m_outstanding;
    recent_requests m_recent;
    /// Weight of the next request in `m_recent`.
    double m_requestWeight = 1;
    double m_slownessExcess = 0;
    time_point m_slownessAt;
    /// When the latest answered request was sent.
    time_point m_answeredSent{};
    /// The latest answer, if it was slow.
    std::optional<slow_answer> m_lastSlow;
    double m_errors = 0;
    time_point m_errorsAt;
    time_point m_coldUntil;
    time_point m_backoffUntil;
    bool m_leaving = false;
    time_point m_pausedUntil{};
    std::size_t m_hosts = 1;
    /// Share of this host in the limit that the server named; empty if it named none.
    std::optional<rate_limit_share> m_rateShare;
    cold_limit m_cold;
    server_observations m_observations;
    std::optional<load_report> m_load;
    time_point m_loadAt{};
    /// When this host learned of the latest restart.
    time_point m_restartedAt{};
    std::optional<time_point> m_lastAnswer;
    std::uint32_t m_consecutiveLosses = 0;
    std::uint32_t m_ejections = 0;
    std::optional<time_point> m_ejectedUntil;
};

} // namespace waxwing::relay
