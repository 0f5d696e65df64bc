#pragma once

#include "core/hash.h"
#include "query/query_reducer.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/// Simulates entry hosts and backend servers under a virtual clock. Events with the same time are
/// handled in the order of their creation, so that a run depends only on its seed.
class query_simulation
{
public:
    /// Simulated backend server.
    struct leaf
    {
        /// Whether the server refuses connections.
        bool down = false;
        /// Whether the server accepts requests and never replies.
        bool unresponsive = false;
        /// Whether the server refuses every request because of its load.
        bool overloaded = false;
        /// Snapshots that the server holds of each of its shards.
        std::vector<snapshot> held{{1, 1}};
        /// Returns the time that the next reply takes.
        std::function<duration(random_engine &)> latency;
        /// Changes a reply before it is sent, if set.
        std::function<void(leaf_outcome &)> modifyReply;
        /// Number of requests received while up.
        int received = 0;
        /// Number of crashes caused by `crashingQuery`.
        int crashes = 0;
    };

    /// Reducer, backend pool and quarantine of one entry host.
    struct host
    {
        host(const query_settings &settings, const admission_settings &limits)
            : pool(backend_pool_settings{}, zone_id{"z0"}), quarantine(quarantine_settings{}),
              queries(settings, limits)
        { }
        member self;
        backend_pool pool;
        request_quarantine quarantine;
        query_reducer queries;
        random_engine random;
        std::uint64_t lastAttempt = 0;
    };

    /// Outcome of one search and the time from its start.
    struct result
    {
        search_outcome outcome;
        duration latency{0};
    };

    /// Creates a service with `shards` shards and `replicas` replicas per shard. Replica number r
    /// of each shard is in zone "z<r>"; all entry hosts are in zone z0.
    query_simulation(std::size_t shards, std::size_t replicas, std::uint64_t seed,
                     std::size_t hostCount = 1, query_settings settings = {})
        : m_random(seed)
    {
        auto document = std::make_shared<configuration>();
        service target;
        target.id = {"desk"};
        target.policy.deadline = std::chrono::milliseconds(1000);
        partitioning parts;
        parts.generation = 1;
        for (std::size_t s = 0; s < shards; ++s) {
            shard part{{"s" + std::to_string(100 + s)}, 1000, {}};
            for (std::size_t r = 0; r < replicas; ++r)
                part.replicas.push_back(addServer(*document, s, r));
            parts.shards.push_back(part);
        }
        target.partitionings.push_back(parts);
        document->services.push_back(target);
        for (std::size_t h = 0; h < hostCount; ++h) {
            hosts.push_back(std::make_unique<host>(settings, admission_settings{}));
            hosts.back()->self.host = {"host-" + std::to_string(h)};
            hosts.back()->self.zone = {"z0"};
            hosts.back()->self.peer = {"127.0.0.1", static_cast<std::uint16_t>(9000 + h)};
            hosts.back()->random.seed(seed + h);
            holders.push_back(hosts.back()->self.host);
            members[hosts.back()->self.host] = hosts.back()->self;
        }
        configure(document);
        reportHealth();
    }

    /// Applies a configuration on all hosts.
    void configure(std::shared_ptr<configuration> document)
    {
        current = std::move(document);
        for (auto &each : hosts)
            each->pool.configure(*current, now);
    }

    /// Sends a health report of every server to every host.
    void reportHealth()
    {
        for (auto &[id, server] : leaves)
            for (auto &each : hosts)
                each->pool.onHealth(id, health(id), now);
    }

    /// Raises the concurrency limits of all servers with successful searches from every host, then
    /// resets the counters.
    void warmUp(int searches = 100)
    {
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            for (int i = 0; i < searches; ++i)
                search("warm-" + std::to_string(i), h);
        }
        sent = 0;
        counters.clear();
    }

    /// Starts a search on host number `at` and returns its request id.
    std::uint64_t start(const std::string &query, std::size_t at = 0,
                        std::optional<page_cursor> cursor = {}, const std::string &caller = {},
                        bool forwarded = false)
    {
        search_received received;
        received.id = {++m_lastRequest};
        received.request.service = {"desk"};
        received.request.query = query;
        received.request.cursor = std::move(cursor);
        received.request.caller = caller;
        received.forwarded = forwarded;
        m_started[m_lastRequest] = now;
        call(at, [&](reduce_context &context, query_environment &environment) {
            hosts[at]->queries.onSearch(context, environment, received);
        });
        return m_lastRequest;
    }

    /// Starts a search and handles events until it ends.
    result search(const std::string &query, std::size_t at = 0,
                  std::optional<page_cursor> cursor = {})
    {
        const auto id = start(query, at, std::move(cursor));
        runUntil([&] { return results.count(id) != 0; });
        return results.at(id);
    }

    /// Handles events until `done` returns true or no event is left.
    void runUntil(const std::function<bool()> &done)
    {
        while (!done()) {
            std::optional<time_point> next;
            if (!m_queue.empty())
                next = m_queue.begin()->first.first;
            std::optional<std::size_t> ticking;
            for (std::size_t h = 0; h < hosts.size(); ++h) {
                const auto due = hosts[h]->queries.nextDeadline();
                if (due.has_value() && (!next.has_value() || *due < *next)) {
                    next = due;
                    ticking = h;
                }
            }
            if (!next.has_value())
                return;
            now = std::max(now, *next);
            if (ticking.has_value()) {
                call(*ticking, [&](reduce_context &context, query_environment &environment) {
                    hosts[*ticking]->queries.onTick(context, environment);
                });
                continue;
            }
            const auto action = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            action();
        }
    }

    /// Handles the events of the next `time`.
    void runFor(duration time)
    {
        bool elapsed = false;
        after(time, [&] { elapsed = true; });
        runUntil([&] { return elapsed; });
    }

    /// Schedules `action` to run after `time`.
    void after(duration time, std::function<void()> action)
    {
        m_queue.emplace(std::make_pair(now + time, ++m_order), std::move(action));
    }

    /// Stops the process of a server for `downTime`. Requests in progress lose their connection.
    void crash(const server_id &id, duration downTime)
    {
        leaf &server = leaves[id];
        server.down = true;
        for (auto &[key, running] : m_running) {
            if (running.server != id || running.ended)
                continue;
            running.ended = true;
            possiblyRunQueries.insert(running.query);
            finish(key.first, key.second, leaf_failure{leaf_error::ConnectionLost, "", {}, {}},
                   std::chrono::milliseconds(1));
        }
        after(downTime, [this, id] { leaves[id].down = false; });
    }

    /// Runs `action` with the state of host number `at`, then applies its effects and sends new
    /// quarantine observations to the other hosts.
    void call(std::size_t at,
              const std::function<void(reduce_context &, query_environment &)> &action)
    {
        host &target = *hosts[at];
        effect_list effects;
        reduce_context context{now, wall(), target.random, target.lastAttempt, effects};
        query_environment environment{
            current,
            target.pool,
            target.quarantine,
            [this](const service_id &) -> const std::vector<host_id> & {
                                          return holders; },
            target.self,
            members,
            stopping};
        action(context, environment);
        for (const effect &emitted : effects)
            applyEffect(at, emitted);
        for (const auto &seen : target.quarantine.takeObservations())
            broadcastFact(at, seen);
    }

    int totalCrashes() const
    {
        int total = 0;
        for (const auto &[id, server] : leaves)
            total += server.crashes;
        return total;
    }

    wall_time wall() const
    {
        return wall_time(
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
    }

    time_point now{std::chrono::hours(1)};
    std::shared_ptr<configuration> current;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<host_id> holders;
    std::map<host_id, member> members;
    std::map<server_id, leaf> leaves;
    std::map<std::uint64_t, result> results;
    std::map<std::string, std::uint64_t> counters;
    std::vector<effect> otherEffects;
    bool stopping = false;
    /// Query text that crashes servers; empty for none.
    std::string crashingQuery;
    /// Time from the receipt of the crashing query to the crash.
    duration crashDelay = std::chrono::milliseconds(3);
    /// Time for which a crashed server is down.
    duration restartDelay = std::chrono::seconds(3);
    /// Time until a fact reaches the other hosts.
    duration factDelay = std::chrono::milliseconds(2);
    /// Queries of which a server may have run a part.
    std::set<std::string> possiblyRunQueries;
    /// Number of leaf searches sent to backend servers.
    std::uint64_t sent = 0;
    /// Number of leaf searches that were cancelled.
    std::uint64_t cancelled = 0;

private:
    struct running_request
    {
        server_id server;
        std::string query;
        bool ended = false;
    };

    server_id addServer(configuration &document, std::size_t s, std::size_t r)
    {
        backend_server server;
        server.id = {"leaf-" + std::to_string(100 + s) + "-" + std::to_string(r)};
        server.zone = {"z" + std::to_string(r)};
        server.address = {"127.0.0.1", static_cast<std::uint16_t>(2000 + s * 10 + r)};
        server.slots = 4;
        document.servers.push_back(server);
        leaves[server.id].latency = [](random_engine &random) {
            return std::chrono::microseconds(4000 + random(2000));
        };
        return server.id;
    }

    leaf_health health(const server_id &id) const
    {
        leaf_health report;
        for (const auto &target : current->services)
            for (const auto &parts : target.partitionings)
                for (const auto &part : parts.shards)
                    if (std::find(part.replicas.begin(), part.replicas.end(), id)
                        != part.replicas.end())
                        report.shards.push_back({target.id, part.id, leaves.at(id).held});
        return report;
    }

    void applyEffect(std::size_t at, const effect &action)
    {
        if (const auto *send = std::get_if<send_leaf_search>(&action))
            receive(at, *send);
        else if (const auto *cancel = std::get_if<cancel_leaf_search>(&action))
            cancelRequest(at, cancel->attempt.value);
        else if (const auto *answer = std::get_if<answer_search>(&action))
            results[answer->id.value] = {answer->outcome, now - m_started[answer->id.value]};
        else if (const auto *count = std::get_if<count_metric>(&action))
            counters[count->name] += count->amount;
        else
            otherEffects.push_back(action);
    }

    void receive(std::size_t at, const send_leaf_search &send)
    {
        ++sent;
        leaf &server = leaves[send.server];
        const auto attempt = send.attempt.value;
        if (server.down) {
            finish(at, attempt, leaf_failure{leaf_error::NotConnected, "", {}, {}},
                   std::chrono::milliseconds(1));
            return;
        }
        ++server.received;
        if (server.overloaded) {
            finish(at, attempt,
                   leaf_failure{leaf_error::Overloaded, "", std::chrono::seconds(1), {}},
                   std::chrono::milliseconds(1));
            return;
        }
        m_running[{at, attempt}] = {send.server, send.search.query, false};
        if (send.search.query == crashingQuery && !crashingQuery.empty()) {
            after(crashDelay, [this, id = send.server] {
                if (leaves[id].down)
                    return;
                ++leaves[id].crashes;
                crash(id, restartDelay);
            });
            return;
        }
        const duration time = server.latency(m_random);
        if (server.unresponsive) {
            possiblyRunQueries.insert(send.search.query);
            return;
        }
        after(time, [this, at, send] { reply(at, send); });
    }

    void reply(std::size_t at, const send_leaf_search &send)
    {
        auto &running = m_running[{at, send.attempt.value}];
        if (running.ended)
            return;
        running.ended = true;
        const leaf &server = leaves[send.server];
        leaf_outcome outcome;
        const auto &held = server.held;
        if (std::find(held.begin(), held.end(), send.search.at) == held.end())
            outcome = leaf_failure{leaf_error::VersionNotHeld, "", {}, held};
        else
            outcome = leaf_answer{send.search.service,
                                  send.search.shard,
                                  send.search.at,
                                  1000,
                                  1000,
                                  hits(send.search),
                                  held};
        if (std::holds_alternative<leaf_answer>(outcome))
            possiblyRunQueries.insert(send.search.query);
        if (server.modifyReply)
            server.modifyReply(outcome);
        finish(at, send.attempt.value, outcome, duration(0));
    }

    /// Returns up to 20 hits of the shard that rank after `search.after`, at most `search.limit`.
    static std::vector<hit> hits(const leaf_search &search)
    {
        std::vector<hit> found;
        for (int i = 0; i < 20; ++i) {
            const std::string id = search.shard.value + "-" + std::to_string(10 + i) + "-v"
                + std::to_string(search.at.version);
            found.push_back({id, static_cast<double>(stableHash(id) % 1000)});
        }
        std::sort(found.begin(), found.end(), ranksBefore);
        if (search.after.has_value())
            std::erase_if(found, [&](const hit &h) { return !ranksBefore(*search.after, h); });
        if (found.size() > search.limit)
            found.resize(search.limit);
        return found;
    }

    void cancelRequest(std::size_t at, std::uint64_t attempt)
    {
        ++cancelled;
        auto &running = m_running[{at, attempt}];
        if (running.ended)
            return;
        running.ended = true;
        possiblyRunQueries.insert(running.query);
        finish(at, attempt, leaf_failure{leaf_error::Cancelled, "", {}, {}},
               std::chrono::milliseconds(1));
    }

    void finish(std::size_t at, std::uint64_t attempt, const leaf_outcome &outcome, duration time)
    {
        after(time, [this, at, attempt, outcome] {
            call(at, [&](reduce_context &context, query_environment &environment) {
                hosts[at]->queries.onLeafSearch(context, environment,
                                                leaf_search_finished{{attempt}, outcome});
            });
        });
    }

    void broadcastFact(std::size_t from, const request_quarantine::observation &seen)
    {
        fact observedFact;
        observedFact.kind = fact_kind::RequestQuarantined;
        observedFact.subject = seen.subject;
        observedFact.origin = hosts[from]->self.host;
        observedFact.value = seen.crashes;
        observedFact.validFor = seen.validFor;
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            if (h != from)
                after(factDelay,
                      [this, h, observedFact] { hosts[h]->quarantine.onFact(observedFact, now); });
        }
    }

    random_engine m_random;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_order = 0;
    std::map<std::uint64_t, time_point> m_started;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_queue;
    std::map<std::pair<std::size_t, std::uint64_t>, running_request> m_running;
};

} // namespace waxwing
