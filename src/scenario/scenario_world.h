#pragma once

#include "core/random.h"
#include "entry/entry_reducer.h"
#include "entry/entry_settings.h"
#include "scenario/event_queue.h"
#include "scenario/fake_platform.h"
#include "scenario/fake_server.h"
#include "scenario/scenario.h"
#include "scenario/scenario_metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/// Runs a scenario: a few entry host reducers, fake backend servers and a fake platform that
/// exchange messages through one queue in virtual time. The same scenario gives the same metrics.
class scenario_world
{
public:
    /// `tune` may change the settings of the entry hosts, for baselines.
    explicit scenario_world(const scenario &script,
                            const std::function<void(entry_settings &)> &tune = {});

    /// Runs the script to its end.
    scenario_metrics run();

private:
    /// Entry host.
    struct host
    {
        member self;
        std::optional<entry_state> state;
        std::uint64_t starts = 0;
    };
    /// Where the answer of a request goes.
    struct pending_search
    {
        search_request request;
        time_point sent;
        std::string askedHost;
        /// Set for forwarded searches: gives the answer to the host that forwarded.
        std::function<void(const search_outcome &)> forward;
    };
    /// Command that is not answered yet.
    struct pending_command
    {
        command_request request;
        std::string askedHost;
        std::function<void(const command_outcome &)> forward;
    };

    void createServices(const scenario_cluster &cluster);
    void createHosts(const scenario_cluster &cluster);
    void scheduleStep(const scenario_step &step);
    void perform(const scenario_step &step, std::uint64_t repetition);
    void performOnServers(const scenario_step &step);
    void performOnHosts(const scenario_step &step);
    void performOnPlatform(const scenario_step &step);
    void sendSearch(const scenario_step &step, std::uint64_t repetition);
    void sendCommand(const scenario_step &step, std::uint64_t repetition);
    void startHost(host &target);
    void killHost(host &target);
    void tellLeaving(const scenario_step &step);

    void deliver(const std::string &hostName, event_body body);
    void later(duration delay, std::function<void()> action);
    void tickDueHosts();
    std::optional<time_point> nextHostDeadline() const;

    void carryOut(host &source, const effect &action);
    void handle(host &source, const answer_search &action);
    void handle(host &source, const answer_command &action);
    void handle(host &source, const send_leaf_search &action);
    void handle(host &source, const send_leaf_command &action);
    void handle(host &source, const cancel_leaf_search &action);
    void handle(host &source, const poll_health &action);
    void handle(host &source, const forward_search &action);
    void handle(host &source, const forward_command &action);
    void handle(host &source, const call_platform &action);
    void handle(host &source, const send_datagram &action);
    void handle(host &source, const fetch_peer_state &action);
    void handle(host &source, const exit_process &action);
    template<typename Other>
    void handle(host &, const Other &)
    {
        // Logs, spans, metrics and connection limits have no part in a scenario.
    }

    void callPlatform(const std::string &hostName, attempt_id attempt, const platform_call &call,
                      time_point giveUp);
    /// The platform's host list as the first host reads it; the others read a list from before.
    std::string leavingList();
    void finishSearch(const pending_search &search, const search_outcome &outcome);
    void checkAnswer(const pending_search &search, const search_answer &answer);
    void checkCoverage(const search_answer &answer);
    void noteWork(const server_id &server);

    bool isConnected(const std::string &fromZone, const std::string &toZone) const;
    duration latency(const std::string &fromZone, const std::string &toZone) const;
    host *findHostByPeer(const endpoint &address);
    host *findHostByGossip(const endpoint &address);
    std::string zoneOf(const server_id &server) const;
    std::uint64_t requestNumber(const host &source, attempt_id attempt) const;
    configuration_copy parsedCopy(const std::string &text) const;

    scenario m_script;
    std::function<void(entry_settings &)> m_tune;
    event_queue m_queue;
    random_engine m_random;
    scenario_metrics m_metrics;
    time_point m_now;
    time_point m_begin;
    configuration_copy m_configuration;
    fake_platform m_platform;
    std::map<std::string, host> m_hosts;
    std::map<std::string, fake_server> m_servers;
    std::map<std::uint64_t, pending_search> m_searches;
    std::map<std::uint64_t, pending_command> m_commands;
    /// Searches that a server began to run, by request and by query.
    std::set<std::string> m_queriesRun;
    std::set<std::string> m_isolatedZones;
    /// Leaving servers, with the time at which the first host heard of each.
    std::map<std::string, std::optional<time_point>> m_leavingSince;
    std::uint64_t m_lastRequest = 0;
};

/// Whether every expectation holds; the problems as text otherwise.
std::vector<std::string> checkExpectations(const scenario &script, const scenario_metrics &metrics);

} // namespace waxwing
