#pragma once

#include "configuration/configuration.h"
#include "core/random.h"
#include "http/server.h"
#include "standins/backend_faults.h"
#include "standins/call_counters.h"
#include "standins/command_log.h"
#include "standins/delayed_calls.h"
#include "standins/held_index.h"
#include "standins/leaf_call.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing::standins {

/// Settings of a `simulated_backend`; the same for all servers of a process.
struct simulated_backend_settings
{
    /// Mean time that a slot needs for a request.
    std::chrono::microseconds serviceTime{5000};
    /// Largest deviation from the mean, as a share of it, 0..1.
    double jitter = 0.5;
    /// Time after a start in which requests are slower.
    std::chrono::milliseconds coldTime{3000};
    /// Factor on the service time right after a start; falls to 1 over `coldTime`.
    double coldFactor = 3;
    /// Requests that wait for a slot at most; further ones are refused as `overloaded`.
    std::size_t queueBound = 50;
    /// Delay of the first request on a connection. Unset: 5 ms for servers with at most 30
    /// connections, else 1 ms, as in section 2 of the design page.
    std::optional<std::chrono::microseconds> connectionCost;
    /// Time between a crash and the restart.
    std::chrono::milliseconds restartTime{3000};
    /// `Retry-After` of refusals.
    std::chrono::milliseconds retryAfter{1000};
    /// Text that makes a server crash when it runs a request that has it; empty for none.
    std::string poisonMarker = "POISON";
    /// Seed of the random numbers; each server adds the hash of its id.
    std::uint64_t seed = 1;

    bool operator==(const simulated_backend_settings &) const = default;
};

/// One simulated backend server: an HTTP port, slots and a queue. State is in memory and survives
/// a simulated crash, except for requests in progress.
class simulated_backend
{
public:
    /// Listens at once. All references outlive the result.
    static absl::StatusOr<std::unique_ptr<simulated_backend>>
    create(event_base *base, const clock &time, const simulated_backend_settings &settings,
           const backend_server &definition, command_log &commands);
    ~simulated_backend();
    simulated_backend(const simulated_backend &) = delete;
    simulated_backend &operator=(const simulated_backend &) = delete;

    /// Definition of the server; the port is the one that is listened on.
    const backend_server &definition() const { return m_definition; }
    /// Takes over the shards of a document.
    void setDocument(const configuration &document, const generator_map &generators);
    /// Faults in force.
    const backend_faults &faults() const { return m_faults; }
    /// Replaces the faults.
    void setFaults(const backend_faults &faults);
    /// Publishes the next index version of a service; of all if `service` is empty.
    void publish(const service_id &service) { m_index.publish(service); }
    /// Drops all connections and refuses new ones for the restart time.
    void crash();
    /// Counts by kind of event.
    nlohmann::json counters() const;

private:
    using shared_responder = std::shared_ptr<http::responder>;

    /// What a request is doing.
    enum class job_state {
        /// Waits for the cost of its connection.
        Connecting,
        /// Waits for a slot.
        Queued,
        /// Has a slot.
        Running,
    };

    /// A search or command in progress.
    struct job
    {
        leaf_call call;
        shared_responder to;
        job_state state = job_state::Connecting;
        /// Delayed call that moves the job on, 0 if there is none.
        std::uint64_t step = 0;
        /// Delayed call at the deadline, 0 if there is none.
        std::uint64_t deadline = 0;
    };

    simulated_backend(event_base *base, const clock &time,
                      const simulated_backend_settings &settings, const backend_server &definition,
                      command_log &commands);

    absl::Status listen();
    void restart();
    void receive(const http::request &message, const shared_responder &to);
    void handle(const http::request &message, const shared_responder &to);
    void addJob(const http::request &message, const shared_responder &to);
    void armDeadline(std::uint64_t number, const http::request &message);
    void admit(std::uint64_t number);
    void startJobs();
    void start(std::uint64_t number);
    void finish(std::uint64_t number);
    void reply(const job &done);
    void cancel(const std::string &requestKey, const shared_responder &to);
    void expire(std::uint64_t number);
    void abandon(std::uint64_t number);
    /// Takes a job out of slot, queue and timers.
    job remove(std::uint64_t number);
    void dropAll();
    void thaw();
    /// Refusal of a request that was not run.
    void refuse(const shared_responder &to, const std::string &code);
    void refuseVersion(const job &refused);
    /// Calls `step`, as soon as the server is not frozen.
    void whenAwake(std::function<void()> step);
    duration connectionCost() const;
    duration drawServiceTime();
    double drawShare();
    http::response health();
    http::response load();
    void count(const char *event) { m_counters.add("events", event); }

    event_base *m_base;
    const clock &m_clock;
    const simulated_backend_settings &m_settings;
    backend_server m_definition;
    command_log &m_commands;
    held_index m_index;
    backend_faults m_faults;
    random_engine m_random;
    call_counters m_counters;
    time_point m_started;
    bool m_crashed = false;
    std::uint32_t m_busy = 0;
    std::uint64_t m_nextJob = 1;
    std::map<std::uint64_t, job> m_jobs;
    std::deque<std::uint64_t> m_queue;
    /// What waits for the end of `freeze`.
    std::vector<std::function<void()>> m_heldSteps;
    std::vector<std::pair<http::request, shared_responder>> m_heldRequests;
    /// Reports of `/health` and `/load` that are repeated until they are too old.
    std::optional<http::response> m_health;
    std::optional<http::response> m_load;
    time_point m_reported;
    delayed_calls m_delayed;
    std::unique_ptr<http::server> m_server;
};

} // namespace waxwing::standins
