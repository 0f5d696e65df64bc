#include "standins/simulated_backend.h"

#include "core/hash.h"
#include "standins/json_fields.h"
#include "standins/standin_log.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace waxwing::standins {
namespace {

http::response problem(int status, const std::string &code, execution_state execution,
                       std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
{
    return http::problemResponse(
        {status, code, "backend stand-in: " + code, execution, retryAfter});
}

nlohmann::json toJson(const std::vector<hit> &hits)
{
    auto result = nlohmann::json::array();
    for (const hit &found : hits)
        result.push_back({{"id", found.id}, {"score", found.score}});
    return result;
}

nlohmann::json searchReply(const nlohmann::json &requestId, const leaf_answer &answer)
{
    return {{"request_id", requestId},
            {"service", answer.service.value},
            {"shard", answer.shard.value},
            {"partitioning", answer.at.partitioning},
            {"version", answer.at.version},
            {"documents_searched", answer.documentsSearched},
            {"documents_total", answer.documentsTotal},
            {"hits", toJson(answer.hits)},
            {"held", standins::toJson(answer.held)}};
}

nlohmann::json commandReply(const leaf_call &command)
{
    return {{"request_id", command.requestId},
            {"result", {{"document", command.document}, {"operation", command.operation}}}};
}

/// A request id of the same type that no request has.
nlohmann::json otherId(const nlohmann::json &requestId)
{
    if (requestId.is_string())
        return "x-" + requestId.get<std::string>();
    constexpr std::uint64_t offset = 1'000'000'007;
    return requestId.get<std::uint64_t>() + offset;
}

} // namespace

absl::StatusOr<std::unique_ptr<simulated_backend>>
simulated_backend::create(event_base *base, const clock &time,
                          const simulated_backend_settings &settings,
                          const backend_server &definition, command_log &commands)
{
    std::unique_ptr<simulated_backend> result(
        new simulated_backend(base, time, settings, definition, commands));
    if (absl::Status status = result->listen(); !status.ok())
        return status;
    return result;
}

simulated_backend::simulated_backend(event_base *base, const clock &time,
                                     const simulated_backend_settings &settings,
                                     const backend_server &definition, command_log &commands)
    : m_base(base), m_clock(time), m_settings(settings), m_definition(definition),
      m_commands(commands), m_random(settings.seed + stableHash(definition.id.value)),
      m_delayed(base)
{ }

simulated_backend::~simulated_backend() = default;

absl::Status simulated_backend::listen()
{
    http::server_settings limits;
    limits.listen = m_definition.address;
    auto listening = http::server::create(
        m_base, limits, [this](const http::request &message, http::responder to) {
            receive(message, std::make_shared<http::responder>(std::move(to)));
        });
    if (!listening.ok())
        return listening.status();
    m_server = *std::move(listening);
    m_definition.address = m_server->localEndpoint();
    m_started = m_clock.now();
    return absl::OkStatus();
}

void simulated_backend::setDocument(const configuration &document, const generator_map &generators)
{
    m_index.setDocument(m_definition.id, document, generators);
    if (const backend_server *definition = document.findServer(m_definition.id)) {
        m_definition.slots = definition->slots;
        m_definition.connectionLimit = definition->connectionLimit;
    }
}

void simulated_backend::setFaults(const backend_faults &faults)
{
    m_faults = faults;
    if (!m_faults.freeze)
        thaw();
}

void simulated_backend::thaw()
{
    for (const auto &step : std::exchange(m_heldSteps, {}))
        step();
    for (const auto &[message, to] : std::exchange(m_heldRequests, {}))
        receive(message, to);
}

void simulated_backend::crash()
{
    if (m_crashed)
        return;
    m_crashed = true;
    count("crash");
    logEvent("crash", {{"server", m_definition.id.value}});
    dropAll();
    // The server may be calling this object.
    m_delayed.after(duration::zero(), [this] { m_server.reset(); });
    m_delayed.after(m_settings.restartTime, [this] { restart(); });
}

void simulated_backend::restart()
{
    if (absl::Status status = listen(); !status.ok()) {
        logEvent("restart failed",
                 {{"server", m_definition.id.value}, {"error", status.ToString()}});
        m_delayed.after(m_settings.restartTime, [this] { restart(); });
        return;
    }
    m_crashed = false;
    logEvent("restarted", {{"server", m_definition.id.value}});
}

void simulated_backend::dropAll()
{
    m_heldSteps.clear();
    for (const auto &[message, to] : std::exchange(m_heldRequests, {}))
        to->drop();
    while (!m_jobs.empty())
        remove(m_jobs.begin()->first).to->drop();
}

nlohmann::json simulated_backend::counters() const
{
    nlohmann::json result = m_counters.toJson().value("events", nlohmann::json::object());
    result["connections"] = m_server ? m_server->connections() : 0;
    result["busy"] = m_busy;
    result["queued"] = m_queue.size();
    return result;
}

void simulated_backend::whenAwake(std::function<void()> step)
{
    if (m_faults.freeze)
        m_heldSteps.push_back(std::move(step));
    else
        step();
}

void simulated_backend::receive(const http::request &message, const shared_responder &to)
{
    if (m_crashed) {
        to->drop();
        return;
    }
    if (!m_faults.freeze) {
        handle(message, to);
        return;
    }
    m_heldRequests.emplace_back(message, to);
}

void simulated_backend::handle(const http::request &message, const shared_responder &to)
{
    const std::string cancelPrefix = "/requests/";
    if (message.method == "GET" && message.path == "/health")
        to->respond(health());
    else if (message.method == "GET" && message.path == "/load")
        to->respond(load());
    else if (message.method == "DELETE" && message.path.starts_with(cancelPrefix))
        cancel(message.path.substr(cancelPrefix.size()), to);
    else if (message.method == "POST" && (message.path == "/search" || message.path == "/command"))
        addJob(message, to);
    else
        to->respond(problem(404, "not-found", execution_state::NotRun));
}

void simulated_backend::addJob(const http::request &message, const shared_responder &to)
{
    auto call = leaf_call::parse(message);
    if (!call.ok()) {
        to->respond(badRequest(call.status()));
        return;
    }
    count(call->isCommand ? "command" : "search");
    const bool isNew = to->isFirstOnConnection();
    if (isNew && m_server->connections() > m_definition.connectionLimit) {
        count("connection-limit");
        auto refusal =
            problem(503, "connection-limit", execution_state::NotRun, m_settings.retryAfter);
        refusal.headers.emplace_back("Connection", "close");
        to->respond(refusal);
        return;
    }
    const std::uint64_t number = m_nextJob++;
    m_jobs.emplace(number, job{*std::move(call), to});
    to->onDisconnect([this, number] { abandon(number); });
    armDeadline(number, message);
    if (!isNew) {
        admit(number);
        return;
    }
    count("new-connection");
    m_jobs.at(number).step = m_delayed.after(
        connectionCost(), [this, number] { whenAwake([this, number] { admit(number); }); });
}

void simulated_backend::armDeadline(std::uint64_t number, const http::request &message)
{
    std::uint64_t timeoutMs = 0;
    const auto header = http::findHeader(message.headers, "Request-Timeout-Ms");
    if (header && absl::SimpleAtoi(*header, &timeoutMs))
        m_jobs.at(number).deadline =
            m_delayed.after(std::chrono::milliseconds(timeoutMs),
                            [this, number] { whenAwake([this, number] { expire(number); }); });
}

void simulated_backend::admit(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return;
    job &admitted = found->second;
    const leaf_search &search = admitted.call.search;
    const bool held =
        admitted.call.isCommand ? m_index.serves(search.service) : m_index.holds(search);
    if (m_faults.drain) {
        refuse(remove(number).to, "draining");
    } else if (drawShare() < m_faults.shed
               || (m_busy >= m_definition.slots && m_queue.size() >= m_settings.queueBound)) {
        refuse(remove(number).to, "overloaded");
    } else if (!held) {
        refuseVersion(remove(number));
    } else {
        admitted.state = job_state::Queued;
        m_queue.push_back(number);
        startJobs();
    }
}

void simulated_backend::startJobs()
{
    while (!m_crashed && !m_faults.freeze && m_busy < m_definition.slots && !m_queue.empty()) {
        const std::uint64_t number = m_queue.front();
        m_queue.pop_front();
        start(number);
    }
}

void simulated_backend::start(std::uint64_t number)
{
    job &started = m_jobs.at(number);
    started.state = job_state::Running;
    ++m_busy;
    count("run");
    if (started.call.contains(m_settings.poisonMarker)) {
        count("poisoned");
        crash();
        return;
    }
    if (started.call.isCommand)
        m_commands.add(started.call);
    const duration needed = drawServiceTime();
    m_counters.add("events", "work_us",
                   static_cast<std::uint64_t>(
                       std::chrono::duration_cast<std::chrono::microseconds>(needed).count()));
    started.step =
        m_delayed.after(needed, [this, number] { whenAwake([this, number] { finish(number); }); });
}

void simulated_backend::finish(std::uint64_t number)
{
    if (m_jobs.count(number) == 0)
        return;
    const job done = remove(number);
    if (done.to)
        reply(done);
    startJobs();
}

void simulated_backend::reply(const job &done)
{
    if (drawShare() < m_faults.loseReplies) {
        count("reply-lost");
        done.to->drop();
        return;
    }
    // A repartitioning or a new version may have replaced the snapshot in the meantime.
    if (!done.call.isCommand && !m_index.holds(done.call.search)) {
        refuseVersion(done);
        return;
    }
    nlohmann::json body = done.call.isCommand
        ? commandReply(done.call)
        : searchReply(done.call.requestId, m_index.answer(done.call.search));
    if (drawShare() < m_faults.wrongRequestId)
        body["request_id"] = otherId(done.call.requestId);
    std::string text = body.dump();
    if (drawShare() < m_faults.truncateReplies)
        text.resize(text.size() / 2);
    count("done");
    done.to->respond(http::jsonResponse(200, std::move(text)));
}

void simulated_backend::cancel(const std::string &requestKey, const shared_responder &to)
{
    const auto found = std::find_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
        return entry.second.to && entry.second.call.requestKey() == requestKey;
    });
    const bool cancelled = found != m_jobs.end();
    to->respond(http::jsonResponse(200, nlohmann::json{{"cancelled", cancelled}}.dump()));
    if (!cancelled)
        return;
    count("cancelled");
    const job stopped = remove(found->first);
    stopped.to->respond(problem(499, "cancelled",
                                stopped.state == job_state::Running
                                    ? execution_state::OutcomeUnknown
                                    : execution_state::NotRun));
    startJobs();
}

void simulated_backend::expire(std::uint64_t number)
{
    if (m_jobs.count(number) == 0)
        return;
    count("deadline-exceeded");
    const job stopped = remove(number);
    if (stopped.to)
        stopped.to->respond(problem(504, "deadline-exceeded",
                                    stopped.state == job_state::Running
                                        ? execution_state::OutcomeUnknown
                                        : execution_state::NotRun));
    startJobs();
}

void simulated_backend::abandon(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return;
    count("abandoned");
    // A running request keeps its slot to the end: closing the connection does not cancel it.
    if (found->second.state == job_state::Running)
        found->second.to.reset();
    else
        remove(number);
}

simulated_backend::job simulated_backend::remove(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    job result = std::move(found->second);
    m_jobs.erase(found);
    m_delayed.cancel(result.step);
    m_delayed.cancel(result.deadline);
    if (result.state == job_state::Running)
        --m_busy;
    else if (result.state == job_state::Queued)
        std::erase(m_queue, number);
    return result;
}

void simulated_backend::refuse(const shared_responder &to, const std::string &code)
{
    count(code.c_str());
    to->respond(problem(503, code, execution_state::NotRun, m_settings.retryAfter));
}

void simulated_backend::refuseVersion(const job &refused)
{
    count("version-not-held");
    const leaf_search &search = refused.call.search;
    auto answer = problem(409, "version-not-held", execution_state::NotRun);
    auto body = nlohmann::json::parse(answer.body);
    body["held"] = standins::toJson(m_index.held(search.service, search.shard));
    answer.body = body.dump();
    refused.to->respond(answer);
}

duration simulated_backend::connectionCost() const
{
    constexpr std::uint32_t fewConnections = 30;
    const bool isSmall = m_definition.connectionLimit <= fewConnections;
    return m_settings.connectionCost.value_or(std::chrono::milliseconds(isSmall ? 5 : 1));
}

duration simulated_backend::drawServiceTime()
{
    double factor = 1 + m_settings.jitter * (2 * drawShare() - 1);
    if (drawShare() < m_faults.slowShare && m_faults.slowFactor != 1) {
        count("slowed");
        factor *= m_faults.slowFactor;
    }
    const double age = std::chrono::duration<double>(m_clock.now() - m_started).count();
    const double coldTime = std::chrono::duration<double>(m_settings.coldTime).count();
    if (age < coldTime)
        factor *= 1 + (m_settings.coldFactor - 1) * (1 - age / coldTime);
    return std::chrono::duration_cast<duration>(m_settings.serviceTime * factor);
}

double simulated_backend::drawShare()
{
    constexpr double numbers = 4294967296.0; // 2^32
    return m_random() / numbers;
}

http::response simulated_backend::health()
{
    const auto maxAge = std::chrono::milliseconds(m_faults.healthLagMs);
    if (m_health && m_clock.now() - m_reported < maxAge)
        return *m_health;
    const bool starting = m_clock.now() - m_started < m_settings.coldTime;
    const bool saysDraining = m_faults.drain != m_faults.healthLies;
    const nlohmann::json body{{"status",
                               saysDraining                           ? "draining"
                                   : starting && !m_faults.healthLies ? "starting"
                                                                      : "ok"},
                              {"held", m_index.toJson(m_faults.healthLies ? 1 : 0)}};
    m_health = http::jsonResponse(200, body.dump());
    m_load.reset();
    m_reported = m_clock.now();
    return *m_health;
}

http::response simulated_backend::load()
{
    const auto maxAge = std::chrono::milliseconds(m_faults.healthLagMs);
    if (m_load && m_clock.now() - m_reported < maxAge)
        return *m_load;
    const std::uint32_t busy =
        m_faults.healthLies ? m_definition.slots - std::min(m_busy, m_definition.slots) : m_busy;
    const nlohmann::json body{{"slots", m_definition.slots},
                              {"busy", busy},
                              {"queued", m_faults.healthLies ? 0 : m_queue.size()},
                              {"connections", m_server->connections()}};
    m_load = http::jsonResponse(200, body.dump());
    m_health.reset();
    m_reported = m_clock.now();
    return *m_load;
}

} // namespace waxwing::standins
