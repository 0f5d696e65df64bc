#pragma once

#include "command/command_types.h"
#include "core/random.h"
#include "query/search_types.h"
#include "scenario/event_queue.h"
#include "scenario/scenario_metrics.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Behaviour of a `fake_server`.
struct fake_server_settings
{
    /// Id.
    server_id id;
    /// Service that it serves.
    service_id service;
    /// Documents of each of its shards at version 1; each later version adds one.
    std::map<shard_id, std::uint64_t> documents;
    /// Requests that it runs at a time.
    std::uint32_t slots = 4;
    /// Requests that wait before it sheds.
    std::size_t queueLimit = 64;
    /// Time of a search.
    duration serviceTime{0};

    bool operator==(const fake_server_settings &) const = default;
};

/// Documents of a shard in a snapshot, when it had `first` documents at version 1.
std::uint64_t documentsAt(std::uint64_t first, std::uint64_t version);
/// Id of a document that tells which snapshot and query it was found with.
std::string fakeHitId(const shard_id &shard, std::uint64_t number, const snapshot &at,
                      const std::string &query);

/// Backend server with slots, a queue and switchable faults, in virtual time.
class fake_server
{
public:
    /// Receives the outcome of a search.
    using search_reply = std::function<void(leaf_outcome)>;
    /// Receives the outcome of a command.
    using command_reply = std::function<void(std::variant<leaf_command_answer, leaf_failure>)>;

    /// `queue`, `random` and `metrics` outlive the server.
    fake_server(fake_server_settings settings, event_queue &queue, random_engine &random,
                scenario_metrics &metrics);

    /// A search arrived; `number` is unique among all requests.
    void search(time_point now, std::uint64_t number, const leaf_search &request,
                const search_reply &reply);
    /// A command arrived.
    void command(time_point now, std::uint64_t number, const leaf_command &request,
                 const command_reply &reply);
    /// A cancellation arrived.
    void cancel(time_point now, std::uint64_t number);

    /// Answers a share of the requests slower by a factor.
    void setSlow(double factor, double share);
    /// Refuses everything as overloaded.
    void setShedding(bool shedding);
    /// Refuses new work as draining.
    void setDraining(bool draining);
    /// Drops every request and refuses connections until `repair`.
    void crash();
    /// Ends every fault.
    void repair();
    /// Builds a version; of more than two the oldest is dropped.
    void publish(std::uint64_t version);
    /// What the server says about itself.
    leaf_health health() const;
    /// Whether connections are refused.
    bool isDown() const { return m_down; }
    /// Id.
    const server_id &id() const { return m_settings.id; }
    /// Commands that ran, by payload.
    const std::map<std::string, std::uint32_t> &commandRuns() const { return m_commandRuns; }

private:
    /// Request in the queue or in a slot.
    struct job
    {
        std::uint64_t number = 0;
        duration time{0};
        time_point started;
        event_queue::key finish;
        std::function<void()> complete;
        std::function<void(leaf_failure)> fail;
        bool isPoison = false;
    };

    std::optional<leaf_failure> refusal() const;
    void enqueue(time_point now, job request);
    void startNext(time_point now);
    void finish(time_point now, std::uint64_t number);
    leaf_answer answer(const leaf_search &request) const;
    std::vector<snapshot> held() const;
    duration drawServiceTime();

    fake_server_settings m_settings;
    event_queue &m_queue;
    random_engine &m_random;
    scenario_metrics &m_metrics;
    std::vector<job> m_running;
    std::deque<job> m_waiting;
    std::vector<std::uint64_t> m_versions{1};
    std::map<std::string, std::uint32_t> m_commandRuns;
    double m_slowFactor = 1;
    double m_slowShare = 0;
    bool m_shedding = false;
    bool m_draining = false;
    bool m_down = false;
};

} // namespace waxwing
