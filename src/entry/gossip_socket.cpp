#include "entry/gossip_socket.h"

#include "membership/gossip_codec.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace waxwing {
namespace {
/// Maximum number of datagrams that are read before the event loop handles other events.
constexpr int maxDatagramsPerWakeup = 64;

sockaddr_in toSocketAddress(const endpoint &from)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    inet_pton(AF_INET, from.address.c_str(), &address.sin_addr);
    return address;
}

endpoint toEndpoint(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

} // namespace

absl::StatusOr<std::unique_ptr<gossip_socket>> gossip_socket::create(event_base *base,
                                                                     const endpoint &listen,
                                                                     metrics_registry &metrics,
                                                                     event_sink onEvent)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return absl::UnavailableError(std::string("no UDP socket: ") + std::strerror(errno));
    std::unique_ptr<gossip_socket> result(
        new gossip_socket(descriptor, metrics, std::move(onEvent)));
    const sockaddr_in address = toSocketAddress(listen);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return absl::UnavailableError("UDP " + listen.toString() + ": " + std::strerror(errno));
    result->m_read = event_new(base, descriptor, EV_READ | EV_PERSIST, &onReadable, result.get());
    event_add(result->m_read, nullptr);
    return result;
}

gossip_socket::gossip_socket(int socket, metrics_registry &metrics, event_sink onEvent)
    : m_socket(socket), m_metrics(metrics), m_onEvent(std::move(onEvent))
{ }

gossip_socket::~gossip_socket()
{
    if (m_read != nullptr)
        event_free(m_read);
    close(m_socket);
}

void gossip_socket::carryOut(const send_datagram &action)
{
    const std::string datagram = encodeGossip(action.message);
    if (datagram.size() > maxDatagramBytes) {
        m_metrics.count("gossip_oversized_sent_total");
        return;
    }
    const sockaddr_in address = toSocketAddress(action.to);
    const auto sent = sendto(m_socket, datagram.data(), datagram.size(), MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr *>(&address), sizeof address);
    m_metrics.count(sent < 0 ? "gossip_send_failures_total" : "gossip_sent_total");
    if (sent > 0)
        m_metrics.count("gossip_sent_bytes_total", static_cast<std::uint64_t>(sent));
}

endpoint gossip_socket::localEndpoint() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    return toEndpoint(address);
}

void gossip_socket::onReadable(int /*socket*/, short /*events*/, void *self)
{
    auto *receiver = static_cast<gossip_socket *>(self);
    for (int i = 0; i < maxDatagramsPerWakeup && receiver->receiveOne(); ++i) { }
}

bool gossip_socket::receiveOne()
{
    // One byte more than the limit, so that oversized datagrams are detected instead of truncated.
    std::array<char, maxDatagramBytes + 1> buffer{};
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    const auto size = recvfrom(m_socket, buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size < 0)
        return errno == EINTR || errno == ECONNREFUSED;
    m_metrics.count("gossip_received_total");
    m_metrics.count("gossip_received_bytes_total", static_cast<std::uint64_t>(size));
    auto message = decodeGossip({buffer.data(), static_cast<std::size_t>(size)});
    if (message)
        m_onEvent(datagram_received{toEndpoint(from), *std::move(message)});
    else
        m_metrics.count("gossip_malformed_total");
    return true;
}

} // namespace waxwing
