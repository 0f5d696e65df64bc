#pragma once

#include "command/command_reducer.h"
#include "support/virtual_network.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Probability of each fault, in percent.
struct command_faults
{
    std::uint32_t platformDown = 0;
    std::uint32_t responseLost = 0;
    std::uint32_t platformSlow = 0;
    std::uint32_t leafFails = 0;
    std::uint32_t hostPaused = 0;
    std::uint32_t hostReplaced = 0;
};

/// Simulates entry hosts with a `command_reducer` each, a platform, a backend server and callers
/// on a virtual network.
class command_world
{
public:
    struct entry_host
    {
        command_reducer commands{command_settings{}};
        membership members{membership_settings{}};
        backend_pool backends{backend_pool_settings{}, zone_id{"z"}};
        random_engine random;
        std::uint64_t lastAttempt = 0;
        time_point tickAt = time_point::max();
    };
    /// One request of a caller.
    struct request_record
    {
        std::string key;
        int executions = 0;
        std::optional<command_outcome> outcome;
    };
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    command_world(std::uint64_t seed, command_faults chosen) : net(seed), faults(chosen)
    {
        document.zones.push_back(zone_id{"z"});
        backend_server server;
        server.id = server_id{"b"};
        server.zone = zone_id{"z"};
        document.servers.push_back(server);
        service added;
        added.id = service_id{"s"};
        added.policy.deadline = std::chrono::seconds(2);
        partitioning only;
        only.shards.push_back({shard_id{"1"}, 1, {server.id}});
        added.partitionings.push_back(only);
        document.services.push_back(added);
        for (int i = 0; i < 3; ++i) {
            member each;
            each.host = host_id{fmt::format("h{}", i)};
            each.zone = zone_id{"z"};
            each.peer = endpoint{"127.0.0.1", static_cast<std::uint16_t>(i)};
            cluster.push_back(each);
        }
        holders = holder_assignment::compute(document, cluster, routing_settings{});
        for (std::size_t i = 0; i < cluster.size(); ++i)
            startHost(i);
    }

    /// Starts or replaces a host; the state of the previous one is lost.
    void startHost(std::size_t index)
    {
        auto started = std::make_shared<entry_host>();
        started->random.seed(net.below(1U << 30U));
        started->backends.configure(document, net.now());
        ++cluster[index].incarnation;
        run(started, index, [&](reduce_context &context, command_environment &) {
            started->members.start(context, cluster[index], {});
            started->members.onPeerState(context, {cluster, {}, {}});
        });
        hosts[index] = started;
    }

    using step = std::function<void(reduce_context &, command_environment &)>;

    void run(const std::shared_ptr<entry_host> &host, std::size_t index, const step &action)
    {
        effect_list effects;
        reduce_context context{net.now(), net.wallNow(), host->random, host->lastAttempt, effects};
        command_environment environment{&document, host->backends, holders, host->members, false};
        action(context, environment);
        for (const effect &each : effects) {
            if (const auto *call = std::get_if<call_platform>(&each))
                callPlatform(host, index, *call);
            else if (const auto *sent = std::get_if<send_leaf_command>(&each))
                callLeaf(host, index, *sent);
            else if (const auto *answer = std::get_if<answer_command>(&each))
                answered(*answer);
        }
        const auto due = host->commands.nextDeadline();
        if (due && *due < host->tickAt) {
            host->tickAt = *due;
            later(host, index, *due - net.now(), [host](reduce_context &c, command_environment &) {
                host->tickAt = time_point::max();
                host->commands.onTick(c);
            });
        }
    }

    /// Runs an action on the host after a delay. It is dropped if the host was replaced, and
    /// deferred while the host is paused.
    void later(const std::shared_ptr<entry_host> &host, std::size_t index, duration delay,
               step action)
    {
        net.after(std::max(duration(0), delay), cluster[index].host.value,
                  [this, host, index, action = std::move(action)] {
                      if (hosts[index] == host)
                          run(host, index, action);
                  });
    }

    /// Sends a request with the key to a host. Returns the id of the request.
    std::uint64_t send(const std::string &key, std::size_t index)
    {
        const std::uint64_t id = ++lastTry;
        tries[id].key = key;
        command_received received;
        received.id = request_id{id};
        received.request.service = service_id{"s"};
        received.request.key = key;
        received.request.document = key;
        received.request.trace.traceLow = id;
        const auto host = hosts[index];
        later(host, index, net.between(1, 3),
              [host, received](reduce_context &c, command_environment &environment) {
                  host->commands.onCommand(c, environment, received);
              });
        return id;
    }

    /// Number of executions over all requests with the key.
    int executions(const std::string &key) const
    {
        int count = 0;
        for (const auto &[id, each] : tries)
            count += each.key == key ? each.executions : 0;
        return count;
    }

    virtual_network net;
    command_faults faults;
    configuration document;
    std::vector<member> cluster;
    holder_assignment holders;
    std::map<std::size_t, std::shared_ptr<entry_host>> hosts;
    std::map<std::string, object> objects;
    std::map<std::uint64_t, request_record> tries;
    std::uint64_t lastTry = 0;
    std::uint32_t platformWrites = 0;

private:
    void answered(const answer_command &answer)
    {
        tries.at(answer.id.value).outcome = answer.outcome;
    }

    platform_result apply(const platform_call &call)
    {
        using method_kind = platform_call::method_kind;
        using status_kind = platform_result::status_kind;
        const auto found = objects.find(call.name);
        const std::uint64_t version = found != objects.end() ? found->second.version : 0;
        const bool isWrite = call.method != method_kind::Get;
        if (version == 0 && call.method != method_kind::Create)
            return {status_kind::NotFound, 0, {}, {}};
        const std::uint64_t expected = call.method == method_kind::Update ? call.version : 0;
        if (isWrite && version != expected)
            return {status_kind::Conflict, version, found->second.value, {}};
        if (isWrite) {
            ++platformWrites;
            objects[call.name] = {version + 1, call.value};
        }
        return {status_kind::Done, objects[call.name].version, objects[call.name].value, {}};
    }

    void finishPlatform(const std::shared_ptr<entry_host> &host, std::size_t index, duration delay,
                        attempt_id attempt, const platform_result &result)
    {
        later(host, index, delay,
              [host, attempt, result](reduce_context &c, command_environment &environment) {
                  host->commands.onPlatform(c, environment, {attempt, result, {}});
              });
    }

    void callPlatform(const std::shared_ptr<entry_host> &host, std::size_t index,
                      const call_platform &made)
    {
        using status_kind = platform_result::status_kind;
        if (net.chance(faults.platformDown)) {
            finishPlatform(host, index, net.between(1, 50), made.attempt,
                           {status_kind::Unavailable, 0, {}, {}});
            return;
        }
        const bool lost = net.chance(faults.responseLost);
        const duration way =
            net.chance(faults.platformSlow) ? net.between(10, 3000) : net.between(1, 5);
        const bool late = lost || way > made.call.timeout;
        if (late)
            finishPlatform(host, index, made.call.timeout, made.attempt,
                           {status_kind::Unknown, 0, {}, {}});
        net.after(way, "platform", [this, host, index, made, late] {
            const platform_result result = apply(made.call);
            if (!late)
                finishPlatform(host, index, net.between(1, 3), made.attempt, result);
        });
    }

    void finishLeaf(const std::shared_ptr<entry_host> &host, std::size_t index, duration delay,
                    const leaf_command_finished &finished)
    {
        later(host, index, delay,
              [host, finished](reduce_context &c, command_environment &environment) {
                  host->commands.onLeafCommand(c, environment, finished);
              });
    }

    void callLeaf(const std::shared_ptr<entry_host> &host, std::size_t index,
                  const send_leaf_command &sent)
    {
        const std::uint64_t id = sent.trace.traceLow;
        const auto fail = [&](leaf_error error, duration delay) {
            leaf_failure failure;
            failure.error = error;
            finishLeaf(host, index, delay, {sent.attempt, failure});
        };
        if (net.chance(faults.leafFails) && net.chance(50)) {
            const leaf_error ranNothing[] = {leaf_error::NotConnected, leaf_error::Overloaded,
                                             leaf_error::Draining};
            fail(ranNothing[net.below(3)], net.between(1, 20));
            return;
        }
        const bool lost = net.chance(faults.leafFails);
        const auto work = lost ? net.between(1, 4000) : net.between(1, 100);
        net.after(work, "leaf", [this, id] { ++tries.at(id).executions; });
        if (lost)
            fail(leaf_error::Timeout, std::min<duration>(sent.timeout, work));
        else
            finishLeaf(host, index, work + net.between(1, 3),
                       {sent.attempt, leaf_command_answer{fmt::format("{}", id)}});
    }
};

} // namespace waxwing
