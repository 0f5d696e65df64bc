#include "load/load_runner.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

/// Connections to one entry host; enough that the sender is not what limits the load.
constexpr std::size_t connectionsPerTarget = 512;

http::client_settings clientSettings()
{
    http::client_settings settings;
    settings.connectionsPerEndpoint = connectionsPerTarget;
    return settings;
}

std::string describe(const http::client::outcome &outcome)
{
    if (const auto *failure = std::get_if<http::transport_failure>(&outcome))
        return "no answer: " + failure->detail;
    const auto &answer = std::get<http::response>(outcome);
    return fmt::format("status {}: {}", answer.status, answer.body.substr(0, 200));
}

bool isNotRun(const http::response &answer)
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && body.value("execution", "") == "not-run";
}

} // namespace

load_runner::load_runner(event_base *base, load_settings settings, const answer_checker &checker,
                         const clock &time)
    : m_base(base), m_settings(std::move(settings)), m_checker(checker), m_clock(time),
      m_client(base, clientSettings()), m_random(m_settings.seed),
      m_timer(event_new(base, -1, 0, &load_runner::onTimer, this))
{ }

load_report load_runner::run()
{
    m_start = m_clock.now();
    scheduleNext();
    event_base_dispatch(m_base);
    return m_report;
}

void load_runner::onTimer(evutil_socket_t, short, void *self)
{
    static_cast<load_runner *>(self)->sendDue();
}

time_point load_runner::plannedTime(std::uint32_t index) const
{
    const std::chrono::duration<double> offset(index / m_settings.ratePerSecond);
    return m_start + std::chrono::duration_cast<duration>(offset);
}

bool load_runner::isCommandDue() const
{
    // Command number i is due after the search number i * searches / commands.
    return m_report.commands < m_settings.commands
        && std::uint64_t{m_report.searches} * m_settings.commands
        >= std::uint64_t{m_report.commands} * m_settings.searches;
}

void load_runner::sendDue()
{
    while (m_report.searches < m_settings.searches
           && plannedTime(m_report.searches) <= m_clock.now()) {
        if (isCommandDue())
            sendCommand();
        sendSearch(plannedTime(m_report.searches));
    }
    scheduleNext();
}

void load_runner::scheduleNext()
{
    if (m_report.searches == m_settings.searches) {
        finishIfDone();
        return;
    }
    const auto wait = std::max(plannedTime(m_report.searches) - m_clock.now(), duration::zero());
    const auto micros = std::chrono::ceil<std::chrono::microseconds>(wait).count();
    timeval delay{static_cast<time_t>(micros / 1'000'000),
                  static_cast<suseconds_t>(micros % 1'000'000)};
    event_add(m_timer.get(), &delay);
}

const endpoint &load_runner::chooseTarget()
{
    return m_settings.targets[m_random(static_cast<std::uint32_t>(m_settings.targets.size()))];
}

void load_runner::sendSearch(time_point planned)
{
    const load_query query{m_settings.services[m_report.searches % m_settings.services.size()],
                           m_settings.queries[m_report.searches % m_settings.queries.size()],
                           m_settings.limit};
    ++m_report.searches;
    ++m_inProgress;

    http::request message;
    message.method = "POST";
    message.path = "/v1/services/" + query.service.value + "/search";
    message.headers = {{"Content-Type", "application/json"}, {"Caller-Id", "waxwing-load"}};
    message.body = nlohmann::json{{"query", query.text}, {"limit", query.limit}}.dump();
    m_client.send(chooseTarget(), message, m_settings.timeout,
                  [this, query, planned](const http::client::outcome &outcome) {
                      onSearchDone(query, planned, outcome);
                  });
}

void load_runner::sendCommand()
{
    const service_id &service = m_settings.services[m_report.commands % m_settings.services.size()];
    ++m_report.commands;
    ++m_inProgress;

    http::request message;
    message.method = "POST";
    message.path = "/v1/services/" + service.value + "/commands";
    message.headers = {
        {"Content-Type", "application/json"},
        {"Idempotency-Key", fmt::format("load-{}-{:08x}", m_settings.seed, m_random())}};
    message.body =
        nlohmann::json{{"document", fmt::format("document-{}", m_report.commands)},
                       {"operation", "enrol"},
                       {"payload", {{"person", fmt::format("person-{}", m_report.commands)}}}}
            .dump();
    m_client.send(chooseTarget(), message, m_settings.timeout,
                  [this](const http::client::outcome &outcome) { onCommandDone(outcome); });
}

void load_runner::onSearchDone(const load_query &query, time_point planned,
                               const http::client::outcome &outcome)
{
    --m_inProgress;
    const auto *answer = std::get_if<http::response>(&outcome);
    if (answer != nullptr && answer->status == 200) {
        ++m_report.answered;
        const auto latency =
            std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - planned);
        m_report.latencies.push_back(latency);
        m_checker.check(query, answer->body, latency, m_report);
    } else if (answer != nullptr && (answer->status == 503 || answer->status == 429)) {
        ++m_report.refused;
        m_report.addProblem(query.service.value + ": search refused, " + describe(outcome));
    } else {
        ++m_report.failed;
        m_report.addProblem(query.service.value + ": search failed, " + describe(outcome));
    }
    finishIfDone();
}

void load_runner::onCommandDone(const http::client::outcome &outcome)
{
    --m_inProgress;
    const auto *answer = std::get_if<http::response>(&outcome);
    if (answer != nullptr && answer->status == 200) {
        ++m_report.commandsDone;
    } else {
        ++(answer != nullptr && isNotRun(*answer) ? m_report.commandsNotRun
                                                  : m_report.commandsUnknown);
        m_report.addProblem("command not done, " + describe(outcome));
    }
    finishIfDone();
}

void load_runner::finishIfDone()
{
    if (m_inProgress == 0 && m_report.searches == m_settings.searches)
        event_base_loopbreak(m_base);
}

} // namespace waxwing
