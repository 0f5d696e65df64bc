#include "relay/observation_exchange.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

using verdict_kind = server_observations::verdict_kind;

constexpr double percent = 100;
constexpr std::uint32_t maxPercent = 10000;

server_observation encode(const pending_observation &observed, time_point now)
{
    const double value = std::clamp(observed.slowness * percent, 1.0, double{maxPercent});
    return {observed.server, static_cast<std::uint32_t>(std::lround(value)),
            std::chrono::floor<std::chrono::milliseconds>(now - observed.sent)};
}

void count(const char *name, std::size_t amount, relay_effect_list &effects)
{
    if (amount > 0)
        effects.emplace_back(count_metric{name, amount});
}

} // namespace

observation_exchange::observation_exchange(const observation_exchange_settings &settings,
                                           const host_id &self)
    : m_settings(settings), m_reports(settings.reports), m_random(stableHash(self.value))
{ }

void observation_exchange::onEvent(time_point now)
{
    const bool wasSuspended =
        m_lastEvent.has_value() && now - *m_lastEvent >= m_settings.suspendedTime;
    if (wasSuspended)
        m_ignoresUntil = now + m_settings.wakingTime;
    if (wasSuspended || (m_nextCheck.has_value() && now - *m_nextCheck >= m_settings.busyTime))
        m_reports.onDisturbed(now);
    m_lastEvent = now;
}

void observation_exchange::onAnswer(leaf &server, double slowness, time_point sent, time_point now,
                                    relay_effect_list &effects)
{
    const bool isSlow = slowness >= m_settings.slowThreshold;
    m_reports.onAnswer(isSlow, now);
    const server_observations &known = server.observations();
    if (isSlow || (known.latestKnown().has_value() && sent >= *known.latestKnown()))
        addOwn(server, slowness, sent, now, effects);
}

void observation_exchange::scheduleCheck(bool hasRequests, time_point now)
{
    if (!hasRequests)
        m_nextCheck.reset();
    else if (!m_nextCheck.has_value() || now >= *m_nextCheck)
        m_nextCheck = now + m_settings.checkInterval;
}

void observation_exchange::onUnanswered(leaf &server, duration usual, duration unanswered,
                                        time_point sent, time_point now, relay_effect_list &effects)
{
    const auto overdue = std::chrono::duration_cast<duration>(usual * m_settings.overdueFactor);
    if (unanswered < std::max<duration>(overdue, m_settings.minOverdueTime))
        return;
    const server_observations &known = server.observations();
    const bool confirms = known.firstKnown().has_value() && sent >= *known.firstKnown();
    if (!confirms && unanswered < m_settings.longestPause)
        return;
    const std::chrono::duration<double> time = unanswered;
    addOwn(server, time / std::chrono::duration<double>(usual), sent, now, effects);
}

void observation_exchange::addOwn(leaf &server, double slowness, time_point sent, time_point now,
                                  relay_effect_list &effects)
{
    if (!m_reports.isTrusted(sent, now) || sent < server.restartedAt())
        return;
    if (slowness >= m_settings.slowThreshold) {
        const server_observations &known = server.observations();
        const auto verdict = known.verdict(server.settings().observations, now);
        // A request that was sent before another slow one was answered may have been delayed by the
        // same pause of the server.
        if (verdict == verdict_kind::Suspected && sent < *known.firstKnown())
            return;
        if (verdict == verdict_kind::Slow
            && sent < *known.latestSlow() + m_settings.refreshInterval)
            return;
    }
    if (!add(server, {0, 0, ++m_lastOwn, slowness, sent, now}, now, effects))
        return;
    if (!m_reports.add({observationKey(server.entry()), slowness, sent}, now))
        count("relay_observations_dropped_total", 1, effects);
}

void observation_exchange::onDatagram(const gossip_message &message, const member &self,
                                      const leaf_pool &servers, time_point now,
                                      relay_effect_list &effects)
{
    const bool isUsable = message.sender.zone == self.zone && message.sender.host != self.host
        && now >= m_ignoresUntil;
    std::size_t received = 0;
    for (const server_observation &each : message.observations) {
        if (isUsable && addReported(message, each, servers, now, effects))
            ++received;
    }
    count("relay_observations_received_total", received, effects);
    count("relay_observations_ignored_total", message.observations.size() - received, effects);
}

bool observation_exchange::addReported(const gossip_message &message,
                                       const server_observation &observed, const leaf_pool &servers,
                                       time_point now, relay_effect_list &effects)
{
    if (observed.slownessPercent == 0 || observed.slownessPercent > maxPercent
        || observed.age > m_settings.maxAge)
        return false;
    const std::shared_ptr<leaf> server = servers.findObserved(observed.server);
    if (server == nullptr)
        return false;
    return add(*server,
               {stableHash(message.sender.host.value), message.sender.incarnation, message.probe,
                observed.slownessPercent / percent, now - observed.age, now},
               now, effects);
}

bool observation_exchange::add(leaf &server, const reported_slowness &observed, time_point now,
                               relay_effect_list &effects)
{
    const server_observations_settings &settings = server.settings().observations;
    const bool wasSlow = server.observations().verdict(settings, now) == verdict_kind::Slow;
    constexpr std::uint32_t steps = 1000;
    const double trialFraction = static_cast<double>(m_random(steps)) / steps;
    const bool isAccepted = server.addObservation(observed, trialFraction, now);
    const bool isSlow = server.observations().verdict(settings, now) == verdict_kind::Slow;
    if (wasSlow != isSlow)
        logChange(server, isSlow, now, effects);
    return isAccepted;
}

void observation_exchange::logChange(const leaf &server, bool isSlow, time_point now,
                                     relay_effect_list &effects)
{
    effects.emplace_back(
        count_metric{isSlow ? "relay_servers_slow_total" : "relay_servers_normal_total", 1});
    if (now - m_logSecond >= std::chrono::seconds(1)) {
        m_logSecond = now;
        m_logLines = 0;
    }
    if (++m_logLines > m_settings.maxLogLines) {
        ++m_omittedLines;
        return;
    }
    const server_observations &known = server.observations();
    const duration age = now - known.latestSlow().value_or(now);
    appendLog(effects, log_level::Info,
              isSlow ? "a backend server is slow for several hosts"
                     : "a backend server is no longer slow for several hosts",
              {{"server", server.entry().id.value},
               {"service", server.entry().service.value},
               {"own_slowness", fmt::format("{:.1f}", server.slowness(now))},
               {"shared_slowness", fmt::format("{:.1f}", server.sharedSlowness(now))},
               {"slow_for_hosts", fmt::to_string(known.slowReporters())},
               {"reporting_hosts", fmt::to_string(known.size())},
               {"age_ms",
                fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())},
               {"omitted_lines", fmt::to_string(std::exchange(m_omittedLines, 0))}});
}

void observation_exchange::send(const member &self, const std::map<host_id, member> &hosts,
                                time_point now, relay_effect_list &effects)
{
    const auto due = m_reports.nextSend();
    if (!due.has_value() || now < *due)
        return;
    gossip_message message;
    message.kind = gossip_message::message_kind::ServerObservations;
    message.sender = self;
    message.probe = ++m_lastDatagram;
    for (const pending_observation &each : m_reports.take(maxServerObservations, now)) {
        if (now - each.sent <= m_settings.maxAge)
            message.observations.push_back(encode(each, now));
    }
    if (message.observations.empty())
        return;
    std::vector<const endpoint *> receivers;
    for (const auto &[id, each] : hosts) {
        if (each.zone == self.zone && id != self.host && each.state < member_state::Leaving)
            receivers.push_back(&each.gossip);
    }
    // A zone with more hosts learns from several hosts, which choose different receivers.
    while (receivers.size() > m_settings.maxReceivers) {
        receivers[m_random(static_cast<std::uint32_t>(receivers.size()))] = receivers.back();
        receivers.pop_back();
    }
    for (const endpoint *each : receivers)
        effects.emplace_back(send_datagram{*each, message});
    count("relay_observations_sent_total", receivers.size() * message.observations.size(), effects);
}

std::optional<time_point> observation_exchange::nextDeadline() const
{
    const auto next = m_reports.nextSend();
    return next.has_value() && m_nextCheck.has_value() ? std::min(*next, *m_nextCheck)
        : next.has_value()                             ? next
                                                       : m_nextCheck;
}

} // namespace waxwing::relay
