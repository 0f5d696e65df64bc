#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "entry/entry_settings.h"
#include "http/client.h"
#include "http/server.h"
#include "telemetry/log_entry.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace waxwing {
/// Addresses that an entry host listens on.
struct listen_settings
{
    /// HTTP, for callers.
    endpoint callers;
    /// HTTP, for operators.
    endpoint admin;
    /// gRPC, for peers.
    endpoint peer;
    /// UDP, for peers.
    endpoint gossip;

    bool operator==(const listen_settings &) const = default;
};

/// Limits of the gRPC server and client of an entry host.
struct peer_limits
{
    /// Memory limit of gRPC buffers, in bytes.
    std::size_t memoryBytes = std::size_t{16} * 1024 * 1024;
    /// Maximum number of threads that the gRPC server may start for its own calls.
    std::uint32_t threads = 2;
    /// Maximum message size in either direction, in bytes. A peer state contains a configuration of
    /// up to 1 MB.
    std::size_t messageBytes = std::size_t{4} * 1024 * 1024;
    /// Maximum number of calls in progress per peer.
    std::uint32_t callsPerPeer = 1000;
    /// Maximum number of open channels to peers; the least recently used one is closed.
    std::uint32_t channels = 32;
    /// Timeout for fetching the state of a peer.
    std::chrono::milliseconds stateTimeout{2000};
    /// Time added to the timeout of a forwarded call, so that a response that the peer sends at the
    /// deadline still arrives.
    std::chrono::milliseconds forwardMargin{20};

    bool operator==(const peer_limits &) const = default;
};

/// Settings of the process `waxwing-entry`.
struct host_settings
{
    host_id host;
    listen_settings listen;
    /// UDP addresses of members to contact at start.
    std::vector<endpoint> gossipSeeds;
    /// gRPC addresses of members to fetch the state from at start.
    std::vector<endpoint> peerSeeds;
    /// Address of the platform's object API.
    endpoint platform;
    /// Log entries below this level are dropped.
    log_level logLevel = log_level::Info;
    /// File that spans are appended to; no spans are recorded if empty.
    std::string spansFile;
    /// Limits of the HTTP server for callers; its `listen` is a copy of `listen.callers`.
    http::server_settings callers;
    /// Limits of the HTTP client for backend servers.
    http::client_settings backends;
    /// Limits of the HTTP client for the platform.
    http::client_settings platformClient;
    peer_limits peers;
    /// Settings of the reducer state, including the zone of this host.
    entry_settings state;

    /// Parses settings from YAML text. Fails with InvalidArgument and lists every problem. `file`
    /// is used only in error messages.
    static absl::StatusOr<host_settings> parse(const std::string &text, const std::string &file);

    bool operator==(const host_settings &) const = default;
};

} // namespace waxwing
