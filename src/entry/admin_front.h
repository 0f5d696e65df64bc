#pragma once

#include "http/server.h"
#include "membership/member.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace waxwing {

/// What the status page of an entry host shows.
struct host_status
{
    /// Id of the host.
    host_id host;
    /// Availability zone of the host.
    zone_id zone;
    /// Whether it can serve.
    bool ready = false;
    /// Revision of the configuration in force; 0 if there is none.
    std::uint64_t configurationRevision = 0;
    /// Digest of the configuration in force; 0 if there is none.
    std::uint64_t configurationDigest = 0;
    /// Known members, in order of their ids.
    std::vector<member> members;

    bool operator==(const host_status &) const = default;
};

/// HTTP server of the operators: `GET /metrics`, `/healthz`, `/readyz` and `/v1/status`.
class admin_front
{
public:
    /// Gives the status at the time of a request.
    using status_source = std::function<host_status()>;

    /// Listens at once. `metrics` must outlive the front.
    static absl::StatusOr<std::unique_ptr<admin_front>> create(event_base *base,
                                                               const endpoint &listen,
                                                               const metrics_registry &metrics,
                                                               status_source readStatus);

    /// The address that is listened on.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }

private:
    admin_front(const metrics_registry &metrics, status_source readStatus);
    http::response respondTo(const http::request &message) const;

    const metrics_registry &m_metrics;
    status_source m_readStatus;
    std::unique_ptr<http::server> m_server;
};

} // namespace waxwing
