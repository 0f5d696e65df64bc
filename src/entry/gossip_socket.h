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
    /// Binds at once. `metrics` must outlive the socket.
    static absl::StatusOr<std::unique_ptr<gossip_socket>>
    create(event_base *base, const endpoint &listen, metrics_registry &metrics, event_sink onEvent);
    ~gossip_socket();

    /// Sends a datagram. One that the system does not take is counted and lost, as UDP allows.
    void carryOut(const send_datagram &action);
    /// The address that is bound, with the port that the system chose.
    endpoint localEndpoint() const;

private:
    gossip_socket(int socket, metrics_registry &metrics, event_sink onEvent);
    static void onReadable(int socket, short events, void *self);
    /// Returns false once no datagram waits.
    bool receiveOne();

    int m_socket;
    metrics_registry &m_metrics;
    event_sink m_onEvent;
    struct ::event *m_read = nullptr;
};

} // namespace waxwing
