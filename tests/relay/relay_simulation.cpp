#include "relay/relay_simulation.h"

#include "platform/platform_wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <tuple>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t zones = 3;
/// Requests that a server queues; further ones are refused.
constexpr std::size_t queueLimit = 12;
constexpr duration delayInZone = 100us;
constexpr duration delayBetweenRegions = 12ms;

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::string serverName(const std::string &service, std::size_t zone)
{
    return service + "-" + std::to_string(zone);
}

constexpr std::uint64_t attemptsPerHost = 1'000'000'000;

std::uint64_t attemptKey(std::size_t host, attempt_id attempt)
{
    return host * attemptsPerHost + attempt.value;
}

void stateLoad(const simulated_leaf &server, time_point now, leaf_reply &reply)
{
    reply.load = server.load;
    if (now < server.coldUntil)
        reply.coldFor = std::chrono::ceil<std::chrono::milliseconds>(server.coldUntil - now);
}

void stateRateLimit(const simulated_leaf &server, leaf_reply &reply)
{
    reply.isRateLimitMalformed = server.isRateLimitMalformed;
    if (!server.isRateLimitMalformed)
        reply.rateLimit = server.rateLimit;
}

} // namespace

int simulated_request::status() const
{
    if (const auto *refused = std::get_if<refusal>(&answer))
        return refused->status;
    if (const auto *reply = std::get_if<leaf_reply>(&answer))
        return reply->status;
    return 200;
}

std::size_t simulated_request::parts() const
{
    const auto *merged = std::get_if<merged_answer>(&answer);
    return merged == nullptr ? 0 : merged->signatures.size();
}

double servedWithin(const relay_simulation &simulation, double limitMs, std::size_t from)
{
    std::size_t served = 0;
    for (std::size_t i = from; i < simulation.requests.size(); ++i) {
        const simulated_request &each = simulation.requests[i];
        CPPUNIT_ASSERT_MESSAGE(each.callerId + " is not answered", each.answered.has_value());
        served += each.status() == 200 && each.latencyMs() <= limitMs ? 1 : 0;
    }
    return static_cast<double>(served) / static_cast<double>(simulation.requests.size() - from);
}

double coverage(const relay_simulation &simulation, std::size_t shards)
{
    double sum = 0;
    for (const simulated_request &each : simulation.requests)
        sum += static_cast<double>(each.parts()) / static_cast<double>(shards);
    return sum / static_cast<double>(simulation.requests.size());
}

std::size_t arrivalsBetween(const simulated_leaf &server, time_point from, time_point to)
{
    return static_cast<std::size_t>(
        std::count_if(server.arrivals.begin(), server.arrivals.end(),
                      [from, to](time_point at) { return at >= from && at < to; }));
}

relay_simulation::relay_simulation(simulation_layout layout)
    : m_layout(std::move(layout)), m_random(m_layout.seed), m_now(m_start + 1h)
{
    m_start = m_now;
    m_era = m_layout.storeEra;
    std::vector<std::string> services{"single"};
    for (std::size_t shard = 0; shard < m_layout.shards; ++shard)
        services.push_back("shard-" + std::to_string(shard));
    for (const std::string &service : services) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            registered_server entry;
            entry.id = {serverName(service, zone)};
            entry.service = {service};
            entry.zone = {zoneName(zone)};
            entry.address = {"10.0.0.1", static_cast<std::uint16_t>(2000 + leaves.size())};
            entry.slots = m_layout.slots;
            leaves[entry.id].entry = entry;
            registerServer(entry);
        }
    }
    publish(document(1));
    for (std::size_t i = 0; i < m_layout.hosts; ++i) {
        relay_settings settings = m_layout.settings;
        settings.host = {"host-" + std::to_string(i)};
        settings.zone = {zoneName(i % zones)};
        settings.linkMbps = i < m_layout.fastHosts ? 140 : 14;
        for (std::size_t zone = 0; zone < zones; ++zone)
            settings.regions.emplace(zone_id{zoneName(zone)}, "region-" + std::to_string(zone));
        simulated_host created;
        created.settings = settings;
        created.gossip = {"10.1.0." + std::to_string(i + 1), 7000};
        m_hosts.push_back(std::move(created));
    }
    for (std::size_t i = 0; i < m_layout.hosts; ++i)
        startHost(i, 1);
}

void relay_simulation::startHost(std::size_t host, std::uint64_t incarnation)
{
    simulated_host &target = m_hosts[host];
    target.state = std::make_unique<relay_state>(relay_state::create(target.settings));
    const member self{target.settings.host,
                      target.settings.zone,
                      target.gossip,
                      target.gossip,
                      incarnation,
                      member_state::Alive,
                      0,
                      target.settings.linkMbps};
    post(host, started{self, {m_hosts[0].gossip}, m_layout.seed + host, {}});
}

void relay_simulation::restart(std::size_t host)
{
    // The attempts of the new state have the numbers of earlier ones.
    std::erase_if(m_cancelled, [host](std::uint64_t key) { return key / attemptsPerHost == host; });
    m_hosts[host].tickAt.reset();
    for (const auto &waiting : m_watches)
        waiting->done = waiting->done || waiting->host == host;
    startHost(host, 2);
}

void relay_simulation::evacuate(std::size_t zone)
{
    const std::string name = zoneName(zone);
    m_objects[{static_cast<int>(store_object_kind::Evacuations), name}] = {
        name, ++m_revision, false, evacuated_zone{{name}}};
    notifyWatches();
}

void relay_simulation::endEvacuation(std::size_t zone)
{
    const std::string name = zoneName(zone);
    m_objects[{static_cast<int>(store_object_kind::Evacuations), name}] = {
        name, ++m_revision, true, unusable_object{"removed"}};
    notifyWatches();
}

void relay_simulation::forgetHistory()
{
    m_oldestRevision = ++m_revision;
    for (const auto &waiting : std::exchange(m_watches, {})) {
        if (!std::exchange(waiting->done, true))
            post(waiting->host, ended(waiting->call, store_failure::HistoryGone));
    }
}

route_document relay_simulation::document(std::uint64_t version) const
{
    route fanOut;
    fanOut.name = "fan-out";
    fanOut.hostName = "h";
    fanOut.prefix = "/all/";
    fanOut.semantics = execution_semantics::Idempotent;
    fanOut.callerTimeout = 800ms;
    fanOut.latencyTarget = 150ms;
    fanOut.attempts = 2;
    fanOut.topRecords = 20;
    fanOut.minCoverage = 0.89;
    std::vector<routed_service> services{
        {{"single"}, 25, m_layout.coldRatePerSecond, m_layout.warmUp}};
    for (std::size_t shard = 0; shard < m_layout.shards; ++shard) {
        fanOut.shards.push_back({"shard-" + std::to_string(shard)});
        services.push_back({fanOut.shards.back(), 25, m_layout.coldRatePerSecond, m_layout.warmUp});
    }
    route single = fanOut;
    single.name = "single";
    single.prefix = "/one/";
    single.semantics = m_layout.singleRepeats;
    single.callerTimeout = 2500ms;
    single.latencyTarget = 400ms;
    single.shards.clear();
    single.targets = {{{"single"}, 1}};
    auto created = route_document::create(version, {fanOut, single}, services, {});
    CPPUNIT_ASSERT(created.ok());
    return *std::move(created);
}

route_document relay_simulation::document(std::uint64_t version,
                                          const std::vector<std::string> &regions) const
{
    const route_document base = document(version);
    std::vector<route> routes = base.routes();
    for (route &each : routes)
        each.allowedRegions = regions;
    auto created = route_document::create(version, routes, base.services(), base.limits());
    CPPUNIT_ASSERT(created.ok());
    return *std::move(created);
}

route_document relay_simulation::document(std::uint64_t version,
                                          std::chrono::milliseconds singleTimeout) const
{
    const route_document base = document(version);
    std::vector<route> routes = base.routes();
    routes.back().callerTimeout = singleTimeout;
    auto created = route_document::create(version, routes, base.services(), base.limits());
    CPPUNIT_ASSERT(created.ok());
    return *std::move(created);
}

std::size_t relay_simulation::attemptsIn(std::size_t zone) const
{
    std::size_t sum = 0;
    for (const auto &[id, each] : leaves)
        sum += each.entry.zone.value == zoneName(zone) ? each.attempts : 0;
    return sum;
}

simulated_leaf &relay_simulation::leafOf(const std::string &service, std::size_t zone)
{
    return leaves.at({serverName(service, zone)});
}

void relay_simulation::at(std::chrono::milliseconds time, std::function<void()> action)
{
    m_actions.push({m_start + time, ++m_sequence, std::move(action)});
}

void relay_simulation::schedule(duration delay, std::function<void()> action)
{
    m_actions.push({m_now + delay, ++m_sequence, std::move(action)});
}

void relay_simulation::runUntil(std::chrono::milliseconds time)
{
    while (!m_actions.empty() && m_actions.top().at <= m_start + time) {
        const timed_action next = m_actions.top();
        m_actions.pop();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = std::max(m_now, m_start + time);
}

void relay_simulation::load(const std::string &target, std::chrono::milliseconds from,
                            std::chrono::milliseconds to, std::chrono::microseconds interval)
{
    std::size_t number = 0;
    for (std::chrono::microseconds time = from; time < to; time += interval) {
        const std::size_t host = number++ % m_layout.hosts;
        m_actions.push({m_start + time, ++m_sequence, [this, host, target, number] {
                            send(host, target + std::to_string(number));
                        }});
    }
}

relay_request relay_simulation::createRequest(const std::string &callerId,
                                              const std::string &target,
                                              const std::string &body) const
{
    relay_request request;
    request.callerId = callerId;
    request.method = body.empty() ? "GET" : "POST";
    request.hostName = "h";
    request.target = target;
    request.body = body;
    request.apiKey = apiKey;
    request.timeLeft = target.starts_with("/all/") ? 800ms : callerTimeLeft;
    return request;
}

void relay_simulation::sendForwarded(std::size_t host, const std::string &target,
                                     forwarding_origin origin)
{
    const request_id id{++m_lastRequest};
    const std::string callerId = "forwarded-" + std::to_string(id.value);
    post(host,
         request_received{
             id, std::make_shared<const relay_request>(createRequest(callerId, target, {})),
             duration(0), false, std::move(origin)});
}

std::size_t relay_simulation::send(std::size_t host, const std::string &target,
                                   const std::string &body, duration delay,
                                   bool isFirstOnConnection)
{
    const std::size_t index = requests.size();
    relay_request request = createRequest("try-" + std::to_string(index), target, body);
    requests.push_back({request.callerId, host, m_now, std::nullopt, {}, target});
    const request_id id{++m_lastRequest};
    m_hosts[host].requestOf[id.value] = index;
    post(host,
         request_received{id, std::make_shared<const relay_request>(std::move(request)), delay,
                          isFirstOnConnection});
    return index;
}

void relay_simulation::disconnectCaller(std::size_t request)
{
    const std::size_t host = requests[request].host;
    for (const auto &[id, index] : m_hosts[host].requestOf) {
        if (index == request) {
            post(host, caller_gone{{id}});
            return;
        }
    }
}

void relay_simulation::post(std::size_t host, relay_event_body body)
{
    if (stalledHosts.count(host) != 0)
        return;
    auto &target = m_hosts[host];
    if (m_now < target.suspendedUntil) {
        schedule(target.suspendedUntil - m_now, [this, host, body] { post(host, body); });
        return;
    }
    const relay_event input{m_now - target.lag, wall_time{}, std::move(body)};
    auto result = relay_reducer::reduce(std::move(*target.state), input);
    *target.state = std::move(result.state);
    for (const relay_effect &action : result.effects)
        execute(host, action);
    scheduleTick(host);
}

void relay_simulation::suspend(std::size_t host, std::chrono::milliseconds length, bool clockStops)
{
    m_hosts[host].suspendedUntil = m_now + length;
    if (clockStops)
        m_hosts[host].lag += length;
}

void relay_simulation::scheduleTick(std::size_t host)
{
    auto &target = m_hosts[host];
    auto due = target.state->nextDeadline();
    if (due.has_value())
        *due += target.lag;
    if (!due.has_value() || (target.tickAt.has_value() && *target.tickAt <= *due))
        return;
    const time_point tickAt = std::max(*due, m_now);
    target.tickAt = tickAt;
    m_actions.push({tickAt, ++m_sequence, [this, host, tickAt] {
                        if (m_hosts[host].tickAt != tickAt)
                            return;
                        m_hosts[host].tickAt.reset();
                        post(host, tick{});
                    }});
}

void relay_simulation::record(const relay_effect &action)
{
    const auto check = [this](const std::string &text) {
        CPPUNIT_ASSERT_MESSAGE(text, secret.empty() || text.find(secret) == std::string::npos);
    };
    if (const auto *log = std::get_if<write_log>(&action)) {
        ++logLines[log->entry.message];
        check(log->entry.message);
        std::string organisation;
        for (const auto &[name, value] : log->entry.fields) {
            check(value);
            if (name == "organisation")
                organisation = value;
        }
        if (log->entry.message == "request refused")
            ++refusalsOf[organisation];
    } else if (const auto *counted = std::get_if<count_metric>(&action)) {
        counters[counted->name] += counted->amount;
        check(counted->name);
    } else if (const auto *send = std::get_if<send_to_leaf>(&action); send && recordsCalls) {
        leafCalls.push_back(*send);
    } else if (const auto *forward = std::get_if<forward_request>(&action);
               forward && recordsCalls) {
        forwardCalls.push_back(*forward);
    }
}

void relay_simulation::execute(std::size_t host, const relay_effect &action)
{
    record(action);
    if (const auto *answer = std::get_if<answer_request>(&action)) {
        simulated_request &request = requests[m_hosts[host].requestOf.at(answer->id.value)];
        CPPUNIT_ASSERT_MESSAGE("the request is already answered", !request.answered.has_value());
        request.answered = m_now;
        request.answer = answer->answer;
    } else if (const auto *send = std::get_if<send_to_leaf>(&action)) {
        callLeaf(host, *send);
    } else if (const auto *forwarding = std::get_if<forward_request>(&action)) {
        forward(host, *forwarding);
    } else if (const auto *forwardedAnswer = std::get_if<answer_forwarded>(&action)) {
        answerForwarded(*forwardedAnswer);
    } else if (const auto *ended = std::get_if<cancel_forward>(&action)) {
        for (const auto &[id, each] : m_forwarded) {
            if (each.from == host && each.attempt == ended->attempt)
                schedule(2ms, [this, to = each.to, id = id] { post(to, caller_gone{{id}}); });
        }
        std::erase_if(m_forwarded, [host, ended](const auto &each) {
            return each.second.from == host && each.second.attempt == ended->attempt;
        });
    } else if (const auto *cancelled = std::get_if<cancel_attempt>(&action)) {
        m_cancelled.insert(attemptKey(host, cancelled->attempt));
    } else if (const auto *call = std::get_if<call_store>(&action)) {
        if (call->call.source.has_value())
            callPeer(host, call->call);
        else
            callStore(host, call->call);
    } else if (const auto *answered = std::get_if<answer_peer>(&action)) {
        for (const request_id id : answered->ids) {
            const auto pending = m_peerRequests.at(id.value);
            m_peerRequests.erase(id.value);
            schedule(2ms, [this, pending, outcome = answered->answer, era = answered->era] {
                post(pending.first,
                     store_call_ended{pending.second, outcome,
                                      era > 0 ? std::optional(era) : std::nullopt});
            });
        }
    } else if (std::holds_alternative<exit_process>(action)) {
        exits.emplace(host, m_now);
    } else if (const auto *datagram = std::get_if<send_datagram>(&action)) {
        if (datagram->message.kind >= gossip_message::message_kind::QuotaReport)
            ++quotaDatagrams;
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            if (m_hosts[to].gossip == datagram->to) {
                schedule(5ms, [this, to, from = m_hosts[host].gossip, message = datagram->message] {
                    post(to, datagram_received{from, message});
                });
            }
        }
    }
}

void relay_simulation::publish(route_document document)
{
    store_object object{"main", ++m_revision, false, {}};
    object.content = std::make_shared<const route_document>(std::move(document));
    m_objects[{static_cast<int>(store_object_kind::Routes), "main"}] = object;
    notifyWatches();
}

void relay_simulation::saveStore()
{
    m_savedRevision = m_revision;
    m_savedObjects = m_objects;
}

void relay_simulation::restoreStore()
{
    ++m_era;
    m_revision = m_savedRevision;
    m_objects = m_savedObjects;
    for (const auto &waiting : std::exchange(m_watches, {})) {
        if (!std::exchange(waiting->done, true))
            post(waiting->host, store_call_ended{waiting->call, store_failure::NoAnswer});
    }
}

store_call_ended relay_simulation::ended(const store_call &call,
                                         std::variant<store_answer, store_failure> outcome) const
{
    return {call, std::move(outcome), m_era > 0 ? std::optional(m_era) : std::nullopt};
}

void relay_simulation::registerServer(const registered_server &entry)
{
    m_objects[{static_cast<int>(store_object_kind::Servers), entry.id.value}] = {
        entry.id.value, ++m_revision, false, entry};
    notifyWatches();
}

void relay_simulation::unregister(const server_id &id)
{
    m_objects[{static_cast<int>(store_object_kind::Servers), id.value}] = {
        id.value, ++m_revision, true, unusable_object{"removed"}};
    notifyWatches();
}

void relay_simulation::forward(std::size_t host, const forward_request &action)
{
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
        if (m_hosts[to].gossip != action.address)
            continue;
        if (hostsOfOlderForm.count(to) != 0) {
            const http::raw_response unmarked{{400, {}, {}}, true};
            schedule(2 * networkDelay(host, {zoneName(to % zones)}),
                     [this, host,
                      answered = platform::platform_wire().readForwardedAnswer(
                          action.attempt, unmarked)] { post(host, answered); });
            continue;
        }
        const request_id id{++m_lastRequest};
        ++forwardsByZone[zoneName(to % zones)];
        m_forwarded[id.value] = {host, to, action.attempt};
        const duration delay = networkDelay(host, {zoneName(to % zones)});
        relay_request request = *action.request;
        request.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
            action.deadline + m_hosts[host].lag - m_now);
        schedule(delay,
                 [this, host, delay, to, id, attempt = action.attempt, request = std::move(request),
                  origin = action.origin] {
                     const bool isAwake =
                         stalledHosts.count(to) == 0 && m_now >= m_hosts[to].suspendedUntil;
                     if (acknowledgesForwards && isAwake)
                         schedule(delay, [this, host, attempt] {
                             post(host, forward_acknowledged{attempt});
                         });
                     post(to,
                          request_received{id, std::make_shared<const relay_request>(request),
                                           duration(0), false, origin});
                 });
    }
}

void relay_simulation::answerForwarded(const answer_forwarded &action)
{
    const auto known = m_forwarded.find(action.id.value);
    if (known == m_forwarded.end()) {
        forwardedAnswers.push_back(action.answer);
        return;
    }
    const forwarded ended = known->second;
    m_forwarded.erase(known);
    forward_answered answered{ended.attempt, {}, {}};
    if (const auto *refused = std::get_if<refusal>(&action.answer)) {
        answered.reply.status = refused->status;
        answered.refusalCode = refused->code;
    } else if (const auto *reply = std::get_if<leaf_reply>(&action.answer)) {
        answered.reply = *reply;
    }
    schedule(networkDelay(ended.from, {zoneName(ended.to % zones)}),
             [this, ended, answered] { post(ended.from, answered); });
}

void relay_simulation::callPeer(std::size_t host, const store_call &call)
{
    ++peerCalls;
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
        if (m_hosts[to].gossip != *call.source)
            continue;
        if (call.kind == store_object_kind::Evacuations && hostsBeforeEvacuations.count(to) != 0) {
            schedule(4ms, [this, host, call] {
                post(host, store_call_ended{call, store_failure::Unavailable});
            });
            return;
        }
        if (stalledHosts.count(to) != 0) {
            schedule(2200ms, [this, host, call] {
                post(host, store_call_ended{call, store_failure::NoAnswer});
            });
            return;
        }
        const request_id id{++m_lastPeerRequest};
        m_peerRequests[id.value] = {host, call};
        schedule(2ms, [this, to, id, call] { post(to, peer_request_received{id, call}); });
    }
}

std::vector<store_object> relay_simulation::objects(store_object_kind kind,
                                                    std::uint64_t after) const
{
    std::vector<store_object> result;
    for (const auto &[key, object] : m_objects) {
        if (key.first == static_cast<int>(kind) && object.revision > after)
            result.push_back(object);
    }
    return result;
}

void relay_simulation::callStore(std::size_t host, const store_call &call)
{
    const auto *list = std::get_if<list_call>(&call.how);
    ++(list != nullptr && list->mayBeStale ? staleStoreCalls : storeCalls);
    if (!storeReachable || hostsWithoutStore.count(host) != 0) {
        schedule(1s, [this, host, call] {
            post(host, store_call_ended{call, store_failure::NoAnswer});
        });
        return;
    }
    if (list != nullptr) {
        store_answer answer{objects(call.kind, 0), false, m_revision};
        if (list->mayBeStale && answersFromOldData) {
            answer = {{}, false, m_savedRevision};
            for (const auto &[key, object] : m_savedObjects) {
                if (key.first == static_cast<int>(call.kind))
                    answer.objects.push_back(object);
            }
        }
        std::erase_if(answer.objects, [](const store_object &each) { return each.removed; });
        schedule(4ms, [this, host, result = ended(call, answer)] { post(host, result); });
        return;
    }
    const std::uint64_t after = std::get<watch_call>(call.how).revision;
    if (after > m_revision || after < m_oldestRevision) {
        schedule(4ms, [this, host, result = ended(call, store_failure::HistoryGone)] {
            post(host, result);
        });
        return;
    }
    auto waiting = std::make_shared<watch>(watch{host, call});
    m_watches.push_back(waiting);
    schedule(std::get<watch_call>(call.how).wait, [this, waiting] {
        if (std::exchange(waiting->done, true))
            return;
        if (!storeReachable || hostsWithoutStore.count(waiting->host) != 0)
            post(waiting->host, store_call_ended{waiting->call, store_failure::NoAnswer});
        else
            post(waiting->host, ended(waiting->call, store_answer{{}, false, m_revision}));
    });
    notifyWatches();
}

void relay_simulation::notifyWatches()
{
    if (!storeReachable)
        return;
    std::erase_if(m_watches, [](const auto &each) { return each->done; });
    for (const auto &waiting : m_watches) {
        if (hostsWithoutStore.count(waiting->host) != 0)
            continue;
        const std::uint64_t after = std::get<watch_call>(waiting->call.how).revision;
        auto changes = objects(waiting->call.kind, after);
        if (changes.empty())
            continue;
        waiting->done = true;
        schedule(4ms,
                 [this, host = waiting->host,
                  result = ended(waiting->call, store_answer{changes, false, m_revision})] {
                     post(host, result);
                 });
    }
}

duration relay_simulation::networkDelay(std::size_t host, const zone_id &zone) const
{
    return zone.value == zoneName(host % zones) ? delayInZone : delayBetweenRegions;
}

duration relay_simulation::workTime(const relay_request &request, const simulated_leaf &server)
{
    const bool fanOut = request.target.starts_with("/all/");
    const duration usual = fanOut ? m_layout.fanOutWork : m_layout.singleWork;
    // Uniformly distributed between 0.7 and 1.3 times the usual work.
    const double factor = server.slowness * (0.7 + m_random(601) / 1000.0);
    return std::chrono::duration_cast<duration>(usual * factor);
}

void relay_simulation::callLeaf(std::size_t host, const send_to_leaf &action)
{
    simulated_leaf &server = leaves.at(action.server);
    ++server.attempts;
    server.callers.insert(host);
    const duration oneWayDelay = networkDelay(host, server.entry.zone);
    if (hostsWithoutServers.count(host) != 0)
        return;
    if (hostsRefusedByServers.count(host) != 0
        || refusedPaths.count({host, server.entry.id}) != 0) {
        fail(host, action.attempt, 2 * oneWayDelay, leaf_failure::NotSent);
        return;
    }
    if (server.fault == simulated_leaf::fault_kind::Down) {
        fail(host, action.attempt, 2 * oneWayDelay, leaf_failure::NotSent);
        return;
    }
    schedule(oneWayDelay, [this, host, action, &server] { arrive(host, action, server); });
}

bool relay_simulation::isDrawn(double rate)
{
    constexpr std::uint32_t steps = 1000;
    return rate > 0 && m_random(steps) < static_cast<std::uint32_t>(rate * steps);
}

void relay_simulation::arrive(std::size_t host, const send_to_leaf &action, simulated_leaf &server)
{
    using fault_kind = simulated_leaf::fault_kind;
    const duration oneWayDelay = networkDelay(host, server.entry.zone);
    server.arrivals.push_back(m_now);
    if (server.fault == fault_kind::Silent)
        return;
    if (isDrawn(notAcceptedRate)) {
        fail(host, action.attempt, oneWayDelay, leaf_failure::NotAccepted);
        return;
    }
    if (server.fault == fault_kind::RefusesAll || server.queue.size() >= queueLimit
        || isDrawn(server.refusalRate)) {
        leaf_reply refused;
        refused.status = 503;
        refused.notRun = true;
        refused.pause = server.pause;
        refused.leaving = server.announcesLeaving;
        stateRateLimit(server, refused);
        stateLoad(server, m_now, refused);
        reply(host, action.attempt, oneWayDelay, refused);
        return;
    }
    server.present.emplace(host, action.attempt.value);
    server.queue.push_back([this, host, action, oneWayDelay, &server] {
        if (m_cancelled.count(attemptKey(host, action.attempt)) != 0) {
            server.present.erase({host, action.attempt.value});
            startNext(server);
            return;
        }
        ++server.busySlots;
        ++server.runs[action.request->callerId];
        if (crashesServers && crashesServers(*action.request)) {
            crash(host, action, server);
            return;
        }
        schedule(workTime(*action.request, server),
                 [this, host, action, oneWayDelay, &server, crashes = server.crashes] {
                     if (server.crashes != crashes)
                         return;
                     server.present.erase({host, action.attempt.value});
                     --server.busySlots;
                     startNext(server);
                     leaf_reply content;
                     if (server.signs)
                         content.signature = server.entry.id.value + " " + action.request->callerId;
                     content.body = std::string(16, 'r');
                     if (answerRest.has_value() && action.mayStream)
                         content.rest = answer_rest{action.attempt, answerRest->length};
                     const bool lost = isDrawn(server.lostReplyRate);
                     if (lost || server.fault == fault_kind::LosesAllReplies) {
                         fail(host, action.attempt, oneWayDelay, leaf_failure::ConnectionLost);
                         return;
                     }
                     content.leaving = server.announcesLeaving;
                     stateRateLimit(server, content);
                     stateLoad(server, m_now, content);
                     if (server.fault == fault_kind::FailsAll)
                         content.status = 500;
                     if (server.fault != fault_kind::Silent)
                         reply(host, action.attempt, oneWayDelay, content);
                 });
    });
    startNext(server);
}

void relay_simulation::crash(std::size_t host, const send_to_leaf &action, simulated_leaf &server)
{
    crashed.push_back({m_now, action.request->callerId, server.entry.id});
    for (const auto &[from, attempt] : std::exchange(server.present, {})) {
        const bool isCause = from == host && attempt == action.attempt.value;
        fail(from, {attempt}, networkDelay(from, server.entry.zone),
             isCause ? crashFailure : leaf_failure::ConnectionLost);
    }
    ++server.crashes;
    server.queue.clear();
    server.busySlots = 0;
    server.fault = simulated_leaf::fault_kind::Down;
    constexpr auto registrationLapse = 3600ms;
    if (crashDownTime > registrationLapse)
        schedule(registrationLapse, [this, id = server.entry.id] { unregister(id); });
    schedule(crashDownTime, [this, &server] {
        server.fault = simulated_leaf::fault_kind::None;
        ++server.entry.startedAt;
        registerServer(server.entry);
    });
}

void relay_simulation::startNext(simulated_leaf &server)
{
    if (m_now < server.pausedUntil) {
        schedule(server.pausedUntil - m_now, [this, &server] { startNext(server); });
        return;
    }
    while (server.busySlots < server.entry.slots && !server.queue.empty()) {
        const auto start = std::move(server.queue.front());
        server.queue.pop_front();
        start();
    }
}

void relay_simulation::reply(std::size_t host, attempt_id attempt, duration oneWayDelay,
                             leaf_reply content)
{
    schedule(oneWayDelay, [this, host, attempt, content = std::move(content)] {
        if (m_cancelled.count(attemptKey(host, attempt)) == 0
            && hostsWithoutServers.count(host) == 0)
            post(host, leaf_answered{attempt, content});
    });
}

void relay_simulation::fail(std::size_t host, attempt_id attempt, duration oneWayDelay,
                            leaf_failure reason)
{
    schedule(oneWayDelay, [this, host, attempt, reason] {
        if (m_cancelled.count(attemptKey(host, attempt)) == 0)
            post(host, leaf_failed{attempt, reason});
    });
}

} // namespace waxwing::relay
