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
    /// HTTP port of the callers.
    endpoint callers;
    /// HTTP port of the operators.
    endpoint admin;
    /// gRPC port of the peers.
    endpoint peer;
    /// UDP port of the peers.
    endpoint gossip;

    bool operator==(const listen_settings &) const = default;
};

/// Limits of the gRPC server and client of an entry host.
struct peer_limits
{
    /// Memory of gRPC buffers, in bytes.
    std::size_t memoryBytes = std::size_t{16} * 1024 * 1024;
    /// Threads that the gRPC server may start for its own calls.
    std::uint32_t threads = 2;
    /// Largest message in either direction, in bytes; a state holds a configuration of up to 1 MB.
    std::size_t messageBytes = std::size_t{4} * 1024 * 1024;
    /// Calls that one peer may have in progress.
    std::uint32_t callsPerPeer = 1000;
    /// Channels to peers that are kept; the least recently used one is closed.
    std::uint32_t channels = 32;
    /// Time for a peer to send its state.
    std::chrono::milliseconds stateTimeout{2000};
    /// Time that a forwarded call may take beyond its own timeout, so that the peer's answer at the
    /// deadline still arrives.
    std::chrono::milliseconds forwardMargin{20};

    bool operator==(const peer_limits &) const = default;
};

/// Settings of the process `waxwing-entry`.
struct host_settings
{
    /// Id of this host.
    host_id host;
    /// Addresses that it listens on.
    listen_settings listen;
    /// UDP addresses of members to contact first.
    std::vector<endpoint> gossipSeeds;
    /// gRPC addresses of members to fetch the state from first.
    std::vector<endpoint> peerSeeds;
    /// Address of the platform's object API.
    endpoint platform;
    /// Log entries below this level are dropped.
    log_level logLevel = log_level::Info;
    /// File that spans are appended to; empty for none.
    std::string spansFile;
    /// Limits of the callers' server; `listen` is that of the callers.
    http::server_settings callers;
    /// Limits of the client for backend servers.
    http::client_settings backends;
    /// Limits of the client for the platform.
    http::client_settings platformClient;
    /// Limits of gRPC.
    peer_limits peers;
    /// Settings of the state, with the zone of this host.
    entry_settings state;

    /// Reads settings from YAML text. Fails with InvalidArgument, naming every problem. `file` is
    /// only used in error messages.
    static absl::StatusOr<host_settings> parse(const std::string &text, const std::string &file);

    bool operator==(const host_settings &) const = default;
};

} // namespace waxwing
