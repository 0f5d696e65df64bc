#include "entry/admin_front.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {
constexpr std::size_t maxBodyBytes = 1024;

std::string_view stateName(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Leaving:
        return "leaving";
    case member_state::Dead:
        return "dead";
    }
    return "unknown";
}

nlohmann::json formatMember(const member &known)
{
    return {
        {"host", known.host.value},
        {"zone", known.zone.value},
        {"state", stateName(known.state)},
        {"incarnation", known.incarnation},
        {"gossip", known.gossip.toString()},
        {"peer", known.peer.toString()},
        {"configuration_revision", known.configurationRevision},
    };
}

std::string formatStatus(const host_status &status)
{
    auto members = nlohmann::json::array();
    for (const member &known : status.members)
        members.push_back(formatMember(known));
    const nlohmann::json body{
        {"host", status.host.value},
        {"zone", status.zone.value},
        {"ready", status.ready},
        // The digest is a string because some JSON parsers keep only 53 bits of a number.
        {"configuration",
         {{"revision", status.configurationRevision},
          {"digest", fmt::format("{:016x}", status.configurationDigest)}}},
        {"members", std::move(members)},
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

absl::StatusOr<std::unique_ptr<admin_front>> admin_front::create(event_base *base,
                                                                 const endpoint &listen,
                                                                 const metrics_registry &metrics,
                                                                 status_source readStatus)
{
    std::unique_ptr<admin_front> front(new admin_front(metrics, std::move(readStatus)));
    http::server_settings settings;
    settings.listen = listen;
    settings.maxBodyBytes = maxBodyBytes;
    auto server = http::server::create(
        base, settings, [self = front.get()](const http::request &message, http::responder reply) {
            reply.respond(self->respondTo(message));
        });
    if (!server.ok())
        return server.status();
    front->m_server = *std::move(server);
    return front;
}

admin_front::admin_front(const metrics_registry &metrics, status_source readStatus)
    : m_metrics(metrics), m_readStatus(std::move(readStatus))
{ }

http::response admin_front::respondTo(const http::request &message) const
{
    if (message.method != "GET" && message.method != "HEAD")
        return http::problemResponse({405, "method-not-allowed", "only GET is supported"});
    if (message.path == "/metrics")
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render()};
    if (message.path == "/healthz")
        return http::jsonResponse(200, R"({"status":"ok"})");
    if (message.path == "/readyz") {
        if (m_readStatus().ready)
            return http::jsonResponse(200, R"({"status":"ready"})");
        return http::problemResponse({503, "not-ready",
                                      "the host has no configuration or is stopping",
                                      execution_state::NotRun, std::chrono::seconds(1)});
    }
    if (message.path == "/v1/status")
        return http::jsonResponse(200, formatStatus(m_readStatus()));
    return http::problemResponse({404, "not-found", "no such path"});
}

} // namespace waxwing
