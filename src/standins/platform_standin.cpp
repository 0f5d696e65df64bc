#include "standins/platform_standin.h"

#include "standins/json_fields.h"
#include "standins/standin_log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace waxwing::standins {
namespace {

std::string etagOf(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

nlohmann::json toJson(const object_store::key &id, const stored_object &object)
{
    return {{"kind", id.first},
            {"name", id.second},
            {"version", object.version},
            {"value", object.value}};
}

http::response objectResponse(const object_store::key &id, const stored_object &object)
{
    auto result = http::jsonResponse(200, toJson(id, object).dump());
    result.headers.emplace_back("ETag", etagOf(object.version));
    return result;
}

http::response writtenResponse(const object_store::key &id, std::uint64_t version)
{
    const nlohmann::json body{{"kind", id.first}, {"name", id.second}, {"version", version}};
    auto result = http::jsonResponse(version == 1 ? 201 : 200, body.dump());
    result.headers.emplace_back("ETag", etagOf(version));
    return result;
}

http::response notFound()
{
    return http::problemResponse({404, "not-found", "there is no such object or path"});
}

/// Condition of a PUT; empty if it has none or a malformed one.
std::optional<write_condition> conditionOf(const http::header_list &headers)
{
    if (http::findHeader(headers, "If-None-Match") == "*")
        return write_condition{0};
    const std::string match = http::findHeader(headers, "If-Match").value_or("");
    write_condition result;
    if (match.size() > 2 && match.front() == '"' && match.back() == '"'
        && absl::SimpleAtoi(match.substr(1, match.size() - 2), &result.version)
        && result.version > 0)
        return result;
    return std::nullopt;
}

std::vector<std::string> pathParts(const std::string &path)
{
    return absl::StrSplit(path, '/', absl::SkipEmpty());
}

} // namespace

absl::StatusOr<std::unique_ptr<platform_standin>>
platform_standin::create(event_base *base, const clock &time,
                         const platform_standin_settings &settings)
{
    std::unique_ptr<platform_standin> result(new platform_standin(base, time, settings));
    http::server_settings limits;
    limits.listen = settings.listen;
    limits.maxBodyBytes = settings.maxValueBytes;
    auto listening = http::server::create(
        base, limits, [self = result.get()](const http::request &message, http::responder to) {
            self->handle(message, std::move(to));
        });
    if (!listening.ok())
        return listening.status();
    result->m_server = *std::move(listening);
    return result;
}

platform_standin::platform_standin(event_base *base, const clock &time,
                                   platform_standin_settings settings)
    : m_clock(time), m_settings(std::move(settings)), m_faults(m_settings.faults), m_delayed(base)
{ }

absl::Status platform_standin::setHosts(nlohmann::json document)
{
    return m_hosts.set(std::move(document), m_clock.now());
}

void platform_standin::handle(const http::request &message, http::responder to)
{
    const auto shared = std::make_shared<http::responder>(std::move(to));
    if (handleControl(message, shared))
        return;
    if (message.path == "/hosts" && message.method == "GET") {
        m_counters.add("calls", "hosts");
        if (m_faults.outage)
            fail(shared);
        else
            answer(
                shared,
                http::jsonResponse(
                    200,
                    m_hosts
                        .visible(m_clock.now(), std::chrono::milliseconds(m_faults.hostListLagMs))
                        .dump()));
        return;
    }
    handleObject(message, shared);
}

bool platform_standin::handleControl(const http::request &message, const shared_responder &to)
{
    if (message.path == "/faults" && message.method == "POST") {
        to->respond(changeFaults(message.body));
    } else if (message.path == "/faults" && message.method == "GET") {
        to->respond(http::jsonResponse(200, m_faults.toJson().dump()));
    } else if (message.path == "/counters" && message.method == "GET") {
        to->respond(countersResponse());
    } else if (message.path == "/hosts" && message.method == "PUT") {
        const auto document = parseObject(message.body);
        const absl::Status status = document.ok() ? setHosts(*document) : document.status();
        to->respond(status.ok() ? http::jsonResponse(200, "{}") : badRequest(status));
    } else {
        return false;
    }
    return true;
}

http::response platform_standin::changeFaults(const std::string &body)
{
    const auto change = parseObject(body);
    if (!change.ok())
        return badRequest(change.status());
    auto faults = m_faults.with(*change);
    if (!faults.ok())
        return badRequest(faults.status());
    if (const auto action = change->find("restore_version"); action != change->end()) {
        object_store::key id;
        std::uint64_t version = 0;
        for (const absl::Status &status :
             {readField(*action, "kind", id.first), readField(*action, "name", id.second),
              readField(*action, "version", version)}) {
            if (!status.ok())
                return badRequest(status);
        }
        if (!m_objects.restore(id, version))
            return notFound();
    }
    m_faults = *std::move(faults);
    logEvent("faults changed", {{"faults", m_faults.toJson()}, {"change", *change}});
    if (m_faults.outage)
        endWatches();
    else
        for (const auto &to : std::exchange(m_hanging, {}))
            to->drop();
    return http::jsonResponse(200, m_faults.toJson().dump());
}

http::response platform_standin::countersResponse() const
{
    nlohmann::json body = m_counters.toJson();
    body["watches_waiting"] = m_watches.size();
    return http::jsonResponse(200, body.dump());
}

void platform_standin::fail(const shared_responder &to)
{
    m_counters.add("calls", "failed");
    if (m_faults.outageKind == "drop")
        to->drop();
    else if (m_faults.outageKind == "hang")
        m_hanging.push_back(to);
    else
        to->respond(http::problemResponse({503, "platform-outage", "the platform is down",
                                           execution_state::NotRun, std::chrono::seconds(1)}));
}

void platform_standin::handleObject(const http::request &message, const shared_responder &to)
{
    const auto parts = pathParts(message.path);
    const bool isList = parts.size() == 2 && message.method == "GET";
    const bool isObject = parts.size() == 3 && (message.method == "GET" || message.method == "PUT");
    if (parts.empty() || parts[0] != "objects" || (!isList && !isObject)) {
        to->respond(notFound());
        return;
    }
    const bool isWatch = isObject && http::findHeader(message.query, "wait_ms").has_value();
    const std::string call = message.method == "PUT" ? "put"
        : isList                                     ? "list"
        : isWatch                                    ? "watch"
                                                     : "get";
    m_counters.add("calls", call);
    m_counters.add(parts[1], call);
    if (m_faults.outage)
        fail(to);
    else if (isList)
        answer(to, list(parts[1]));
    else if (message.method == "PUT")
        write({parts[1], parts[2]}, message, to);
    else
        read({parts[1], parts[2]}, message, to);
}

void platform_standin::read(const object_store::key &id, const http::request &message,
                            const shared_responder &to)
{
    const auto object = m_objects.find(id, m_faults.staleReads);
    const auto afterText = http::findHeader(message.query, "after");
    const auto waitText = http::findHeader(message.query, "wait_ms");
    if (!afterText && !waitText) {
        answer(to, object ? objectResponse(id, *object) : notFound());
        return;
    }
    std::uint64_t after = 0;
    std::uint64_t waitMs = 0;
    if (!absl::SimpleAtoi(afterText.value_or("0"), &after)
        || !absl::SimpleAtoi(waitText.value_or("0"), &waitMs)) {
        to->respond(badRequest(
            absl::InvalidArgumentError("'after' and 'wait_ms' must be integers, 0 or more")));
        return;
    }
    if (object && object->version > after) {
        answer(to, objectResponse(id, *object));
        return;
    }
    const auto longest = static_cast<std::uint64_t>(m_settings.maxWait.count());
    wait(id, after, std::chrono::milliseconds(std::min(waitMs, longest)), to);
}

void platform_standin::wait(const object_store::key &id, std::uint64_t after,
                            std::chrono::milliseconds most, const shared_responder &to)
{
    const std::uint64_t number = m_nextWatch++;
    const auto timeout = m_delayed.after(most, [this, number, to] {
        m_watches.erase(number);
        answer(to, {304, {}, {}});
    });
    m_watches.emplace(number, watch{id, after, to, timeout});
    to->onDisconnect([this, number, timeout] {
        m_delayed.cancel(timeout);
        m_watches.erase(number);
    });
}

void platform_standin::wakeWatches()
{
    for (auto next = m_watches.begin(); next != m_watches.end();) {
        const watch &waiting = next->second;
        const auto object = m_objects.find(waiting.id, m_faults.staleReads);
        if (!object || object->version <= waiting.after) {
            ++next;
            continue;
        }
        m_delayed.cancel(waiting.timeout);
        answer(waiting.to, objectResponse(waiting.id, *object));
        next = m_watches.erase(next);
    }
}

void platform_standin::endWatches()
{
    for (const auto &[number, waiting] : std::exchange(m_watches, {})) {
        m_delayed.cancel(waiting.timeout);
        waiting.to->drop();
    }
}

void platform_standin::write(const object_store::key &id, const http::request &message,
                             const shared_responder &to)
{
    const auto condition = conditionOf(message.headers);
    auto value = nlohmann::json::parse(message.body, nullptr, false);
    if (!condition || value.is_discarded()) {
        to->respond(badRequest(absl::InvalidArgumentError(
            "a write needs If-Match: \"n\" or If-None-Match: *, and a JSON value")));
        return;
    }
    const auto version = m_objects.write(id, *condition, std::move(value));
    if (!version) {
        m_counters.add("calls", "conflict");
        answer(to, conflict(id));
        return;
    }
    wakeWatches();
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        m_counters.add("calls", "answer-lost");
        to->drop();
        return;
    }
    answer(to, writtenResponse(id, *version));
}

http::response platform_standin::list(const std::string &kind) const
{
    auto objects = nlohmann::json::array();
    for (const auto &[name, version] : m_objects.list(kind))
        objects.push_back({{"name", name}, {"version", version}});
    const nlohmann::json body{{"kind", kind}, {"objects", std::move(objects)}};
    return http::jsonResponse(200, body.dump());
}

http::response platform_standin::conflict(const object_store::key &id) const
{
    auto result = http::problemResponse(
        {412, "precondition-failed", "the object does not have the expected version"});
    const auto object = m_objects.find(id);
    if (!object)
        return result;
    // A conflicting writer needs the current object to tell which fields changed.
    auto body = nlohmann::json::parse(result.body);
    body.update(toJson(id, *object));
    result.body = body.dump();
    result.headers.emplace_back("ETag", etagOf(object->version));
    return result;
}

void platform_standin::answer(const shared_responder &to, http::response response)
{
    if (m_faults.delayMs == 0) {
        to->respond(response);
        return;
    }
    m_delayed.after(std::chrono::milliseconds(m_faults.delayMs),
                    [to, late = std::move(response)] { to->respond(late); });
}

} // namespace waxwing::standins
