#pragma once

#include "core/endpoint.h"
#include "http/event_ptr.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing::http {

/// How a connection ended.
enum class stream_end {
    /// The connection could not be opened; the peer received nothing.
    ConnectFailed,
    /// The peer closed its side after the bytes received so far.
    Closed,
    /// The connection broke, so bytes may be missing.
    Broken,
};

/// Options of a TCP connection that find out about a peer that has gone without a word.
struct stream_settings
{
    /// Time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledgedTimeout{3000};
    /// Idle time before the first keep-alive probe, and between two probes.
    std::chrono::seconds probeInterval{1};
    /// Unanswered probes after which the connection counts as broken.
    int probes = 3;

    bool operator==(const stream_settings &) const = default;
};

/// One TCP connection on a libevent loop.
///
/// Writes go to the socket at once and only what it does not take is buffered: a bufferevent would
/// wait for the loop to report the socket as writable, which costs three further system calls for
/// each message.
class stream
{
public:
    /// Callbacks; `onBytes` and `onEnd` may destroy the stream.
    struct callbacks
    {
        /// Bytes arrived.
        std::function<void(std::string_view)> onBytes;
        /// The connection ended; called once.
        std::function<void(stream_end)> onEnd;
        /// The connection was opened. May be empty.
        std::function<void()> onConnected;
        /// The peer took bytes that had to wait. May be empty.
        std::function<void(std::size_t)> onSent{};
    };

    /// Takes over an accepted socket.
    stream(event_base *base, int socket, const stream_settings &settings, callbacks handlers);
    /// Begins to connect to `peer`, from `local` if that is set. Failures are reported through
    /// `onEnd`, never from here.
    stream(event_base *base, const endpoint &peer, const std::optional<std::string> &local,
           const stream_settings &settings, callbacks handlers);
    ~stream();
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;

    /// Sends bytes, after the connection was opened.
    void write(std::string_view bytes);
    /// Reads what has arrived, as when the loop reports the socket as readable.
    void readNow() { onReadable(m_socket, 0, this); }
    /// Reads nothing from now on, so that the peer has to wait; its end is not noticed either.
    void pauseReading() { event_del(m_read.get()); }
    /// Reads again.
    void resumeReading() { event_add(m_read.get(), nullptr); }
    /// Sends the end of the stream once everything is written, and reads on.
    void finishWriting();
    /// Closes the socket without reporting an end.
    void shut();
    /// Bytes that the socket has not taken yet.
    std::size_t unsentBytes() const;
    /// Memory that they take, with what was sent of the oldest write.
    std::size_t heldBytes() const { return m_held; }
    /// Whether nothing has arrived that was not read yet, the end of the stream included.
    bool isQuiet() const;
    /// Whether the connection is open.
    bool isConnected() const { return m_connected; }

private:
    /// Bytes of one write that the socket has not taken.
    struct unsent_write;

    static void onReadable(int socket, short events, void *self);
    static void onWritable(int socket, short events, void *self);
    static void releaseWrite(const void *bytes, std::size_t size, void *write);
    void setOptions(const stream_settings &settings) const;
    void bindTo(const std::string &local) const;
    void addEvents(event_base *base);
    void connected();
    void flush();
    void end(stream_end reason);

    int m_socket;
    callbacks m_handlers;
    event_ptr m_read;
    event_ptr m_write;
    /// Memory of the writes in `m_unsent`.
    std::size_t m_held = 0;
    evbuffer_ptr m_unsent;
    bool m_connected = false;
    bool m_finishing = false;
    /// Whether a write failed, so that an end of the stream may have cut what was read.
    bool m_writeFailed = false;
    bool m_ended = false;
};

} // namespace waxwing::http
