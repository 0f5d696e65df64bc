#pragma once

#include "relay/relay_reducer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {

/// Backend server of a `relay_simulation`.
struct simulated_leaf
{
    /// Fault of the server. `Silent` servers accept requests but do not answer, `Down` servers
    /// accept no connections, `RefusesAll` answers 503 without running the request, `FailsAll`
    /// answers 500 after running it, `LosesAllReplies` closes the connection after running it.
    enum class fault_kind { None, Silent, Down, RefusesAll, FailsAll, LosesAllReplies };

    registered_server entry;
    fault_kind fault = fault_kind::None;
    /// Factor on the usual work time.
    double slowness = 1;
    /// The server starts no request before this time.
    time_point pausedUntil{};
    /// Whether the server announces in its answers that it is leaving.
    bool announcesLeaving = false;
    /// Whether the server signs its answers.
    bool signs = true;
    /// Time without requests that the server asks for when it refuses one.
    std::optional<std::chrono::milliseconds> pause;
    /// Requests a second from all hosts that the server names as its limit in its answers. It
    /// answers further ones all the same.
    std::optional<double> rateLimit;
    /// Load and cold time that the server states in its answers.
    std::optional<load_report> load{};
    time_point coldUntil{};
    /// Whether the limit in the answers cannot be read.
    bool isRateLimitMalformed = false;
    /// Share of the requests that the server refuses without running them, 0..1.
    double refusalRate = 0;
    /// Share of the replies that are lost after the request has run, 0..1.
    double lostReplyRate = 0;
    /// Requests that are queued for a slot.
    std::deque<std::function<void()>> queue;
    /// Hosts and attempts of the requests that are queued or run.
    std::set<std::pair<std::size_t, std::uint64_t>> present;
    /// Number of crashes. What a server did before a crash has no effect after it.
    std::uint32_t crashes = 0;
    std::uint32_t busySlots = 0;
    /// Number of runs by `callerId` of the request.
    std::map<std::string, int> runs;
    /// Number of requests that hosts sent to the server, including those that did not arrive.
    std::size_t attempts = 0;
    /// Indices of hosts that sent it requests.
    std::set<std::size_t> callers;
    /// Arrival times of requests, including refused ones.
    std::vector<time_point> arrivals;
};

/// Request that was sent in a `relay_simulation`, and its answer.
struct simulated_request
{
    std::string callerId;
    std::size_t host = 0;
    time_point sent{};
    std::optional<time_point> answered;
    relay_answer answer;
    /// Path and query.
    std::string target;

    /// Time from sending to the answer, in milliseconds. The request must be answered.
    double latencyMs() const
    {
        return std::chrono::duration<double, std::milli>(*answered - sent).count();
    }
    /// HTTP status of the answer.
    int status() const;
    /// Number of parts in the answer to a fan-out; 0 for other answers.
    std::size_t parts() const;
};

/// Crash of a server by a request in a `relay_simulation`.
struct simulated_crash
{
    time_point at{};
    /// Request that crashed it.
    std::string callerId;
    server_id server;
};

/// Parameters of a `relay_simulation`.
struct simulation_layout
{
    std::size_t hosts = 6;
    std::size_t shards = 10;
    std::uint32_t slots = 2;
    /// Number of hosts, from the first, with links of 140 Mbit/s; the others have 14 Mbit/s.
    std::size_t fastHosts = 0;
    std::chrono::milliseconds fanOutWork{10};
    std::chrono::milliseconds singleWork{60};
    execution_semantics singleRepeats = execution_semantics::Idempotent;
    std::uint64_t seed = 1;
    /// Era that the store states at first; 0 for none.
    std::uint64_t storeEra = 0;
    relay_settings settings{};
    /// Requests a second that cold servers of all services tolerate; 0 for no limit.
    double coldRatePerSecond = 0;
    std::chrono::milliseconds warmUp{0};
};

/// Simulates relay hosts and backend servers in virtual time. There are three zones, each in its
/// own region. Each service has one server in each zone. The one-way delay between zones is 12 ms.
class relay_simulation
{
public:
    explicit relay_simulation(simulation_layout layout);

    /// Runs until `time` after the start.
    void runUntil(std::chrono::milliseconds time);
    /// Schedules `action` at `time` after the start.
    void at(std::chrono::milliseconds time, std::function<void()> action);
    /// Schedules a request every `interval` from `from` until before `to`, to the hosts in turn.
    /// The number of the request is appended to `target`.
    void load(const std::string &target, std::chrono::milliseconds from,
              std::chrono::milliseconds to, std::chrono::microseconds interval);
    /// Sends one request and returns its index in `requests`. `delay` is the time for which the
    /// host's event loop was stalled before it read the request.
    std::size_t send(std::size_t host, const std::string &target, const std::string &body = {},
                     duration delay = {}, bool isFirstOnConnection = false);
    /// Sends one request as if another host had forwarded it. Its answer goes to
    /// `forwardedAnswers`.
    void sendForwarded(std::size_t host, const std::string &target, forwarding_origin origin);
    /// Disconnects the caller of `requests[request]`.
    void disconnectCaller(std::size_t request);
    /// Replaces the route document in the store.
    void publish(route_document document);
    /// Adds or replaces a server's registration in the store.
    void registerServer(const registered_server &entry);
    /// Adds the evacuation of `zone` (0 to 2) to the store.
    void evacuate(std::size_t zone);
    /// Removes it from the store.
    void endEvacuation(std::size_t zone);
    /// Discards the history of the store, so that watches from earlier revisions fail.
    void forgetHistory();
    /// Starts a host again without what it knew.
    void restart(std::size_t host);
    /// Saves a copy of the store for `restoreStore`.
    void saveStore();
    /// Replaces the store by the saved copy, which begins a new era. Watches in progress are cut
    /// off.
    void restoreStore();
    /// Removes a server's registration from the store.
    void unregister(const server_id &id);
    /// Returns the route document of the layout with the given version.
    route_document document(std::uint64_t version) const;

    /// Returns that document with another longest wait for requests to one server.
    route_document document(std::uint64_t version, std::chrono::milliseconds singleTimeout) const;
    /// Returns that document with regions to which all of its routes are restricted.
    route_document document(std::uint64_t version, const std::vector<std::string> &regions) const;
    /// Number of requests that hosts sent to servers in `zone` (0 to 2).
    std::size_t attemptsIn(std::size_t zone) const;

    /// Server of a service in `zone` (0 to 2).
    simulated_leaf &leafOf(const std::string &service, std::size_t zone);
    /// Asks a host to stop. It goes on to run; `exits` has the time at which it would have ended.
    void stop(std::size_t host) { post(host, stop_requested{}); }
    /// Suspends a host for `length`. What arrives meanwhile is handled when it wakes up. With
    /// `clockStops` its clock does not count that time, as the steady clock of a machine.
    void suspend(std::size_t host, std::chrono::milliseconds length, bool clockStops);
    relay_status status(std::size_t host) const { return m_hosts[host].state->status(); }
    /// Current virtual time.
    time_point now() const { return m_now; }
    /// Virtual time at which the hosts started.
    time_point start() const { return m_start; }

    /// Time that callers of one server have from now on.
    std::chrono::milliseconds callerTimeLeft{2500};
    /// API key of the requests that are sent from now on.
    std::string apiKey;
    /// Text that no log line and no name of a metric may contain; empty for none.
    std::string secret;
    /// Calls to servers, if `recordsCalls` is set.
    std::vector<send_to_leaf> leafCalls;
    /// Calls to other hosts that forward requests, if `recordsCalls` is set.
    std::vector<forward_request> forwardCalls;
    bool recordsCalls = false;
    /// Set if the answers of servers come in pieces where they may; the attempt is filled in.
    std::optional<answer_rest> answerRest;
    /// Answers to the requests of `sendForwarded`, in the order in which they were answered.
    std::vector<relay_answer> forwardedAnswers;
    /// Counters of all hosts together, by name.
    std::map<std::string, std::uint64_t> counters;
    std::vector<simulated_request> requests;
    std::map<server_id, simulated_leaf> leaves;
    /// Whether the store answers. Calls that start while it does not fail after 1 s.
    bool storeReachable = true;
    /// Number of calls to the store, without those that it may answer from old data.
    std::size_t storeCalls = 0;
    /// Number of calls that the store may answer from old data; they cost a tenth of the others.
    std::size_t staleStoreCalls = 0;
    /// Number of datagrams about quotas.
    std::size_t quotaDatagrams = 0;
    /// Whether lists that may be old are answered from the copy that `saveStore` made.
    bool answersFromOldData = false;
    /// Indices of hosts that do not reach the store.
    std::set<std::size_t> hostsWithoutStore;
    /// Indices of hosts that refuse calls of others for evacuations, like a build before them.
    std::set<std::size_t> hostsBeforeEvacuations;
    /// Number of log lines by message.
    std::map<std::string, std::size_t> logLines;
    /// Number of log lines of refused requests by the organisation that they name; empty for none.
    std::map<std::string, std::size_t> refusalsOf;
    /// Number of store calls that hosts sent to other hosts.
    std::size_t peerCalls = 0;
    /// Whether hosts acknowledge forwarded requests. Those of older builds do not.
    bool acknowledgesForwards = true;
    /// Number of requests forwarded to hosts of each zone.
    std::map<std::string, std::size_t> forwardsByZone;
    /// Whether a request crashes each server that begins to run it; none for no request.
    std::function<bool(const relay_request &)> crashesServers;
    /// How the connection of the request that crashed a server ends. The other requests on the
    /// server lose theirs.
    leaf_failure crashFailure = leaf_failure::ConnectionLost;
    /// Time for which a crashed server is down. It then registers again, as a new start. Its
    /// registration lapses after 3.6 s.
    std::chrono::milliseconds crashDownTime{3000};
    std::vector<simulated_crash> crashed;
    /// Share of the requests whose connection a server ends at once without running them, as at its
    /// connection limit, 0..1.
    double notAcceptedRate = 0;
    /// Indices of hosts that handle no events.
    std::set<std::size_t> stalledHosts;
    /// When hosts that were asked to stop ended their processes, by their indices.
    std::map<std::size_t, time_point> exits;
    /// Indices of hosts whose connections to all servers hang, new ones as well.
    std::set<std::size_t> hostsWithoutServers;
    /// Indices of hosts whose connections to all servers are refused.
    std::set<std::size_t> hostsRefusedByServers;
    /// Indices of hosts, and servers that refuse their connections.
    std::set<std::pair<std::size_t, server_id>> refusedPaths;
    /// Indices of hosts of an older build, which do not know the form of forwarded requests and
    /// answer them with a bare status 400.
    std::set<std::size_t> hostsOfOlderForm;

private:
    struct simulated_host
    {
        std::unique_ptr<relay_state> state;
        relay_settings settings;
        endpoint gossip;
        std::optional<time_point> tickAt;
        time_point suspendedUntil{};
        /// Time that the clock of the host has not counted.
        duration lag{};
        std::map<std::uint64_t, std::size_t> requestOf;
    };
    struct watch
    {
        std::size_t host;
        store_call call;
        bool done = false;
    };
    struct timed_action
    {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator>(const timed_action &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    relay_request createRequest(const std::string &callerId, const std::string &target,
                                const std::string &body) const;
    void startHost(std::size_t host, std::uint64_t incarnation);
    void schedule(duration delay, std::function<void()> action);
    void post(std::size_t host, relay_event_body body);
    void scheduleTick(std::size_t host);
    void execute(std::size_t host, const relay_effect &action);
    /// Updates the recorded calls, logs and counters.
    void record(const relay_effect &action);
    void callStore(std::size_t host, const store_call &call);
    void callPeer(std::size_t host, const store_call &call);
    std::vector<store_object> objects(store_object_kind kind, std::uint64_t after) const;
    void notifyWatches();
    /// Result of a store call, with the era if the store states one.
    store_call_ended ended(const store_call &call,
                           std::variant<store_answer, store_failure> outcome) const;
    void forward(std::size_t host, const forward_request &action);
    void answerForwarded(const answer_forwarded &action);
    void callLeaf(std::size_t host, const send_to_leaf &action);
    void arrive(std::size_t host, const send_to_leaf &action, simulated_leaf &server);
    void startNext(simulated_leaf &server);
    void crash(std::size_t host, const send_to_leaf &action, simulated_leaf &server);
    /// Returns true with probability `rate`.
    bool isDrawn(double rate);
    void reply(std::size_t host, attempt_id attempt, duration oneWayDelay, leaf_reply content);
    void fail(std::size_t host, attempt_id attempt, duration oneWayDelay, leaf_failure reason);
    duration workTime(const relay_request &request, const simulated_leaf &server);
    duration networkDelay(std::size_t host, const zone_id &zone) const;

    simulation_layout m_layout;
    random_engine m_random;
    time_point m_start{};
    time_point m_now;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_revision = 1;
    std::priority_queue<timed_action, std::vector<timed_action>, std::greater<>> m_actions;
    std::vector<simulated_host> m_hosts;
    std::vector<std::shared_ptr<watch>> m_watches;
    std::map<std::pair<int, std::string>, store_object> m_objects;
    /// Watches after an earlier revision fail.
    std::uint64_t m_oldestRevision = 0;
    std::uint64_t m_savedRevision = 0;
    std::map<std::pair<int, std::string>, store_object> m_savedObjects;
    /// Era of the store; it states none while this is 0.
    std::uint64_t m_era = 0;
    std::set<std::uint64_t> m_cancelled;
    /// Forwarded request in progress: the hosts that sent and received it, and the attempt.
    struct forwarded
    {
        std::size_t from = 0;
        std::size_t to = 0;
        attempt_id attempt;
    };
    std::map<std::uint64_t, forwarded> m_forwarded;
    std::uint64_t m_lastPeerRequest = 0;
    std::map<std::uint64_t, std::pair<std::size_t, store_call>> m_peerRequests;
};

/// Share of the requests from index `from` that are answered with status 200 within `limitMs`.
/// Asserts that each of them is answered.
double servedWithin(const relay_simulation &simulation, double limitMs, std::size_t from = 0);
/// Mean share of the shards whose part is in the answer, over all requests.
double coverage(const relay_simulation &simulation, std::size_t shards);
/// Number of requests that arrived at the server from `from` until before `to`.
std::size_t arrivalsBetween(const simulated_leaf &server, time_point from, time_point to);

} // namespace waxwing::relay
