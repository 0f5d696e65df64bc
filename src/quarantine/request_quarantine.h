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
#include <vector>

namespace waxwing {

/// Policy of `request_quarantine`.
struct quarantine_settings
{
    /// Crashes after which a request is refused.
    std::uint32_t crashesToList = 2;
    /// Requests that reach `crashesToList` within this time of each other ran on the same server,
    /// perhaps on different hosts. Only one of them is the cause, so each needs one crash more.
    std::chrono::milliseconds tieWindow{50};
    /// Time for which a request is refused and a crash is remembered.
    std::chrono::milliseconds listedFor{300000};
    /// Time after a crash in which unknown requests of the service wait for their canary shard.
    std::chrono::milliseconds alertTime{120000};
    /// Servers lost within this time are taken as lost together.
    std::chrono::milliseconds burstWindow{1000};
    /// Servers lost together without a request after which the request is not taken as the cause.
    std::size_t unrelatedLosses = 2;
    /// Suspected requests that are remembered.
    std::size_t maxSuspects = 10000;

    bool operator==(const quarantine_settings &) const = default;
};

/// Identity of a request for the quarantine: its service and query, without its page.
std::uint64_t requestFingerprint(const service_id &service, std::string_view query);

/// Bounds the crashes that one request causes on backend servers.
class request_quarantine
{
public:
    explicit request_quarantine(quarantine_settings settings);

    /// Time for which the request is still refused; empty if it may run.
    std::optional<std::chrono::milliseconds> listedFor(std::uint64_t fingerprint,
                                                       time_point now) const;
    /// Whether the request was answered by a backend server before.
    bool isKnownGood(std::uint64_t fingerprint) const;
    /// Whether the request was in progress on a server that was lost.
    bool isSuspect(std::uint64_t fingerprint, time_point now) const;
    /// Crashes counted for the request so far.
    std::uint32_t crashes(std::uint64_t fingerprint, time_point now) const;
    /// Whether the service had a crash recently.
    bool hasRecentCrash(const service_id &service, time_point now) const;

    /// A backend server answered the request, so it does not crash servers.
    void onAnswer(std::uint64_t fingerprint, time_point now);
    /// The connection to `server` broke with the request in progress, sent at `sent`.
    void onConnectionLost(const service_id &service, std::uint64_t fingerprint,
                          const server_id &server, time_point sent, time_point now);
    /// Takes over a fact of another host.
    void onFact(const fact &received, time_point now);

    /// Crash counted here, to be published as a fact.
    struct observation
    {
        /// Subject of the fact.
        std::string subject;
        /// Crashes of the request known to this host.
        std::uint64_t crashes = 0;
        /// Time that the observation is valid.
        std::chrono::milliseconds validFor{0};

        bool operator==(const observation &) const = default;
    };
    /// Observations since the last call.
    std::vector<observation> takeObservations();

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        /// Attempts sent before this saw the same crash as the count already has.
        time_point countedAt;
        time_point expires;
        std::set<server_id> servers;
        /// When the count came to `crashesToList`.
        std::optional<time_point> reachedAt;
        /// Whether another request reached it at the same time.
        bool contested = false;
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
    bool isCorrelatedLoss(const suspect &candidate) const;

    quarantine_settings m_settings;
    known_good_cache m_good;
    std::map<std::uint64_t, suspect> m_suspects;
    std::map<service_id, time_point> m_lastCrash;
    std::deque<server_loss> m_losses;
    /// Requests that came to `crashesToList` last, oldest first.
    std::deque<std::uint64_t> m_reached;
    std::vector<observation> m_observations;
};

} // namespace waxwing
