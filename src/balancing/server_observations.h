#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace waxwing {

/// Settings of `server_observations`.
struct server_observations_settings
{
    /// Slowness from which an observation counts as slow, as a multiple of the usual processing
    /// time.
    double slowThreshold = 3;
    /// Upper bound of the slowness that is used, as for a host's own answers.
    double maxSlowness = 8;
    /// Half-life of the contribution to the slowness estimate.
    std::chrono::milliseconds halfLife{4000};
    /// Age from which observations are not used.
    std::chrono::milliseconds maxAge{10000};
    /// Part of an observed slowness that counts while no second host confirms it. With the largest
    /// slowness it is below the difference up to which `server_choice` takes costs as equal, so
    /// that one host alone does not make others avoid a server.
    double singleShare = 0.05;
    /// Bounds of the time after the latest slow request from which a host ignores the contribution,
    /// so that its next request shows whether the server is still slow. Hosts draw different times;
    /// the first of them informs the others.
    std::chrono::milliseconds minTrialDelay{700};
    std::chrono::milliseconds maxTrialDelay{5000};
    /// Difference between the times at which two hosts of a zone learn of the same observation.
    std::chrono::milliseconds arrivalTolerance{20};
    /// Maximum number of hosts whose observations are kept for a server.
    std::size_t maxReporters = 16;

    bool operator==(const server_observations_settings &) const = default;
};

/// Latest observation of one host about a server.
struct reported_slowness
{
    /// `stableHash` of the host's id; 0 for this host.
    std::uint64_t reporter = 0;
    /// Incarnation of the host, and number of the datagram. Later ones are newer.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Processing time as a multiple of the usual one.
    double slowness = 1;
    /// When the observed request was sent. The server was slow or normal at some time since.
    time_point sent{};
    /// When this host learned of it; not before the request was answered.
    time_point known{};

    bool operator==(const reported_slowness &) const = default;
};

/// What the hosts of a zone, including this one, observed of the processing time of one server.
///
/// Handles a server that is slow for several hosts, while pauses of the server, and hosts with a
/// slow link, do not make all hosts avoid it. A pause delays requests that were sent before it
/// ended. Two slow requests show a slow server only if they come from different hosts, and one was
/// sent after the other had been answered. A normal answer to a later request withdraws slow ones.
class server_observations
{
public:
    /// What the observations show together.
    enum class verdict_kind {
        /// No host observed slowness, or it was contradicted.
        Normal,
        /// One host observed slowness, or several during what may be one pause.
        Suspected,
        /// Two hosts observed slowness in different requests.
        Slow,
    };

    /// Adds an observation. Returns false if a newer or the same one of the host is known, or if it
    /// is older than `maxAge`. `trialFraction`, from 0 to 1, determines when this host tries the
    /// server again.
    bool add(const server_observations_settings &settings, const reported_slowness &observed,
             double trialFraction, time_point now);
    /// Forgets everything, after a restart of the server.
    void clear() { *this = {}; }

    verdict_kind verdict(const server_observations_settings &settings, time_point now) const;
    /// Excess of the processing time over the usual one, as a multiple of it, by which the estimate
    /// of this host is at least to be raised; 0 if there is none.
    double excess(const server_observations_settings &settings, time_point now) const;
    /// Number of hosts that observed slowness, unless it was contradicted.
    std::size_t slowReporters() const { return m_slowReporters; }
    /// When the latest request was sent that was observed to be slow and is not contradicted.
    std::optional<time_point> latestSlow() const { return m_latestSlow; }
    /// When the latest request was sent that was observed to be normal.
    std::optional<time_point> latestNormal() const { return m_latestNormal; }
    /// When this host learned of slowness that is not contradicted: the first and the latest time.
    /// A request that was sent after the first can confirm it, one after the latest contradict it.
    std::optional<time_point> firstKnown() const { return m_firstKnown; }
    std::optional<time_point> latestKnown() const { return m_latestKnown; }
    /// Whether there are no observations.
    bool isEmpty() const { return m_latest.empty(); }
    /// Number of hosts whose observations are kept.
    std::size_t size() const { return m_latest.size(); }

private:
    void evaluate(const server_observations_settings &settings, time_point now);

    std::vector<reported_slowness> m_latest;
    verdict_kind m_verdict = verdict_kind::Normal;
    double m_excess = 0;
    std::size_t m_slowReporters = 0;
    std::optional<time_point> m_latestSlow;
    std::optional<time_point> m_latestNormal;
    std::optional<time_point> m_firstKnown;
    std::optional<time_point> m_latestKnown;
    /// From when on this host ignores the excess.
    time_point m_trialAt{};
};

} // namespace waxwing
