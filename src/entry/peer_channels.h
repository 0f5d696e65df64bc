#pragma once

#include "core/endpoint.h"
#include "entry/host_settings.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <list>
#include <memory>

namespace waxwing {

/// Kept gRPC channels to peers. Bounded, because a channel takes tens of kilobytes and a host meets
/// hundreds of peers over its life.
class peer_channels
{
public:
    explicit peer_channels(const peer_limits &limits);

    /// Channel to `peer`, opened if there is none. Calls keep it alive if it is closed meanwhile.
    std::shared_ptr<wire::Peer::Stub> get(const endpoint &peer);
    /// Channels that are kept.
    std::size_t size() const { return m_kept.size(); }

private:
    /// A channel that is kept.
    struct kept_channel
    {
        endpoint peer;
        std::shared_ptr<wire::Peer::Stub> stub;
    };

    grpc::ChannelArguments m_arguments;
    std::size_t m_limit;
    /// The most recently used one first.
    std::list<kept_channel> m_kept;
};

} // namespace waxwing
