#pragma once

#include "entry/event_sink.h"
#include "events/effect.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>
#include <event2/event.h>

#include <memory>

namespace waxwing {
/// UDP socket for datagrams between entry hosts. Malformed and oversized datagrams are counted and
/// dropped.
class gossip_socket
{
public:
    /// Binds the socket. `metrics` must outlive it. Fails with Unavailable if the port cannot be
    /// bound.
    static absl::StatusOr<std::unique_ptr<gossip_socket>>
    create(event_base *base, const endpoint &listen, metrics_registry &metrics, event_sink onEvent);
    ~gossip_socket();

    /// Sends a datagram. If the system refuses it, it is counted and dropped; UDP may lose
    /// datagrams anyway.
    void carryOut(const send_datagram &action);
    /// Bound address, with the port that the system chose if `listen` had port 0.
    endpoint localEndpoint() const;

private:
    gossip_socket(int socket, metrics_registry &metrics, event_sink onEvent);
    static void onReadable(int socket, short events, void *self);
    /// Reads one datagram. Returns false if none is waiting.
    bool receiveOne();

    int m_socket;
    metrics_registry &m_metrics;
    event_sink m_onEvent;
    struct ::event *m_read = nullptr;
};

} // namespace waxwing
