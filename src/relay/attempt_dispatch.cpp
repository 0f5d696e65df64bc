// Handlers of `relay_dispatch` for requests to backend servers and other hosts that ended.

#include "relay/relay_dispatch.h"
#include "relay/server_reports.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace waxwing::relay {

relay_attempt relay_dispatch::removeAttempt(attempt_id id, bool &found)
{
    relay_requests &requests = m_parts.requests;
    const auto known = requests.attempts.find(id.value);
    found = known != requests.attempts.end();
    if (!found)
        return {};
    relay_attempt attempt = std::move(known->second);
    requests.attempts.erase(known);
    if (!attempt.request.has_value())
        return attempt;
    const auto pending = requests.inProgress.find(attempt.request->value);
    if (pending == requests.inProgress.end())
        attempt.request.reset();
    else
        std::erase(pending->second->parts[attempt.part].attempts, id);
    return attempt;
}

void relay_dispatch::recordAnnouncements(leaf &server, const leaf_reply &reply)
{
    if (reply.leaving && !server.isLeaving()) {
        server.onLeaving();
        m_effects.emplace_back(count_metric{"relay_servers_leaving_total", 1});
        appendLog(m_effects, log_level::Info, "a backend server announced that it is leaving",
                  {{"server", server.entry().id.value},
                   {"service", server.entry().service.value},
                   {"address", server.entry().address.toString()}});
    }
    if (!reply.pause.has_value())
        return;
    const bool isNew = !server.isPaused(m_now);
    server.onPauseRequested(m_now + *reply.pause);
    m_effects.emplace_back(count_metric{"relay_server_pauses_total", 1});
    if (isNew)
        appendLog(m_effects, log_level::Info, "a backend server asked for a pause",
                  {{"server", server.entry().id.value},
                   {"service", server.entry().service.value},
                   {"pause_ms", fmt::to_string(reply.pause->count())}});
}

void relay_dispatch::recordNoResponse(leaf &server, attempt_id id)
{
    server.onNoResponse(id, m_now);
    m_parts.requests.contact.onNoResponse(server.entry().id, m_now);
}

void relay_dispatch::recordContact()
{
    const auto lostFor = m_parts.requests.contact.onAnswer(m_now);
    if (!lostFor.has_value())
        return;
    if (m_parts.observations.has_value())
        m_parts.observations->onContactRegained(m_now);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(*lostFor);
    appendLog(m_effects, log_level::Info, "regained contact with backend servers",
              {{"lost_for_ms", fmt::to_string(time.count())}});
}

void relay_dispatch::checkContact()
{
    relay_requests &requests = m_parts.requests;
    if (requests.contact.expire(m_now))
        appendLog(m_effects, log_level::Info, "tries backend servers again after lost contact", {});
    if (requests.contact.isLost() || !requests.contact.isQuiet(m_now))
        return;
    const std::vector<server_id> overdue = requests.leaves.stalledServers(m_now);
    if (!requests.contact.check(overdue, m_now))
        return;
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        requests.contact.timeSinceAnswer(m_now));
    m_effects.emplace_back(count_metric{"relay_server_contact_lost_total", 1});
    appendLog(m_effects, log_level::Warning, "lost contact with backend servers",
              {{"no_answer_ms", fmt::to_string(silence.count())},
               {"overdue_servers", fmt::to_string(overdue.size())},
               {"servers", fmt::to_string(requests.leaves.size())},
               {"requests", fmt::to_string(requests.inProgress.size())}});
}

void relay_dispatch::recordRateLimit(leaf &server, const leaf_reply &reply)
{
    const std::optional<double> before = server.rateLimit();
    if (reply.isRateLimitMalformed) {
        m_effects.emplace_back(count_metric{"relay_server_limits_malformed_total", 1});
        appendLog(m_effects, log_level::Warning,
                  "a backend server named a limit that cannot be read",
                  {{"server", server.entry().id.value},
                   {"limit_in_force", before ? fmt::format("{:.1f}", *before) : "none"}});
        return;
    }
    if (reply.rateLimit == before)
        return;
    server.onRateLimit(reply.rateLimit, m_parts.turnPhase, m_now);
    if (!before.has_value())
        m_effects.emplace_back(count_metric{"relay_server_limits_total", 1});
    // A limit may change with every answer; small changes are not logged.
    constexpr double loggedChange = 0.1;
    if (before.has_value() && reply.rateLimit.has_value()
        && std::abs(*reply.rateLimit - *before) < loggedChange * *before)
        return;
    std::string message = "a backend server named a limit";
    if (!reply.rateLimit.has_value())
        message = "a backend server withdrew its limit";
    else if (before.has_value())
        message = "a backend server changed its limit";
    appendLog(m_effects, log_level::Info, std::move(message),
              {{"server", server.entry().id.value},
               {"service", server.entry().service.value},
               {"limit_per_s",
                fmt::format("{:.1f}", reply.rateLimit.has_value() ? *reply.rateLimit : *before)},
               {"hosts", fmt::to_string(m_parts.requests.hosts)}});
}

void relay_dispatch::recordReply(const relay_attempt &attempt, attempt_id id,
                                 const leaf_reply &reply)
{
    relay_requests &requests = m_parts.requests;
    leaf &server = *attempt.server;
    recordContact();
    recordAnnouncements(server, reply);
    if (reply.otherServer) {
        server.onNoResponse(id, m_now);
        return;
    }
    recordRateLimit(server, reply);
    server_reports(m_effects, m_now).record(server, attempt.sent, reply);
    if (reply.notRun) {
        server.onRefusal(id, m_now);
        return;
    }
    constexpr int firstServerError = 500;
    if (reply.status >= firstServerError) {
        server.onError(id, m_now);
        return;
    }
    const duration latency = m_now - attempt.sent;
    zone_latencies &zoneLatencies = requests.leaves.zoneLatencies();
    zoneLatencies.onAnswer(server.entry().zone, latency);
    const duration serverTime =
        latency - std::min(latency, zoneLatencies.roundTrip(server.entry().zone));
    const std::chrono::duration<double> taken = serverTime;
    const std::chrono::duration<double> typical = attempt.statistics->work.typical();
    server.onAnswer(id, taken / typical, serverTime >= attempt.statistics->lateThreshold(), m_now);
    observeAnswer(server, taken / typical, attempt.sent);
    attempt.statistics->work.add(serverTime, m_now);
    requests.quarantine.onAnswer(attempt.fingerprint, m_now);
}

void relay_dispatch::logLoss(const relay_attempt &attempt, std::string_view verdict)
{
    m_effects.emplace_back(count_metric{fmt::format("relay_lost_requests_total_{}", verdict), 1});
    const registered_server &entry = attempt.server->entry();
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - attempt.sent);
    log_entry line{log_level::Info, "a connection ended before the answer", {}};
    if (attempt.request.has_value())
        line.fields.emplace_back(
            "request", m_parts.requests.inProgress.at(attempt.request->value)->request->callerId);
    line.fields.emplace_back("fingerprint", fmt::format("{:016x}", attempt.fingerprint));
    line.fields.emplace_back("server", entry.id.value);
    line.fields.emplace_back("server_started", fmt::to_string(entry.startedAt));
    line.fields.emplace_back("after_ms", fmt::to_string(after.count()));
    line.fields.emplace_back("crash", std::string(verdict));
    m_effects.emplace_back(write_log{std::move(line)});
}

void relay_dispatch::operator()(const leaf_answered &answered)
{
    bool found = false;
    const relay_attempt attempt = removeAttempt(answered.attempt, found);
    if (!found)
        return;
    recordReply(attempt, answered.attempt, answered.reply);
    if (attempt.request.has_value()) {
        advance(*attempt.request,
                [&](request_progress &request) { request.onReply(attempt, answered.reply); });
    }
    sendWaitingParts(attempt.server->entry().service);
}

void relay_dispatch::operator()(const leaf_failed &failed)
{
    bool found = false;
    const relay_attempt attempt = removeAttempt(failed.attempt, found);
    if (!found)
        return;
    leaf &server = *attempt.server;
    const bool wasCold = server.cold().isLimited(m_now);
    switch (failed.reason) {
    case leaf_failure::NotSent:
        recordNoResponse(server, failed.attempt);
        break;
    case leaf_failure::DeadlinePassed:
        server.onCancel(failed.attempt);
        m_effects.emplace_back(count_metric{"relay_requests_not_written_in_time_total", 1});
        break;
    case leaf_failure::NotAccepted:
        server.onNotAccepted(failed.attempt, m_now);
        m_effects.emplace_back(count_metric{"relay_connections_not_accepted_total", 1});
        logLoss(attempt, "not_accepted");
        m_parts.requests.quarantine.onConnectionNotAccepted(
            attempt.fingerprint, {server.entry().id, observationKey(server.entry())}, attempt.sent,
            m_now);
        break;
    case leaf_failure::ConnectionLost:
        server.onConnectionLoss(failed.attempt, m_now);
        logLoss(attempt,
                verdictName(m_parts.requests.quarantine.onConnectionLost(
                    server.entry().service, attempt.fingerprint,
                    {server.entry().id, observationKey(server.entry())}, attempt.sent, m_now)));
        if (!attempt.request.has_value())
            m_parts.requests.quarantine.onUnanswered(attempt.fingerprint);
        break;
    case leaf_failure::Malformed:
        recordContact();
        server.onError(failed.attempt, m_now);
        break;
    }
    server_reports(m_effects, m_now).recordSuspicion(server, wasCold);
    if (attempt.request.has_value()) {
        advance(*attempt.request,
                [&](request_progress &request) { request.onFailure(attempt, failed.reason); });
    }
    sendWaitingParts(server.entry().service);
}

void relay_dispatch::operator()(const forward_answered &answered)
{
    const auto known = m_parts.requests.forwards.find(answered.attempt.value);
    if (known == m_parts.requests.forwards.end())
        return;
    advance(known->second, [&](request_progress &request) {
        request.onForwardAnswer(answered.reply, answered.refusalCode);
    });
}

void relay_dispatch::operator()(const forward_failed &failed)
{
    const auto known = m_parts.requests.forwards.find(failed.attempt.value);
    if (known == m_parts.requests.forwards.end())
        return;
    advance(known->second,
            [&](request_progress &request) { request.onForwardFailure(failed.reason); });
}

void relay_dispatch::operator()(const forward_acknowledged &acknowledged)
{
    const auto known = m_parts.requests.forwards.find(acknowledged.attempt.value);
    if (known == m_parts.requests.forwards.end())
        return;
    advance(known->second, [](request_progress &request) { request.onForwardAcknowledged(); });
}

void relay_dispatch::sendWaitingParts(const service_id &service)
{
    relay_requests &requests = m_parts.requests;
    // Parts that may be served elsewhere do not wait behind one whose allowed servers are full.
    std::vector<placement> full;
    while (const auto next = requests.nextWaiting(service, full)) {
        bool sent = false;
        advance(next->request,
                [&](request_progress &request) { sent = request.trySendWaiting(next->part); });
        if (sent)
            continue;
        requests.scheduleTurn(service, m_now);
        full.push_back(requests.placementOf(*requests.inProgress.at(next->request.value)));
        if (!full.back().hasRegions())
            return;
    }
}

void relay_dispatch::sendWaitingParts(const std::set<service_id> &services)
{
    for (const service_id &service : services)
        sendWaitingParts(service);
}

void relay_dispatch::sendPartsInTurn()
{
    relay_requests &requests = m_parts.requests;
    while (!requests.turns.empty() && requests.turns.top().first <= m_now) {
        const auto [at, service] = requests.turns.top();
        requests.turns.pop();
        const auto next = requests.nextTurns.find(service);
        if (next == requests.nextTurns.end() || next->second != at)
            continue;
        requests.nextTurns.erase(next);
        sendWaitingParts(service);
    }
}

void relay_dispatch::cancelAbandoned()
{
    relay_requests &requests = m_parts.requests;
    std::set<service_id> freed;
    while (!requests.abandoned.empty() && requests.abandoned.top().first <= m_now) {
        const attempt_id id{requests.abandoned.top().second};
        requests.abandoned.pop();
        const auto known = requests.attempts.find(id.value);
        if (known == requests.attempts.end())
            continue;
        const relay_attempt attempt = std::move(known->second);
        requests.attempts.erase(known);
        leaf &server = *attempt.server;
        if (server.hasAnsweredSince(attempt.sent))
            server.onAnswer(id, m_parts.settings.leaves.leaves.maxSlowness, true, m_now);
        else
            recordNoResponse(server, id);
        freed.insert(server.entry().service);
        m_effects.emplace_back(cancel_attempt{id});
        m_effects.emplace_back(count_metric{"relay_attempts_given_up_total", 1});
    }
    sendWaitingParts(freed);
}

} // namespace waxwing::relay
