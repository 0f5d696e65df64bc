#include "standins/backend_fleet.h"

#include "standins/fleet_document.h"
#include "standins/json_fields.h"
#include "standins/standin_log.h"

namespace waxwing::standins {

absl::StatusOr<std::unique_ptr<backend_fleet>>
backend_fleet::create(event_base *base, const clock &time, const backend_fleet_settings &settings,
                      const configuration &document)
{
    std::unique_ptr<backend_fleet> result(new backend_fleet(base, time, settings));
    if (absl::Status status = result->apply(document); !status.ok())
        return status;
    http::server_settings limits;
    limits.listen = settings.control;
    limits.maxBodyBytes = 16'000'000; // A whole configuration document.
    auto control = http::server::create(
        base, limits, [self = result.get()](const http::request &message, http::responder to) {
            to.respond(self->handle(message));
        });
    if (!control.ok())
        return control.status();
    result->m_control = *std::move(control);
    return result;
}

backend_fleet::backend_fleet(event_base *base, const clock &time, backend_fleet_settings settings)
    : m_base(base), m_clock(time), m_settings(std::move(settings))
{ }

absl::Status backend_fleet::apply(const configuration &document)
{
    std::erase_if(m_servers, [&document](const auto &entry) {
        return document.findServer(entry.first) == nullptr;
    });
    generator_map generators;
    for (const service &definition : document.services)
        generators[definition.id] = std::make_shared<const document_generator>(definition);
    for (const backend_server &definition : document.servers) {
        if (!m_settings.zones.empty() && m_settings.zones.count(definition.zone) == 0)
            continue;
        auto &server = m_servers[definition.id];
        if (!server) {
            auto created = simulated_backend::create(m_base, m_clock, m_settings.server, definition,
                                                     m_commands);
            if (!created.ok()) {
                m_servers.erase(definition.id);
                return created.status();
            }
            server = *std::move(created);
        }
        server->setDocument(document, generators);
    }
    return absl::OkStatus();
}

std::optional<endpoint> backend_fleet::addressOf(const server_id &id) const
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return std::nullopt;
    return found->second->definition().address;
}

http::response backend_fleet::handle(const http::request &message)
{
    if (message.method == "GET" && message.path == "/counters")
        return counters();
    if (message.method == "PUT" && message.path == "/configuration") {
        const auto document = parseFleetDocument(message.body);
        const absl::Status status = document.ok() ? apply(*document) : document.status();
        return status.ok() ? http::jsonResponse(200, "{}") : badRequest(status);
    }
    if (message.method == "POST" && message.path == "/faults") {
        const auto change = parseObject(message.body);
        return change.ok() ? changeFaults(*change) : badRequest(change.status());
    }
    return http::problemResponse({404, "not-found", "there is no such control path"});
}

std::vector<simulated_backend *> backend_fleet::select(const nlohmann::json &change) const
{
    std::string id = "*";
    std::string zone = "*";
    std::vector<simulated_backend *> result;
    if (!readField(change, "server", id).ok() || !readField(change, "zone", zone).ok())
        return result;
    for (const auto &[server, simulated] : m_servers) {
        if ((id == "*" || server.value == id)
            && (zone == "*" || simulated->definition().zone.value == zone))
            result.push_back(simulated.get());
    }
    return result;
}

http::response backend_fleet::changeFaults(const nlohmann::json &change)
{
    bool crash = false;
    std::string published;
    const bool publish = change.contains("publish_version");
    for (const absl::Status &status :
         {backend_faults().with(change).status(), readField(change, "crash", crash),
          readField(change, "publish_version", published)}) {
        if (!status.ok())
            return badRequest(status);
    }
    const auto servers = select(change);
    if (servers.empty())
        return http::problemResponse({404, "unknown-server", "no simulated server matches"});
    for (simulated_backend *server : servers) {
        server->setFaults(server->faults().with(change).value());
        if (publish)
            server->publish({published == "*" ? "" : published});
        if (crash)
            server->crash();
    }
    logEvent("faults changed", {{"servers", servers.size()}, {"change", change}});
    return http::jsonResponse(200, nlohmann::json{{"servers", servers.size()}}.dump());
}

http::response backend_fleet::counters() const
{
    nlohmann::json body{{"commands", m_commands.toJson()}, {"servers", nlohmann::json::object()}};
    std::map<std::string, std::uint64_t> totals;
    for (const auto &[id, server] : m_servers) {
        auto counts = server->counters();
        for (const auto &[name, value] : counts.items())
            totals[name] += value.get<std::uint64_t>();
        body["servers"][id.value] = std::move(counts);
    }
    body["total"] = totals;
    return http::jsonResponse(200, body.dump());
}

} // namespace waxwing::standins
