#include "scenario/scenario_world.h"

#include "core/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

/// A request into an isolated zone ends with this outcome after its own timeout.
const leaf_failure unreachable{leaf_error::Timeout, "no route", {}, {}};
constexpr std::chrono::milliseconds connectTimeout{1000};
constexpr std::chrono::milliseconds watchInterval{50};
constexpr std::chrono::microseconds lateTolerance{500};

/// Zone name of the platform, which every isolated zone loses as well.
const std::string platformZone = "platform";

} // namespace

void scenario_world::carryOut(host &source, const effect &action)
{
    std::visit([this, &source](const auto &chosen) { handle(source, chosen); }, action);
}

void scenario_world::handle(host &, const answer_search &action)
{
    const auto found = m_searches.extract(action.id.value);
    if (found.empty())
        return;
    if (found.mapped().forward)
        found.mapped().forward(action.outcome);
    else
        finishSearch(found.mapped(), action.outcome);
}

void scenario_world::handle(host &, const answer_command &action)
{
    const auto found = m_commands.extract(action.id.value);
    if (found.empty())
        return;
    if (found.mapped().forward) {
        found.mapped().forward(action.outcome);
        return;
    }
    const auto *refused = std::get_if<refusal>(&action.outcome);
    if (refused == nullptr) {
        ++m_metrics.commandsDone;
        return;
    }
    const bool notRun = refused->execution == execution_state::NotRun;
    ++(notRun ? m_metrics.commandsNotRun : m_metrics.commandsUnknown);
    for (const auto &[name, server] : m_servers) {
        if (notRun && server.commandRuns().count(found.mapped().request.payload) != 0)
            ++m_metrics.falseNotRun;
    }
}

void scenario_world::handle(host &source, const send_leaf_search &action)
{
    const std::string hostName = source.self.host.value;
    const std::string zone = zoneOf(action.server);
    const auto reply = [this, hostName, attempt = action.attempt](const leaf_outcome &outcome) {
        deliver(hostName, leaf_search_finished{attempt, outcome});
    };
    if (!isConnected(source.self.zone.value, zone)) {
        later(action.timeout, [reply] { reply(unreachable); });
        return;
    }
    noteWork(action.server);
    const duration oneWay = latency(source.self.zone.value, zone);
    later(oneWay, [this, action, reply, oneWay, number = requestNumber(source, action.attempt)] {
        m_queriesRun.insert(action.search.query);
        m_servers.at(action.server.value)
            .search(m_now, number, action.search,
                    [this, reply, oneWay](const leaf_outcome &outcome) {
                        later(oneWay, [reply, outcome] { reply(outcome); });
                    });
    });
}

void scenario_world::handle(host &source, const send_leaf_command &action)
{
    const std::string hostName = source.self.host.value;
    const std::string zone = zoneOf(action.server);
    const auto reply = [this, hostName, attempt = action.attempt](const auto &outcome) {
        deliver(hostName, leaf_command_finished{attempt, outcome});
    };
    if (!isConnected(source.self.zone.value, zone)) {
        later(action.timeout, [reply] { reply(unreachable); });
        return;
    }
    noteWork(action.server);
    const duration oneWay = latency(source.self.zone.value, zone);
    later(oneWay, [this, action, reply, oneWay, number = requestNumber(source, action.attempt)] {
        m_servers.at(action.server.value)
            .command(m_now, number, action.command, [this, reply, oneWay](const auto &outcome) {
                later(oneWay, [reply, outcome] { reply(outcome); });
            });
    });
}

void scenario_world::handle(host &source, const cancel_leaf_search &action)
{
    const std::uint64_t number = requestNumber(source, action.attempt);
    for (const auto &server : m_configuration.document->servers) {
        if (server.address != action.address
            || !isConnected(source.self.zone.value, server.zone.value))
            continue;
        later(latency(source.self.zone.value, server.zone.value),
              [this, number, id = server.id.value] { m_servers.at(id).cancel(m_now, number); });
    }
}

void scenario_world::handle(host &source, const poll_health &action)
{
    const fake_server &server = m_servers.at(action.server.value);
    const std::string zone = zoneOf(action.server);
    if (server.isDown() || !isConnected(source.self.zone.value, zone))
        return;
    later(2 * latency(source.self.zone.value, zone),
          [this, hostName = source.self.host.value, id = action.server] {
              deliver(hostName, leaf_health_reported{id, m_servers.at(id.value).health()});
          });
}

void scenario_world::handle(host &source, const forward_search &action)
{
    const std::string origin = source.self.host.value;
    const host *target = findHostByPeer(action.peer);
    const auto fail = [this, origin, attempt = action.attempt] {
        deliver(origin, forwarded_search_finished{attempt, forward_failure{false, "no route"}});
    };
    if (target == nullptr || !target->state
        || !isConnected(source.self.zone.value, target->self.zone.value)) {
        later(std::min<duration>(connectTimeout, action.request.timeout), fail);
        return;
    }
    const duration oneWay = latency(source.self.zone.value, target->self.zone.value);
    const std::uint64_t number = ++m_lastRequest;
    pending_search search;
    search.request = action.request;
    search.sent = m_now;
    search.askedHost = target->self.host.value;
    search.forward = [this, origin, oneWay,
                      attempt = action.attempt](const search_outcome &outcome) {
        later(oneWay, [this, origin, attempt, outcome] {
            deliver(origin, forwarded_search_finished{attempt, outcome});
        });
    };
    m_searches.emplace(number, search);
    later(oneWay, [this, name = search.askedHost, number, request = action.request] {
        deliver(name, search_received{{number}, request, true});
    });
}

void scenario_world::handle(host &source, const forward_command &action)
{
    const std::string origin = source.self.host.value;
    const host *target = findHostByPeer(action.peer);
    const auto fail = [this, origin, attempt = action.attempt] {
        deliver(origin, forwarded_command_finished{attempt, forward_failure{false, "no route"}});
    };
    if (target == nullptr || !target->state
        || !isConnected(source.self.zone.value, target->self.zone.value)) {
        later(std::min<duration>(connectTimeout, action.request.timeout), fail);
        return;
    }
    const duration oneWay = latency(source.self.zone.value, target->self.zone.value);
    const std::uint64_t number = ++m_lastRequest;
    pending_command command;
    command.request = action.request;
    command.askedHost = target->self.host.value;
    command.forward = [this, origin, oneWay,
                       attempt = action.attempt](const command_outcome &outcome) {
        later(oneWay, [this, origin, attempt, outcome] {
            deliver(origin, forwarded_command_finished{attempt, outcome});
        });
    };
    m_commands.emplace(number, command);
    later(oneWay, [this, name = command.askedHost, number, request = action.request] {
        deliver(name, command_received{{number}, request, true});
    });
}

void scenario_world::handle(host &source, const call_platform &action)
{
    if (!isConnected(source.self.zone.value, platformZone)) {
        later(action.call.timeout, [this, name = source.self.host.value, id = action.attempt] {
            platform_result lost;
            lost.detail = "no route";
            deliver(name, platform_finished{id, lost, {}});
        });
        return;
    }
    callPlatform(source.self.host.value, action.attempt, action.call, m_now + action.call.timeout);
}

void scenario_world::callPlatform(const std::string &hostName, attempt_id attempt,
                                  const platform_call &call, time_point giveUp)
{
    using status_kind = platform_result::status_kind;
    later(m_script.cluster.platformLatency, [this, hostName, attempt, call, giveUp] {
        platform_result result = m_platform.call(call);
        if (call.method == platform_call::method_kind::ListHosts && !m_leavingSince.empty()
            && hostName == m_hosts.begin()->first)
            result.value = leavingList();
        if (result.status == status_kind::NotModified && m_now < giveUp) {
            later(watchInterval, [this, hostName, attempt, call, giveUp] {
                callPlatform(hostName, attempt, call, giveUp);
            });
            return;
        }
        const auto answer = [this, hostName, attempt, result] {
            deliver(hostName, platform_finished{attempt, result, parsedCopy(result.value)});
        };
        // A lost answer is noticed when the caller's own timeout ends.
        if (result.status == status_kind::Unknown)
            m_queue.schedule(std::max(giveUp, m_now), answer);
        else
            later(m_script.cluster.platformLatency, answer);
    });
}

std::string scenario_world::leavingList()
{
    auto hosts = nlohmann::json::array();
    for (auto &[server, heardAt] : m_leavingSince) {
        if (!heardAt)
            heardAt = m_now + m_script.cluster.platformLatency;
        const backend_server *known = m_configuration.document->findServer({server});
        hosts.push_back({{"id", server},
                         {"role", "backend"},
                         {"zone", known->zone.value},
                         {"address", known->address.toString()},
                         {"state", "leaving"}});
    }
    return nlohmann::json{{"hosts", hosts}}.dump();
}

void scenario_world::handle(host &source, const send_datagram &action)
{
    const host *target = findHostByGossip(action.to);
    if (target == nullptr || !isConnected(source.self.zone.value, target->self.zone.value))
        return;
    later(latency(source.self.zone.value, target->self.zone.value),
          [this, name = target->self.host.value, from = source.self.gossip,
           message = action.message] {
              deliver(name, datagram_received{from, message});
          });
}

void scenario_world::handle(host &source, const fetch_peer_state &action)
{
    const host *target = findHostByPeer(action.peer);
    const std::string origin = source.self.host.value;
    if (target == nullptr || !target->state
        || !isConnected(source.self.zone.value, target->self.zone.value)) {
        later(connectTimeout, [this, origin, attempt = action.attempt] {
            deliver(origin, peer_state_fetched{attempt, false, {}, {}});
        });
        return;
    }
    const peer_state state = target->state->peerState(m_now);
    later(2 * latency(source.self.zone.value, target->self.zone.value),
          [this, origin, attempt = action.attempt, state] {
              deliver(
                  origin,
                  peer_state_fetched{attempt, true, state, parsedCopy(state.configurationText)});
          });
}

void scenario_world::handle(host &source, const exit_process &)
{
    // The state is in use by the caller of this function.
    later(duration::zero(), [this, name = source.self.host.value] { killHost(m_hosts.at(name)); });
}

void scenario_world::noteWork(const server_id &server)
{
    const auto leaving = m_leavingSince.find(server.value);
    if (leaving != m_leavingSince.end() && leaving->second)
        m_metrics.workAfterLeaving = std::max(m_metrics.workAfterLeaving, m_now - *leaving->second);
}

void scenario_world::finishSearch(const pending_search &search, const search_outcome &outcome)
{
    const duration taken = m_now - search.sent;
    if (const auto *refused = std::get_if<refusal>(&outcome)) {
        ++m_metrics.refused;
        m_metrics.refusalLatencies.push_back(taken);
        if (refused->execution == execution_state::NotRun
            && m_queriesRun.count(search.request.query) != 0)
            ++m_metrics.falseNotRun;
        return;
    }
    ++m_metrics.answered;
    m_metrics.latencies.push_back(taken);
    const service *found = m_configuration.document->findService(search.request.service);
    if (taken > found->policy.deadline + lateTolerance)
        ++m_metrics.late;
    checkAnswer(search, std::get<search_answer>(outcome));
}

void scenario_world::checkAnswer(const pending_search &search, const search_answer &answer)
{
    const double coverage = answer.coverage.documentsTotal == 0
        ? 0
        : static_cast<double>(answer.coverage.documentsSearched)
            / static_cast<double>(answer.coverage.documentsTotal);
    m_metrics.coverageMin = std::min(m_metrics.coverageMin, coverage);
    m_metrics.whole += answer.coverage.isComplete() ? 1 : 0;

    const std::string suffix = fakeHitId({""}, 0, answer.at, search.request.query);
    const std::string expectedEnd = suffix.substr(suffix.find('@'));
    std::set<std::string> ids;
    bool foreign = answer.service != search.request.service;
    for (const auto &found : answer.hits) {
        foreign = foreign || !found.id.ends_with(expectedEnd);
        m_metrics.doubledHits += ids.insert(found.id).second ? 0 : 1;
    }
    m_metrics.foreignHits += foreign ? 1 : 0;
    checkCoverage(answer);
}

void scenario_world::checkCoverage(const search_answer &answer)
{
    const service *searched = m_configuration.document->findService(answer.service);
    std::uint64_t expected = 0;
    for (const auto &part : searched->partitionings.front().shards) {
        if (std::ranges::find(answer.coverage.missingShards, part.id)
            == answer.coverage.missingShards.end())
            expected += documentsAt(part.documents, answer.at.version);
    }
    const bool wrong = expected != answer.coverage.documentsSearched
        || answer.coverage.documentsTotal < answer.coverage.documentsSearched;
    m_metrics.wrongCoverage += wrong ? 1 : 0;
}

} // namespace waxwing
