#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "http/connection_account.h"
#include "http/message_parser.h"
#include "http/rejection.h"
#include "http/stream.h"
#include "loop/loop_clock.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <event2/listener.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace waxwing::http {

/// Limits of a `raw_server`.
struct raw_server_settings
{
    /// Address to listen on; port 0 lets the system choose.
    endpoint listen{"127.0.0.1", 0};
    /// Largest accepted messages.
    message_limits messages{};
    /// Time in which the header of a request must arrive once it has begun.
    std::chrono::milliseconds headerTimeout{5000};
    /// Time in which a request that has begun must arrive whole. Without it a body may take any
    /// time as long as bytes arrive.
    std::optional<std::chrono::milliseconds> arrivalTimeout{};
    /// Time without a byte after which a connection without a request is closed, and a request
    /// whose body does not arrive is given up.
    std::chrono::milliseconds idleTimeout{60000};
    /// Time after its header in which a body may be slower than `leastBodyRate`.
    std::chrono::milliseconds bodyGraceTime{20000};
    /// Rate at which a body arrives at least after that time, in bytes a second.
    double leastBodyRate = 500;
    /// Time without a byte taken after which a connection with an answer that waits is closed.
    std::chrono::milliseconds takeTimeout{30000};
    /// Time in which the rest of a rejected request is read, so that the peer sees the answer
    /// before its connection is reset.
    std::chrono::milliseconds lingerTime{1000};
    /// Connections that wait to be accepted.
    int backlog = 1024;
    /// Detection of peers that have gone.
    stream_settings connections{};

    bool operator==(const raw_server_settings &) const = default;
};

/// HTTP/1.1 server for requests that are passed on as they are.
///
/// One request at a time is handled on a connection; a request that follows early waits. A peer
/// that goes away while its request waits is reported.
class raw_server
{
public:
    /// Callbacks, called from the loop.
    struct callbacks
    {
        /// A whole request arrived; it is answered once by `respond`.
        std::function<void(request_id, raw_request)> onRequest;
        /// The peer of an unanswered request went away. `respond` does nothing for it any more.
        std::function<void(request_id)> onGone;
        /// A request that was not passed on is about to get `answer`, whose status is set; what it
        /// says can be added. May be empty.
        std::function<void(response &answer, const rejection &reason)> onRejected;
        /// A connection was closed with an answer that its peer did not take. May be empty.
        std::function<void(const rejection &reason)> onCut{};
        /// Whether a peer may send a request with a body; asked before the body is held. May be
        /// empty, then all may.
        std::function<bool(const endpoint &sender)> mayHaveBody{};
        /// The peer has taken most of a response that is sent in pieces. May be empty.
        std::function<void(request_id)> onTaken{};
    };

    /// Listens at once. `time` must outlive the server.
    static absl::StatusOr<std::unique_ptr<raw_server>> create(event_base *base, const clock &time,
                                                              const raw_server_settings &settings,
                                                              callbacks handlers);
    ~raw_server();

    /// Counts the bytes of connections that are accepted from now on, and ends the slowest requests
    /// and answers where the budget needs room. The budget must outlive the server.
    void limitMemory(const connection_memory &memory);
    /// Answers a request. With `close` the connection ends after the answer.
    void respond(request_id id, const response &answer, bool close = false);
    /// Begins a response of `length` bytes, or of an unknown length, whose body follows in pieces.
    /// Returns false, and ends the connection, if the peer cannot read it. `onGone` is called if
    /// the peer goes away before the end.
    bool beginResponse(request_id id, const response &start, std::optional<std::uint64_t> length);
    /// Sends a piece. Returns whether the peer takes more; else `onTaken` follows.
    bool continueResponse(request_id id, std::string_view bytes);
    /// Ends a response in pieces. One that is not whole ends its connection, so that it cannot be
    /// taken for a whole one.
    void endResponse(request_id id, bool isWhole);
    /// Tells the peer that its request is being processed, before the answer.
    void respondProcessing(request_id id);
    /// Whether the unanswered request is the first one on its connection.
    bool isFirstOnConnection(request_id id) const;
    /// Ends the connection of a request without an answer.
    void drop(request_id id);
    /// Changes the limits for requests that begin later.
    void setLimits(message_limits messages, std::chrono::milliseconds headerTimeout,
                   std::chrono::milliseconds idleTimeout);
    /// Closes every connection with its next answer.
    void closeAfterAnswers();
    /// Closes the listener and the connections that have no request. Requests that have begun to
    /// arrive are still handled, also those on connections that wait to be accepted. A connection
    /// that was just opened is kept for the time in which its first request may be on the way.
    void stopAccepting();
    /// Connections that may still carry a request. Those that have their last answer and wait for
    /// the peer to close do not count.
    std::size_t connections() const;
    /// Whether peers have not taken all that was written to them, or responses in pieces have not
    /// ended. What the system buffers does not
    /// count; it is sent after the process has ended, too.
    bool hasUnsentBytes() const;
    /// Takes read delays from the clock of the loop, which must outlive the server. Without it they
    /// are 0.
    void measureReadDelays(const loop_clock &loop) { m_loop = &loop; }
    /// Upper limit of the time since the unanswered request began to arrive: while the loop was
    /// busy, while the rest of it arrived, and while an earlier request of its connection was
    /// answered.
    duration readDelay(request_id id) const;
    /// The address that is bound, with the port that the system chose.
    endpoint localEndpoint() const { return m_local; }

private:
    struct connection;

    raw_server(event_base *base, const clock &time, const raw_server_settings &settings,
               callbacks handlers);
    static void onAccept(evconnlistener *listener, int socket, sockaddr *address, int size,
                         void *self);
    static void onSweep(int socket, short events, void *self);
    static void onAcceptFailure(evconnlistener *listener, void *self);
    void accept(int socket, const sockaddr *address);
    void closeListener();
    void onBytes(connection &peer, std::string_view bytes);
    /// Keeps bytes that follow a request in progress.
    void keepEarly(connection &peer, std::string_view bytes);
    void consume(connection &peer, std::string_view bytes, time_point arrival);
    void advance(connection &peer);
    /// Goes on after an answer: with the next request, or to the end of the connection.
    void proceed(connection &peer, bool keepAlive);
    connection *findWaiting(request_id id);
    void reject(connection &peer, int status, rejection_cause cause);
    /// Ends a connection whose peer does not take its answer.
    void cut(connection &peer);
    void linger(connection &peer);
    void onSent(connection &peer, std::size_t bytes);
    /// Counts what the peer has not taken. The connection may be gone afterwards.
    void countUnsent(connection &peer);
    /// Whether there is room for the request that is being read. The connection may be gone
    /// afterwards.
    bool hasRoom(connection &peer);
    void releaseRequests(std::size_t bytes);
    void releaseAnswers(std::size_t bytes);
    bool isTooSlow(const connection &peer, time_point now) const;
    void onEnd(std::uint64_t number);
    void close(std::uint64_t number);
    void sweep();
    bool isOverdue(const connection &peer, time_point now) const;

    event_base *m_base;
    const clock &m_time;
    raw_server_settings m_settings;
    connection_memory m_memory;
    /// When requests may be released again.
    time_point m_nextRequestRelease{};
    callbacks m_handlers;
    bool m_closing = false;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastRequest = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<connection>> m_connections;
    /// Connections by the request that they wait for.
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_waiting;
    evconnlistener *m_listener = nullptr;
    endpoint m_local;
    event_ptr m_sweepTimer;
    const loop_clock *m_loop = nullptr;
};

} // namespace waxwing::http
