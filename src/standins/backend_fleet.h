#pragma once

#include "standins/simulated_backend.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace waxwing::standins {

/// Settings of a `backend_fleet`.
struct backend_fleet_settings
{
    /// Address of the control port.
    endpoint control{"127.0.0.1", 0};
    /// Zones whose servers are simulated; empty for all.
    std::set<zone_id> zones;
    /// Settings of each server.
    simulated_backend_settings server;

    bool operator==(const backend_fleet_settings &) const = default;
};

/// Simulated backend servers of a configuration document, and the control port for their faults.
class backend_fleet
{
public:
    /// Listens at once on the control port and on the address of each server.
    static absl::StatusOr<std::unique_ptr<backend_fleet>>
    create(event_base *base, const clock &time, const backend_fleet_settings &settings,
           const configuration &document);

    /// Address of the control port.
    endpoint controlEndpoint() const { return m_control->localEndpoint(); }
    /// Starts the servers that are new in `document`, stops those that it lacks and gives the
    /// others its shards.
    absl::Status apply(const configuration &document);
    /// Simulated servers.
    std::size_t size() const { return m_servers.size(); }
    /// Address of a server, if it is simulated.
    std::optional<endpoint> addressOf(const server_id &id) const;

private:
    backend_fleet(event_base *base, const clock &time, backend_fleet_settings settings);

    http::response handle(const http::request &message);
    http::response changeFaults(const nlohmann::json &change);
    http::response counters() const;
    std::vector<simulated_backend *> select(const nlohmann::json &change) const;

    event_base *m_base;
    const clock &m_clock;
    backend_fleet_settings m_settings;
    command_log m_commands;
    std::map<server_id, std::unique_ptr<simulated_backend>> m_servers;
    std::unique_ptr<http::server> m_control;
};

} // namespace waxwing::standins
