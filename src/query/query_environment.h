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

/// State of other parts that searches use. Lives as long as the event.
struct query_environment
{
    /// Configuration in force, or null. A search keeps the one that it started with.
    std::shared_ptr<const configuration> document;
    /// Backend servers.
    backend_pool &backends;
    /// Requests that crashed backend servers.
    request_quarantine &quarantine;
    /// Holders of a service, in order of their ids.
    std::function<const std::vector<host_id> &(const service_id &)> holders;
    /// This host.
    const member &self;
    /// Every known host.
    const std::map<host_id, member> &members;
    /// Whether this host is stopping and refuses new requests.
    bool stopping = false;
};

} // namespace waxwing
