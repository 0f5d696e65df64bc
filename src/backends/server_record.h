#pragma once

#include "backends/backend_pool.h"
#include "backends/concurrency_limit.h"
#include "backends/held_snapshots.h"

#include <cstdint>
#include <optional>

namespace waxwing {

/// What is known about one backend server.
class server_record
{
public:
    server_record(const backend_pool_settings &settings, const backend_server &server,
                  time_point now);

    /// Takes over a new configuration of the same server.
    void configure(const backend_server &server);
    /// Changes the most requests in progress, by the connections of this host.
    void setConnections(std::uint32_t connections);

    /// A request was handed to the server.
    void onSent(time_point now);
    /// A request was answered. Returns whether this ended an ejection.
    bool onAnswer(duration latency, time_point now);
    /// A request failed. Returns whether the server has failed often enough to be ejected.
    bool onFailure(const leaf_failure &failure, time_point now);
    /// A request was cancelled or abandoned.
    void onAbandoned();
    /// A request was given up after `elapsed`, which is longer than answers usually take. Returns
    /// whether the server has failed often enough to be ejected.
    bool onUnanswered(duration elapsed, time_point now);
    /// Ejects the server, for longer each time.
    void eject(time_point now);

    /// Whether the server is ejected.
    bool isEjected() const { return m_ejectedUntil.has_value(); }
    /// Whether an ejected server may get a trial request.
    bool isTrialDue(time_point now) const;
    /// Whether requests are in progress and nothing was answered for much longer than usual.
    bool isStalled(time_point now) const;
    /// Whether the server is at its limit.
    bool isFull() const { return m_inFlight >= m_limit.value(); }
    /// Whether the server gets no new work.
    bool isLeaving(wall_time wall) const;
    /// Expected wait for a reply, in seconds; higher after failures.
    double expectedWait(time_point now) const;
    /// Whether a reply within `window` outweighs a health report.
    bool answeredWithin(std::chrono::milliseconds window, time_point now) const;

    /// Marked as leaving.
    bool leaving = false;
    /// What the server last said about leaving.
    bool reportedDraining = false;
    /// Whether the server said that it is starting, with no reply since.
    bool starting = false;
    /// Snapshots that it reported.
    held_snapshots held;
    /// The server in the configuration.
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
    /// When the first request was sent of those in progress since the last answer.
    std::optional<time_point> m_unansweredSince;
    std::optional<double> m_latency;
    /// Latency of answers alone, in seconds: a server that answers nothing must not seem slow.
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
