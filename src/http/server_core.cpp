#include "http/server_core.h"

#include "http/event_ptr.h"
#include "http/target.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace waxwing::http {
namespace {

constexpr std::array<std::string_view, 4> allowedMethods{"GET", "POST", "PUT", "DELETE"};

raw_server_settings toRawSettings(const server_settings &settings)
{
    raw_server_settings result;
    result.listen = settings.listen;
    result.messages = {settings.maxHeaderBytes, settings.maxBodyBytes};
    result.headerTimeout = settings.requestTimeout;
    result.arrivalTimeout = settings.requestTimeout;
    result.idleTimeout = settings.idleTimeout;
    return result;
}

/// Reason given to the sender of a request that cannot be read.
refusal toRefusal(int status)
{
    switch (status) {
    case 408:
        return {status, "request-timeout", "the request did not arrive whole in time"};
    case 413:
        return {status, "body-too-large", "the body is over the limit"};
    case 431:
        return {status, "headers-too-large", "the header block is over the limit"};
    case 501:
        return {status, "method-not-implemented", "the method is unknown"};
    case 503:
        return {status, "no-room", "there is no room for the request"};
    default:
        return {status, "malformed-request", "the request is not valid HTTP"};
    }
}

std::string formatDate(wall_time now)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    return fmt::format("{:%a, %d %b %Y %H:%M:%S} GMT",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

} // namespace

server_core::server_core(server::handler onRequest) : m_handler(std::move(onRequest)) { }

absl::Status server_core::listen(event_base *base, const server_settings &settings)
{
    ignoreBrokenPipes();
    auto created = raw_server::create(
        base, m_time, toRawSettings(settings),
        {[this](request_id id, raw_request received) { handle(id, std::move(received)); },
         [this](request_id id) { onGone(id); },
         [](response &answer, const rejection & /*reason*/) {
             answer = problemResponse(toRefusal(answer.status));
         }});
    if (!created.ok())
        return created.status();
    m_connections = *std::move(created);
    return absl::OkStatus();
}

void server_core::handle(request_id id, raw_request received)
{
    m_unanswered.emplace(id.value, nullptr);
    responder answer(weak_from_this(), id);
    if (std::ranges::find(allowedMethods, received.method) == allowedMethods.end()) {
        response problem = problemResponse(
            {405, "method-not-allowed", "allowed methods are GET, POST, PUT and DELETE"});
        problem.headers.emplace_back("Allow", "GET, POST, PUT, DELETE");
        answer.respond(problem);
        return;
    }
    auto target = parseTarget(received.target);
    if (!target) {
        answer.respond(problemResponse({400, "malformed-request", "the target is not valid"}));
        return;
    }
    request message;
    message.method = std::move(received.method);
    message.path = std::move(target->path);
    message.query = std::move(target->query);
    message.headers = std::move(received.headers);
    message.body = std::move(received.body);
    m_handler(std::move(message), std::move(answer));
}

void server_core::respond(request_id id, response answer)
{
    if (m_unanswered.erase(id.value) == 0)
        return;
    answer.headers.emplace_back("Date", formatDate(m_time.wallNow()));
    m_connections->respond(id, answer);
}

void server_core::drop(request_id id)
{
    if (m_unanswered.erase(id.value) != 0)
        m_connections->drop(id);
}

bool server_core::isFirstOnConnection(request_id id) const
{
    return m_connections->isFirstOnConnection(id);
}

void server_core::setOnDisconnect(request_id id, std::function<void()> callback)
{
    const auto found = m_unanswered.find(id.value);
    if (found != m_unanswered.end())
        found->second = std::move(callback);
}

void server_core::onGone(request_id id)
{
    const auto found = m_unanswered.extract(id.value);
    if (!found.empty() && found.mapped())
        found.mapped()();
}

} // namespace waxwing::http
