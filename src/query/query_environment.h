#pragma once

#include "backends/backend_pool.h"
#include "configuration/configuration.h"
#include "membership/member.h"
#include "quarantine/request_quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace waxwing {

/// References to the state of other components that searches use. Valid while one event is handled.
struct query_environment
{
    /// Current configuration; null before the first one is applied. A search keeps the
    /// configuration that it started with.
    std::shared_ptr<const configuration> document;
    /// Load, health and held snapshots of the backend servers.
    backend_pool &backends;
    /// Requests that crashed backend servers.
    request_quarantine &quarantine;
    /// Returns the holders of a service, sorted by host id.
    std::function<const std::vector<host_id> &(const service_id &)> holders;
    /// This host.
    const member &self;
    /// All hosts in the membership table.
    const std::map<host_id, member> &members;
    /// Whether this host is stopping and refuses new requests.
    bool stopping = false;
};

} // namespace waxwing
