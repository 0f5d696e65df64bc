#pragma once

#include "backends/concurrency_limit.h"
#include "core/clock.h"
#include "relay/relay_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace waxwing::relay {

/// How backend servers are judged.
struct leaf_settings
{
    /// Weight of a new sample in the estimates of slowness and errors.
    double sampleWeight = 0.2;
    /// Most that one sample says about slowness, in multiples of the usual work. A pause of the
    /// server makes single requests much slower than this and says little about the next ones.
    double maxSlowness = 8;
    /// Time after which an estimate counts half, so that a server that recovered is used again.
    std::chrono::milliseconds estimateHalfLife{4000};
    /// Work from which an answer is slow, in multiples of the usual work.
    double slowThreshold = 3;
    /// Work of a server that is still slow after its start, in multiples of the usual work.
    double coldSlowness = 1.6;
    /// Multiple of the expected time after which a request without an answer shows a stall.
    double stallFactor = 4;
    /// Least time after which a request without an answer shows a stall; a few scheduling delays
    /// of a busy host.
    std::chrono::milliseconds minStallTime{25};
    /// First time for which a failing server gets no requests; doubled with each further one.
    std::chrono::milliseconds firstEjection{250};
    /// Longest time for which a failing server gets no requests.
    std::chrono::milliseconds longestEjection{2000};
    /// Lost connections in a row after which a server is ejected. One is not enough, since a
    /// server may lose single answers.
    std::uint32_t lossesBeforeEjection = 3;
    /// Time for which a server that refused for load is avoided.
    std::chrono::milliseconds refusalBackoff{40};
    /// Most requests in progress on a server from this host, per slot of the server.
    double requestsPerSlot = 2;
    /// Factor by which the limit of requests in progress falls when the server is overloaded.
    double limitDecrease = 0.7;
    /// Time in which the limit falls once; the answers of one queue say the same.
    std::chrono::milliseconds limitDecreaseInterval{100};
    /// Time after the first request in which the limit grows with each good answer.
    std::chrono::milliseconds limitRamp{10000};
    /// Time that a failed request costs, as part of the expected time. More than a way to another
    /// region and its price, since the retry takes one of the few extra requests of the service.
    std::chrono::milliseconds failureCost{300};

    bool operator==(const leaf_settings &) const = default;
};

/// What is known about one backend server, from the results of this host's requests.
class leaf
{
public:
    leaf(const leaf_settings &settings, registered_server entry, time_point now);

    /// What the server registered.
    const registered_server &entry() const { return m_entry; }
    /// Takes over a changed registration. A server that started anew loses its record.
    void update(registered_server entry, time_point now);

    /// A request that should be answered within `expected` was sent.
    void onSent(attempt_id attempt, duration expected, time_point now);
    /// The request was answered; `slowness` is its work in multiples of the usual one. `late` says
    /// that it took too much of the latency goal, so that fewer requests should wait there.
    void onAnswer(attempt_id attempt, double slowness, bool late, time_point now);
    /// The server failed the request, but is there.
    void onError(attempt_id attempt, time_point now);
    /// The server refused the request for load.
    void onRefusal(attempt_id attempt, time_point now);
    /// The server did not accept a further connection.
    void onNotAccepted(attempt_id attempt, time_point now);
    /// The connection was lost.
    void onConnectionLoss(attempt_id attempt, time_point now);
    /// No connection could be opened, or the server stayed silent until it was given up.
    void onNoResponse(attempt_id attempt, time_point now);
    /// The request was cancelled by its caller.
    void onCancel(attempt_id attempt);

    /// Requests that may be in progress.
    std::size_t limit() const { return m_limit.value(); }
    /// Requests in progress.
    std::size_t inFlight() const { return m_outstanding.size(); }
    /// Whether a request has waited for longer than a working server would need.
    bool isStalled(time_point now) const;
    /// Whether the server gets no requests because it failed. An ejected server whose time is over
    /// may get one request as a trial.
    bool isEjected(time_point now) const;
    /// When an ejected server may get a trial request; empty if it is not ejected.
    std::optional<time_point> trialAt() const { return m_ejectedUntil; }
    /// Whether the server answered anything since `since`.
    bool hasAnsweredSince(time_point since) const
    {
        return m_lastAnswer.has_value() && *m_lastAnswer >= since;
    }
    /// Whether the server refused for load a moment ago.
    bool isBackingOff(time_point now) const { return now < m_backoffUntil; }
    /// Work in multiples of the usual one.
    double slowness(time_point now) const;
    /// Share of the requests that the server fails.
    double errorShare(time_point now) const;

    /// When the registration disappeared; empty while it is there.
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
    void addSlownessSample(double slowness, time_point sent, time_point now);
    void eject(time_point now);
    void clearFailures(time_point now);
    double decayed(double excess, time_point since, time_point now) const;
    void addErrorSample(double sample, time_point now);

    leaf_settings m_settings;
    registered_server m_entry;
    concurrency_limit m_limit;
    std::vector<outstanding> m_outstanding;
    double m_slownessExcess = 0;
    time_point m_slownessAt;
    /// The last answer, if it was slow.
    std::optional<slow_answer> m_lastSlow;
    double m_errors = 0;
    time_point m_errorsAt;
    time_point m_coldUntil;
    time_point m_backoffUntil;
    std::optional<time_point> m_lastAnswer;
    std::uint32_t m_consecutiveLosses = 0;
    std::uint32_t m_ejections = 0;
    std::optional<time_point> m_ejectedUntil;
};

} // namespace waxwing::relay
