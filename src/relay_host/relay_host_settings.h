#pragma once

#include "core/endpoint.h"
#include "relay/relay_settings.h"
#include "relay_host/memory_settings.h"
#include "telemetry/log_entry.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace waxwing::relay {

/// Contents of the settings file of `waxwing-relay`.
struct relay_host_settings
{
    /// Addresses that the host binds to.
    struct listen_addresses
    {
        /// HTTP requests of callers.
        endpoint callers;
        /// Readiness probes of the load balancer.
        endpoint ready;
        /// Metrics and status of the host, over HTTP.
        endpoint metrics;
        /// Gossip datagrams (UDP) and store calls (TCP) of other hosts.
        endpoint gossip;

        bool operator==(const listen_addresses &) const = default;
    };

    listen_addresses listen;
    endpoint store;
    /// Gossip addresses of the hosts that a starting host contacts first.
    std::vector<endpoint> seeds;
    /// Minimum level; log lines below it are dropped.
    log_level logLevel = log_level::Info;
    memory_settings memory;
    relay_settings reducerSettings;

    /// Parses YAML. Fails with InvalidArgument; the message lists file, line, field and expected
    /// value of every problem.
    static absl::StatusOr<relay_host_settings> parse(const std::string &text,
                                                     const std::string &file);

    bool operator==(const relay_host_settings &) const = default;
};

} // namespace waxwing::relay
