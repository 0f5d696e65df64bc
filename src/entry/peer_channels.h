#pragma once

#include "core/endpoint.h"
#include "entry/host_settings.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <list>
#include <memory>

namespace waxwing {

/// LRU cache of gRPC channels to peers. Bounded, because a channel takes tens of kilobytes and a
/// host connects to hundreds of peers over its lifetime.
class peer_channels
{
public:
    explicit peer_channels(const peer_limits &limits);

    /// Returns the channel to `peer` and opens it if necessary. Calls in progress keep an evicted
    /// channel alive.
    std::shared_ptr<wire::Peer::Stub> get(const endpoint &peer);
    /// Number of cached channels.
    std::size_t size() const { return m_cached.size(); }

private:
    struct cached_channel
    {
        endpoint peer;
        std::shared_ptr<wire::Peer::Stub> stub;
    };

    grpc::ChannelArguments m_arguments;
    std::size_t m_limit;
    /// Most recently used first.
    std::list<cached_channel> m_cached;
};

} // namespace waxwing
