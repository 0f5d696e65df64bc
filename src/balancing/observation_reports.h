#pragma once

#include "balancing/recent_requests.h"
#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace waxwing {

/// Settings of `observation_reports`.
struct observation_reports_settings
{
    /// Minimum time between two datagrams to the same host.
    std::chrono::milliseconds interval{100};
    /// Maximum number of servers whose observations wait to be sent. Further ones are dropped.
    std::size_t maxPending = 400;
    /// A host reports nothing while more than this fraction of its recent answers were slow: its
    /// own link or processor is the likely cause.
    double maxSlowShare = 0.5;
    /// Number of recent slow answers from which that fraction counts.
    double minSlowAnswers = 3;

    bool operator==(const observation_reports_settings &) const = default;
};

/// Observation that waits to be sent.
struct pending_observation
{
    /// Identifies the server and its start.
    std::uint64_t server = 0;
    /// Processing time as a multiple of the usual one.
    double slowness = 1;
    /// When the observed request was sent.
    time_point sent{};

    bool operator==(const pending_observation &) const = default;
};

/// Observations of servers that this host sends to the other hosts of its zone: at most one
/// datagram per `interval` to each, and none while there is nothing new. Also decides which of its
/// own samples this host may report.
class observation_reports
{
public:
    explicit observation_reports(const observation_reports_settings &settings)
        : m_settings(settings)
    { }

    /// Records an answer of any server.
    void onAnswer(bool isSlow, time_point now);
    /// Records that this host was suspended or busy, or had lost contact with its servers, until
    /// `now`. Answers to earlier requests say more about this host than about their servers.
    void onDisturbed(time_point now) { m_disturbedUntil = now; }
    /// Whether a sample from a request that was sent at `sent` may be reported.
    bool isTrusted(time_point sent, time_point now) const;

    /// Adds an observation to be sent. It replaces an earlier one of the server. Returns false if
    /// too many wait.
    bool add(const pending_observation &observed, time_point now);
    /// When the next datagram is due; empty if nothing waits.
    std::optional<time_point> nextSend() const;
    /// Removes and returns at most `count` observations if they are due at `now`.
    std::vector<pending_observation> take(std::size_t count, time_point now);

private:
    observation_reports_settings m_settings;
    recent_requests m_answers;
    recent_requests m_slowAnswers;
    time_point m_disturbedUntil{};
    std::vector<pending_observation> m_pending;
    /// When the first of `m_pending` was added.
    time_point m_pendingSince{};
    std::optional<time_point> m_lastSend;
};

} // namespace waxwing
