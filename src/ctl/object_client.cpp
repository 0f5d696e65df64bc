#include "ctl/object_client.h"

#include <nlohmann/json.hpp>

#include <event2/event.h>

#include <memory>

namespace waxwing {
namespace {

using nlohmann::json;

const char *nameOf(http::transport_error error)
{
    switch (error) {
    case http::transport_error::NoFreeConnection:
        return "no free connection";
    case http::transport_error::ConnectFailed:
        return "cannot connect";
    case http::transport_error::ConnectionLost:
        return "the connection was lost";
    case http::transport_error::Timeout:
        return "no answer in time";
    case http::transport_error::Malformed:
        break;
    }
    return "the answer is not HTTP or too large";
}

std::optional<found_object> readObject(const json &body)
{
    if (!body.is_object() || !body.contains("value") || !body.contains("version")
        || !body["version"].is_number_unsigned())
        return std::nullopt;
    return found_object{body["version"].get<std::uint64_t>(), body["value"].dump()};
}

object_answer readResponse(const http::response &response)
{
    const auto status = "the platform answered with status " + std::to_string(response.status);
    if (response.status == 404)
        return missing_object{};
    // A refusal with 429 or 503 was not run; after another 5xx the effect is not known.
    if (response.status == 429 || response.status >= 500)
        return call_failed{response.status != 429 && response.status != 503, status};
    const auto body = json::parse(response.body, nullptr, false);
    if (response.status == 412)
        return write_conflict{readObject(body)};
    if (response.status != 200 && response.status != 201)
        return call_refused{status + ": " + response.body.substr(0, 300)};
    if (auto object = readObject(body))
        return *std::move(object);
    if (body.is_object() && body.contains("version") && body["version"].is_number_unsigned())
        return object_written{body["version"].get<std::uint64_t>()};
    return call_failed{true, "the platform's answer is not an object"};
}

http::request toRequest(const object_call &call)
{
    http::request result{"GET", "/objects/" + call.kind + "/" + call.name, {}, {}, {}};
    if (!call.value)
        return result;
    result.method = "PUT";
    result.body = *call.value;
    result.headers.emplace_back("Content-Type", "application/json");
    if (call.version == 0)
        result.headers.emplace_back("If-None-Match", "*");
    else
        result.headers.emplace_back("If-Match", '"' + std::to_string(call.version) + '"');
    return result;
}

/// A function that is called once by the event loop.
using delayed = std::function<void()>;

void runDelayed(evutil_socket_t, short, void *context)
{
    const std::unique_ptr<delayed> run(static_cast<delayed *>(context));
    (*run)();
}

/// A submission in progress; owned by the callback of its current call.
struct running_submission
{
    submission sending;
    std::function<void(submission_outcome)> onEnd;
};

void advance(object_client &client, const std::shared_ptr<running_submission> &running,
             submission::step next)
{
    if (auto *outcome = std::get_if<submission_outcome>(&next)) {
        running->onEnd(std::move(*outcome));
        return;
    }
    // Each call ends once, so a step without a call does not come up here.
    const auto &step = std::get<submission::call_step>(next);
    client.call(step.call, [&client, running, number = step.number](const object_answer &answer) {
        advance(client, running, running->sending.onAnswer(number, answer));
    });
}

} // namespace

object_answer readObjectAnswer(const http::client::outcome &outcome)
{
    if (const auto *response = std::get_if<http::response>(&outcome))
        return readResponse(*response);
    const auto &failure = std::get<http::transport_failure>(outcome);
    return call_failed{http::mayHaveBeenReceived(failure.error),
                       std::string(nameOf(failure.error)) + " to the platform"};
}

object_client::object_client(event_base *base, http::client &connections,
                             object_client_settings settings)
    : m_base(base), m_connections(connections), m_settings(std::move(settings))
{ }

void object_client::call(const object_call &what, std::function<void(object_answer)> onAnswer)
{
    if (what.pause.count() <= 0) {
        send(what, std::move(onAnswer));
        return;
    }
    auto run = std::make_unique<delayed>(
        [this, what, onAnswer = std::move(onAnswer)] { send(what, onAnswer); });
    const auto micros = std::chrono::microseconds(what.pause).count();
    const timeval pause{micros / 1'000'000, micros % 1'000'000};
    if (event_base_once(m_base, -1, EV_TIMEOUT, runDelayed, run.get(), &pause) == 0)
        static_cast<void>(run.release());
    else
        (*run)();
}

void object_client::send(const object_call &what, std::function<void(object_answer)> onAnswer)
{
    m_connections.send(m_settings.platform, toRequest(what), m_settings.timeout,
                       [onAnswer = std::move(onAnswer)](const http::client::outcome &outcome) {
                           onAnswer(readObjectAnswer(outcome));
                       });
}

void object_client::submit(submission sending, std::function<void(submission_outcome)> onEnd)
{
    const auto running = std::make_shared<running_submission>(
        running_submission{std::move(sending), std::move(onEnd)});
    auto first = running->sending.start();
    advance(*this, running, std::move(first));
}

} // namespace waxwing
