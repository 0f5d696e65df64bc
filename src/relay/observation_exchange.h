#pragma once

#include "balancing/observation_reports.h"
#include "core/random.h"
#include "membership/member.h"
#include "relay/leaf_pool.h"
#include "relay/relay_effect.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace waxwing::relay {

/// Settings of `observation_exchange`.
struct observation_exchange_settings
{
    observation_reports_settings reports{};
    /// Slowness from which a sample counts as slow, as a multiple of the usual processing time;
    /// that of `leaf_settings`.
    double slowThreshold = leaf_settings{}.slowThreshold;
    /// Multiple of the usual processing time after which a request without an answer counts as a
    /// slow sample, and the minimum time for that.
    double overdueFactor = 4;
    std::chrono::milliseconds minOverdueTime{25};
    /// Time that usual pauses of servers do not exceed. A request without an answer for longer is
    /// an observation by itself; before that it only confirms others.
    std::chrono::milliseconds longestPause{450};
    /// Time for which a slow sample of a server that is known to be slow adds nothing.
    std::chrono::milliseconds refreshInterval{500};
    /// Time between two looks at requests without an answer.
    std::chrono::milliseconds checkInterval{50};
    /// Delay of such a look from which this host counts as busy.
    std::chrono::milliseconds busyTime{100};
    /// Time without any event after which this host counts as suspended. Membership has an event
    /// each second.
    std::chrono::milliseconds suspendedTime{1500};
    /// Time after a suspension for which observations of other hosts are ignored, since they may
    /// have waited in the socket for as long as it lasted.
    std::chrono::milliseconds wakingTime{100};
    /// Age from which observations of other hosts are ignored.
    std::chrono::milliseconds maxAge{10000};
    /// Maximum number of hosts that an observation is sent to.
    std::size_t maxReceivers = 60;
    /// Maximum number of log lines a second.
    std::size_t maxLogLines = 20;

    bool operator==(const observation_exchange_settings &) const = default;
};

/// Exchange of observations of servers with the other hosts of the zone.
///
/// Decides which samples of this host tell the others something new, sends them, and adds those of
/// others to the servers of `leaf_pool`. See docs/design/shared-observations.md.
class observation_exchange
{
public:
    /// `self` is the id of this host.
    observation_exchange(const observation_exchange_settings &settings, const host_id &self);

    /// Called before each event. Detects that this host was suspended or busy.
    void onEvent(time_point now);
    /// Records that this host had lost contact with its servers until now.
    void onContactRegained(time_point now) { m_reports.onDisturbed(now); }
    /// Records an answer to a request that was sent at `sent`. `slowness` is its processing time
    /// as a multiple of the usual one.
    void onAnswer(leaf &server, double slowness, time_point sent, time_point now,
                  relay_effect_list &effects);
    /// Whether requests without an answer are to be passed to `onUnanswered` now.
    bool isCheckDue(time_point now) const { return m_nextCheck.has_value() && now >= *m_nextCheck; }
    /// Schedules the next such look. There is none while no request is in progress.
    void scheduleCheck(bool hasRequests, time_point now);
    /// Records that a request has no answer yet, while other servers have answered since it was
    /// sent. `usual` is the usual processing time and `unanswered` the time without an answer, both
    /// without network latency.
    void onUnanswered(leaf &server, duration usual, duration unanswered, time_point sent,
                      time_point now, relay_effect_list &effects);
    /// Adds the observations in a datagram of another host.
    void onDatagram(const gossip_message &message, const member &self, const leaf_pool &servers,
                    time_point now, relay_effect_list &effects);
    /// Sends what is due to the hosts of the own zone.
    void send(const member &self, const std::map<host_id, member> &hosts, time_point now,
              relay_effect_list &effects);
    /// When `send` or the look at requests without an answer is due; empty if neither is.
    std::optional<time_point> nextDeadline() const;

private:
    void addOwn(leaf &server, double slowness, time_point sent, time_point now,
                relay_effect_list &effects);
    bool addReported(const gossip_message &message, const server_observation &observed,
                     const leaf_pool &servers, time_point now, relay_effect_list &effects);
    /// Returns whether the observation is new.
    bool add(leaf &server, const reported_slowness &observed, time_point now,
             relay_effect_list &effects);
    void logChange(const leaf &server, bool isSlow, time_point now, relay_effect_list &effects);

    observation_exchange_settings m_settings;
    observation_reports m_reports;
    random_engine m_random;
    std::uint64_t m_lastOwn = 0;
    std::uint64_t m_lastDatagram = 0;
    std::optional<time_point> m_lastEvent;
    time_point m_ignoresUntil{};
    std::optional<time_point> m_nextCheck;
    /// Log lines since `m_logSecond`, and those that were left out since the last one.
    time_point m_logSecond{};
    std::size_t m_logLines = 0;
    std::size_t m_omittedLines = 0;
};

} // namespace waxwing::relay
