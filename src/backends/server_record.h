#pragma once

#include "backends/backend_pool.h"
#include "backends/concurrency_limit.h"
#include "backends/held_snapshots.h"

#include <cstdint>
#include <optional>

namespace waxwing {

/// Load, latency, failures and snapshots of one backend server as seen by this host.
class server_record
{
public:
    server_record(const backend_pool_settings &settings, const backend_server &server,
                  time_point now);

    /// Applies a new configuration of the same server.
    void configure(const backend_server &server);
    /// Limits the requests in progress to the number of connections of this host.
    void setConnections(std::uint32_t connections);

    /// Called when a request was sent to the server.
    void onSent(time_point now);
    /// Called when the server replied. Returns whether the reply ended an ejection.
    bool onAnswer(duration latency, time_point now);
    /// Called when a request failed. Returns whether the server should be ejected.
    bool onFailure(const leaf_failure &failure, time_point now);
    /// Called when a request was cancelled or abandoned.
    void onAbandoned();
    /// Called when a request was given up after `elapsed`, which is longer than replies usually
    /// take. Returns whether the server should be ejected.
    bool onUnanswered(duration elapsed, time_point now);
    /// Ejects the server. The duration doubles with each ejection up to `longestEjection`.
    void eject(time_point now);

    bool isEjected() const { return m_ejectedUntil.has_value(); }
    /// Whether the ejection time has passed and no trial request is in progress.
    bool isTrialDue(time_point now) const;
    /// Whether requests are in progress and there was no reply for much longer than the typical
    /// latency.
    bool isStalled(time_point now) const;
    /// Whether the requests in progress have reached the concurrency limit.
    bool isFull() const { return m_inFlight >= m_limit.value(); }
    /// Whether the server receives no new requests.
    bool isLeaving(wall_time wall) const;
    /// Expected time until a reply, in seconds; higher after failures.
    double expectedWait(time_point now) const;
    /// Whether the server replied within the last `window`.
    bool answeredWithin(std::chrono::milliseconds window, time_point now) const;

    /// Whether the server was marked as leaving by the platform, a peer or itself.
    bool leaving = false;
    /// Draining state that the server last reported.
    bool reportedDraining = false;
    /// Whether the server reported that it is starting and has not replied to a request since.
    bool starting = false;
    /// Snapshots that the server reported.
    held_snapshots held;
    /// The server's entry in the configuration.
    const backend_server &configured() const { return m_server; }

private:
    void endRequest();
    void sample(double seconds, time_point now);
    double smoothed(std::optional<double> before, double seconds) const;
    bool countFailure(bool wasTrial, time_point now);
    double ceiling() const;
    double decayFactor(time_point since, time_point now) const;

    backend_pool_settings m_settings;
    backend_server m_server;
    concurrency_limit m_limit;
    std::optional<std::uint32_t> m_connections;
    std::uint32_t m_inFlight = 0;
    /// When the first request after the last reply was sent; empty without requests in progress or
    /// without a request since the last reply.
    std::optional<time_point> m_unansweredSince;
    std::optional<double> m_latency;
    /// Smoothed latency of replies, in seconds. Unanswered requests are excluded, because they
    /// would raise the stall threshold of a server that does not reply.
    std::optional<double> m_typicalLatency;
    time_point m_latencyAt;
    std::optional<time_point> m_lastAnswer;
    std::uint32_t m_failuresInRow = 0;
    time_point m_lastFailure;
    std::optional<time_point> m_ejectedUntil;
    std::uint32_t m_ejections = 0;
    bool m_trialInFlight = false;
};

} // namespace waxwing
