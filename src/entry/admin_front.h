#pragma once

#include "http/server.h"
#include "membership/member.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace waxwing {
/// Content of `GET /v1/status`.
struct host_status
{
    host_id host;
    zone_id zone;
    /// Whether the host has a configuration and is not stopping.
    bool ready = false;
    /// Revision of the configuration in force; 0 if there is none.
    std::uint64_t configurationRevision = 0;
    /// Digest of the configuration in force; 0 if there is none.
    std::uint64_t configurationDigest = 0;
    /// Known members, ordered by host id.
    std::vector<member> members;

    bool operator==(const host_status &) const = default;
};

/// HTTP server for operators. Serves `GET /metrics`, `/healthz`, `/readyz` and `/v1/status`.
class admin_front
{
public:
    /// Returns the current status; called for each request that needs it.
    using status_source = std::function<host_status()>;

    /// Starts listening. `metrics` must outlive the server. Fails if the port cannot be opened.
    static absl::StatusOr<std::unique_ptr<admin_front>> create(event_base *base,
                                                               const endpoint &listen,
                                                               const metrics_registry &metrics,
                                                               status_source readStatus);

    /// Bound address, with the port that the system chose if `listen` had port 0.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }

private:
    admin_front(const metrics_registry &metrics, status_source readStatus);
    http::response respondTo(const http::request &message) const;

    const metrics_registry &m_metrics;
    status_source m_readStatus;
    std::unique_ptr<http::server> m_server;
};

} // namespace waxwing
