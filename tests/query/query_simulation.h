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

/// Entry hosts with simulated backend servers under a virtual clock. Events of the same time are
/// handled in the order of their creation, so that a seed always gives the same run.
class query_simulation
{
public:
    /// Simulated backend server.
    struct leaf
    {
        /// Whether connections to it are refused.
        bool down = false;
        /// Whether it accepts requests and never answers.
        bool unresponsive = false;
        /// Whether it refuses every request for load.
        bool overloaded = false;
        /// Snapshots that it holds of each shard.
        std::vector<snapshot> held{{1, 1}};
        /// Time to the next reply.
        std::function<duration(random_engine &)> latency;
        /// Changes a reply before it is sent.
        std::function<void(leaf_outcome &)> modifyReply;
        /// Requests received, and those that were running when the process died.
        int received = 0;
        int crashes = 0;
    };

    /// Decisions of one entry host.
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

    /// Answer of one search.
    struct result
    {
        search_outcome outcome;
        duration latency{0};
    };

    /// `shards` with `replicas` each, replica r of all shards in zone `zr`.
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

    /// Puts a document in force on all hosts.
    void configure(std::shared_ptr<configuration> document)
    {
        current = std::move(document);
        for (auto &each : hosts)
            each->pool.configure(*current, now);
    }

    /// Tells every host what the servers hold.
    void reportHealth()
    {
        for (auto &[id, server] : leaves)
            for (auto &each : hosts)
                each->pool.onHealth(id, health(id), now);
    }

    /// Raises the limits of all servers by plain searches.
    void warmUp(int searches = 100)
    {
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            for (int i = 0; i < searches; ++i)
                search("warm-" + std::to_string(i), h);
        }
        sent = 0;
        counters.clear();
    }

    /// Starts a search and returns its number.
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

    /// Runs a search to its end.
    result search(const std::string &query, std::size_t at = 0,
                  std::optional<page_cursor> cursor = {})
    {
        const auto id = start(query, at, std::move(cursor));
        runUntil([&] { return results.count(id) != 0; });
        return results.at(id);
    }

    /// Handles events until `done` or until nothing happens any more.
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

    /// Handles events for a time.
    void runFor(duration time)
    {
        bool elapsed = false;
        after(time, [&] { elapsed = true; });
        runUntil([&] { return elapsed; });
    }

    /// Runs `action` after a time.
    void after(duration time, std::function<void()> action)
    {
        m_queue.emplace(std::make_pair(now + time, ++m_order), std::move(action));
    }

    /// Ends the process of a server: requests in progress lose their connection.
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

    /// Calls a host's reducer and carries out the effects.
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
    /// Query text that crashes servers, and the time that it takes.
    std::string crashingQuery;
    duration crashDelay = std::chrono::milliseconds(3);
    /// Time for which a crashed server stays away.
    duration restartDelay = std::chrono::seconds(3);
    /// Time that a fact takes to the other hosts.
    duration factDelay = std::chrono::milliseconds(2);
    /// Queries that a server may have run a part of.
    std::set<std::string> possiblyRunQueries;
    /// Searches sent to backend servers, and those of them that were cancelled.
    std::uint64_t sent = 0;
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

    /// Twenty hits of the shard, below `after`.
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
