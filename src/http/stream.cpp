#include "http/stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>

namespace waxwing::http {
namespace {

/// Bytes read at a time; larger than most messages, so that one system call reads a whole one.
constexpr std::size_t readSize = std::size_t{64} * 1024;

/// Shared by all connections, since the loop runs on one thread and handlers copy what they keep.
std::array<char, readSize> &readBuffer()
{
    static std::array<char, readSize> buffer;
    return buffer;
}

template<typename Value>
void setOption(int socket, int level, int name, Value value)
{
    // A system that lacks an option still serves; only dead peers are noticed later.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

struct stream::unsent_write
{
    stream *owner;
    std::string bytes;
};

stream::stream(event_base *base, int socket, const stream_settings &settings, callbacks handlers)
    : m_socket(socket), m_handlers(std::move(handlers)), m_unsent(evbuffer_new()), m_connected(true)
{
    setOptions(settings);
    addEvents(base);
    event_add(m_read.get(), nullptr);
}

stream::stream(event_base *base, const endpoint &peer, const std::optional<std::string> &local,
               const stream_settings &settings, callbacks handlers)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      m_handlers(std::move(handlers)), m_unsent(evbuffer_new())
{
    if (m_socket >= 0) {
        setOptions(settings);
        if (local.has_value())
            bindTo(*local);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
        // An error shows again when the socket is reported as writable.
        static_cast<void>(
            ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    }
    addEvents(base);
    if (m_socket >= 0)
        event_add(m_write.get(), nullptr);
    else
        event_active(m_write.get(), EV_WRITE, 0);
}

stream::~stream()
{
    shut();
}

void stream::shut()
{
    m_ended = true;
    m_read.reset();
    m_write.reset();
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

void stream::setOptions(const stream_settings &settings) const
{
    setOption(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<unsigned int>(settings.unacknowledgedTimeout.count()));
    setOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    const int interval = static_cast<int>(settings.probeInterval.count());
    setOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT, settings.probes);
}

void stream::bindTo(const std::string &local) const
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    // The port is chosen at the connect, so that it need only be free towards that peer.
    setOption(m_socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    // Without the address the connection still serves if the peer takes it.
    if (inet_pton(AF_INET, local.c_str(), &address.sin_addr) == 1)
        static_cast<void>(
            ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address));
}

void stream::addEvents(event_base *base)
{
    m_read.reset(event_new(base, m_socket, EV_READ | EV_PERSIST, &onReadable, this));
    m_write.reset(event_new(base, m_socket, EV_WRITE, &onWritable, this));
}

void stream::write(std::string_view bytes)
{
    if (m_ended || bytes.empty())
        return;
    if (unsentBytes() == 0) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0)
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        else if (sent < 0 && errno != EAGAIN && errno != EINTR)
            m_writeFailed = true;
        // A broken connection is reported by the read event, after what has arrived before.
        if (bytes.empty() || m_writeFailed)
            return;
    }
    // A reference, since a buffer that copies rounds its memory up to a power of two.
    auto waiting = std::make_unique<unsent_write>(unsent_write{this, std::string(bytes)});
    const std::string &kept = waiting->bytes;
    if (evbuffer_add_reference(m_unsent.get(), kept.data(), kept.size(), &releaseWrite,
                               waiting.get())
        == 0) {
        m_held += kept.size();
        static_cast<void>(waiting.release());
    }
    event_add(m_write.get(), nullptr);
}

void stream::releaseWrite(const void * /*bytes*/, std::size_t /*size*/, void *write)
{
    const std::unique_ptr<unsent_write> sent(static_cast<unsent_write *>(write));
    sent->owner->m_held -= sent->bytes.size();
}

void stream::finishWriting()
{
    m_finishing = true;
    if (unsentBytes() == 0)
        ::shutdown(m_socket, SHUT_WR);
}

std::size_t stream::unsentBytes() const
{
    return evbuffer_get_length(m_unsent.get());
}

bool stream::isQuiet() const
{
    char byte = 0;
    return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
        && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void stream::onReadable(int socket, short /*events*/, void *self)
{
    auto *owner = static_cast<stream *>(self);
    auto &buffer = readBuffer();
    const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (size > 0)
        owner->m_handlers.onBytes({buffer.data(), static_cast<std::size_t>(size)});
    else if (size == 0)
        owner->end(owner->m_writeFailed ? stream_end::Broken : stream_end::Closed);
    else if (errno != EAGAIN && errno != EINTR)
        owner->end(stream_end::Broken);
}

void stream::onWritable(int /*socket*/, short /*events*/, void *self)
{
    auto *owner = static_cast<stream *>(self);
    if (owner->m_connected)
        owner->flush();
    else
        owner->connected();
}

void stream::connected()
{
    int error = 0;
    socklen_t size = sizeof error;
    if (m_socket < 0 || getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        end(stream_end::ConnectFailed);
        return;
    }
    m_connected = true;
    event_add(m_read.get(), nullptr);
    if (m_handlers.onConnected)
        m_handlers.onConnected();
}

void stream::flush()
{
    const int sent = evbuffer_write(m_unsent.get(), m_socket);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        // The answer to a request that is not read whole may still wait to be read.
        m_writeFailed = true;
        const std::size_t dropped = unsentBytes();
        evbuffer_drain(m_unsent.get(), dropped);
        if (m_handlers.onSent)
            m_handlers.onSent(dropped);
        return;
    }
    if (unsentBytes() > 0)
        event_add(m_write.get(), nullptr);
    else if (m_finishing)
        ::shutdown(m_socket, SHUT_WR);
    if (sent > 0 && m_handlers.onSent)
        m_handlers.onSent(static_cast<std::size_t>(sent));
}

void stream::end(stream_end reason)
{
    if (m_ended)
        return;
    m_ended = true;
    event_del(m_read.get());
    event_del(m_write.get());
    // The callback may destroy this object, and the function with it.
    const auto report = m_handlers.onEnd;
    report(reason);
}

} // namespace waxwing::http
