#include "entry/peer_channels.h"

#include <grpcpp/resource_quota.h>

#include <algorithm>

namespace waxwing {
namespace {

grpc::ChannelArguments channelArguments(const peer_limits &limits)
{
    grpc::ChannelArguments arguments;
    grpc::ResourceQuota quota("peer_client");
    quota.Resize(limits.memoryBytes);
    arguments.SetResourceQuota(quota);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(limits.messageBytes));
    // Reconnects to a restarted peer within a second instead of the default of two minutes.
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    // Only the reducer decides whether a forwarded request is retried. Peers are reached by
    // address, so proxy settings in the environment are ignored.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return arguments;
}

} // namespace

peer_channels::peer_channels(const peer_limits &limits)
    : m_arguments(channelArguments(limits)), m_limit(limits.channels)
{ }

std::shared_ptr<wire::Peer::Stub> peer_channels::get(const endpoint &peer)
{
    const auto found = std::find_if(m_cached.begin(), m_cached.end(),
                                    [&peer](const auto &cached) { return cached.peer == peer; });
    if (found != m_cached.end()) {
        m_cached.splice(m_cached.begin(), m_cached, found);
        return m_cached.front().stub;
    }
    const auto channel = grpc::CreateCustomChannel("ipv4:" + peer.toString(),
                                                   grpc::InsecureChannelCredentials(), m_arguments);
    m_cached.push_front({peer, wire::Peer::NewStub(channel)});
    if (m_cached.size() > m_limit)
        m_cached.pop_back();
    return m_cached.front().stub;
}

} // namespace waxwing
