#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "http/message_parser.h"
#include "http/stream.h"
#include "memory_budget/memory_budget.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing::http {

/// Why a call got no response.
enum class call_failure {
    /// The connection could not be opened in time; the peer received nothing.
    ConnectFailed,
    /// The deadline of the call passed before it was written; the peer received nothing.
    DeadlinePassed,
    /// A new connection was reset sooner than the peer can have worked on the request, as by a peer
    /// that has no room for further connections. It may have received the request all the same.
    NotAccepted,
    /// The connection ended without a whole response; the peer may have received the request.
    ConnectionLost,
    /// What came is not an HTTP response; the peer may have received the request.
    Malformed,
    /// There was no room for the bytes of the response; the peer received the request.
    NoRoom,
};

/// Limits of a `client_pool`.
struct client_pool_settings
{
    /// Largest accepted responses.
    message_limits messages{};
    /// Time to open a connection.
    std::chrono::milliseconds connectTimeout{400};
    /// Idle time after which a connection is closed if the peer states none.
    std::chrono::milliseconds idleTimeout{4000};
    /// Time before the end of the idle time that a peer states from which a connection is not
    /// used, so that a request does not cross its close.
    std::chrono::milliseconds idleMargin{700};
    /// Time beyond the way to the peer and back in which a reset of a new connection means that the
    /// peer did not accept it; shorter than the shortest work of a server.
    std::chrono::microseconds acceptMargin{1000};
    /// Interim responses, and responses to earlier calls, that are dropped before the response to a
    /// call. After more of them the call fails; a faulty peer may send them without end.
    std::uint32_t maxDroppedResponses = 8;
    /// Time without a byte after which a response that is passed on in pieces is given up. The
    /// deadline of its call is over by then.
    std::chrono::milliseconds streamTimeout{10000};
    /// Address from which connections are opened; empty lets the system choose.
    std::optional<std::string> localAddress{};
    /// Detection of peers that have gone.
    stream_settings connections{};

    bool operator==(const client_pool_settings &) const = default;
};

/// Deadline of a call that the peer is told.
struct call_deadline
{
    /// The call is not written at this time or later.
    time_point at{};
    /// Header field that gets the time left when the call is written, in milliseconds.
    std::string field;

    bool operator==(const call_deadline &) const = default;
};

/// One request to be sent.
struct call
{
    /// Number of the call.
    attempt_id id;
    /// Peer.
    endpoint peer;
    /// Bytes of the request.
    std::string bytes;
    /// Whether the request has the method `HEAD`.
    bool isHead = false;
    /// Header field whose value the response must repeat if it has the field; a response with
    /// another value belongs to an earlier request and is dropped. Empty for none.
    std::string echoField;
    /// Value of the field. Empty if the request has none.
    std::string echoValue;
    /// Empty for a call that is not limited.
    std::optional<call_deadline> deadline{};
    /// Whether the response may come in pieces, if there are observers for them.
    bool mayStream = false;

    bool operator==(const call &) const = default;
};

/// Why it is not certain that a response answers the call in progress on its connection.
enum class response_doubt {
    /// It repeats the value of another call and is dropped.
    OtherValue,
    /// It has no value, and the connection carried an earlier call.
    NoValue,
};

/// Observers of responses that are larger than the limit and come in pieces.
struct response_stream_observer
{
    /// A final response began; its body holds what has come of it. Returns whether the rest is
    /// wanted; otherwise the call fails as malformed.
    std::function<bool(const call &, raw_response, std::optional<std::uint64_t> length)> onBegin;
    /// More of the body came.
    std::function<void(attempt_id, std::string)> onBody;
    /// The response ended, whole unless there is a failure. Takes the place of `callback`.
    std::function<void(attempt_id, std::optional<call_failure>)> onEnd;
};

/// HTTP/1.1 calls over kept connections, one call at a time on each.
///
/// A connection on which anything unexpected came is not used again. No two calls with the same
/// echo value use the same connection, since a late copy of the response to the first would be
/// taken for the response to the second.
class client_pool
{
public:
    /// What a call ended with.
    using outcome = std::variant<raw_response, call_failure>;
    /// Called once for each call that is not cancelled, never from within `send`.
    using callback = std::function<void(attempt_id, outcome)>;
    /// Called for each connection that was opened to a peer.
    using connect_observer = std::function<void(const endpoint &)>;
    /// Called when a call is written on a connection that had to be opened for it, with the time
    /// since `send`.
    using write_observer = std::function<void(const call &, duration)>;
    /// Called for each final response to a call with an echo field that is in doubt.
    using doubt_observer = std::function<void(const call &, const raw_response &, response_doubt)>;

    /// `time` must outlive the pool. `onConnect` may be empty.
    client_pool(event_base *base, const clock &time, client_pool_settings settings, callback onDone,
                connect_observer onConnect);
    ~client_pool();

    /// Called when an interim response to a call came.
    using interim_observer = std::function<void(attempt_id)>;

    /// Counts the bytes of calls and responses as `use`. The budget must outlive the pool.
    void limitMemory(memory_budget &budget, memory_use use);
    /// Sets an observer of interim responses; none at first.
    void observeInterim(interim_observer onInterim) { m_onInterim = std::move(onInterim); }
    /// Sets an observer of writes; none at first.
    void observeWrites(write_observer onWritten) { m_onWritten = std::move(onWritten); }
    /// Sets an observer of responses that are in doubt; none at first.
    void observeDoubts(doubt_observer onDoubt) { m_onDoubt = std::move(onDoubt); }
    /// Sets the observers of responses in pieces; without them they fail as malformed.
    void observeStreams(response_stream_observer observer) { m_streams = std::move(observer); }
    /// Stops or continues reading the response to a call.
    void pause(attempt_id id);
    void resume(attempt_id id);
    /// Sends a request on the connection that was used last, or on a new one. If all idle
    /// connections have carried its echo value, the new one replaces one of them.
    void send(call request);
    /// Ends a call by closing its connection. Its callback is not called.
    void cancel(attempt_id id);
    /// Whether the call was written, so that the peer may have its request.
    bool isSent(attempt_id id) const;
    /// Closes the idle connections to a peer, and the others after their calls.
    void forget(const endpoint &peer);
    /// Open connections to `peer`, those that are being opened included.
    std::size_t connections(const endpoint &peer) const;

private:
    struct connection;
    using connection_list = std::vector<std::unique_ptr<connection>>;

    static void onSweep(int socket, short events, void *self);
    /// Whether an idle connection may carry a call, or may not because it carried its echo value.
    enum class history_kind { New, Repeated };
    /// The idle connection to the peer of `request` that was used last among those of `history`.
    connection *findIdle(const call &request, history_kind history);
    connection &open(const endpoint &peer);
    void begin(connection &target, call request);
    void onConnected(connection &target);
    void restartParser(connection &target) const;
    void writeCall(connection &target);
    void onBytes(connection &target, std::string_view bytes);
    void onEnd(connection &target, stream_end reason);
    std::optional<response_doubt> doubtOf(const connection &target,
                                          const header_list &fields) const;
    void complete(connection &target, std::string_view rest);
    void finish(connection &target, outcome result, bool reusable);
    /// Passes on what has come of a large response. False if the call has ended.
    bool streamBody(connection &target);
    void beginStream(connection &target);
    /// Whether there is room for what has come of the response. The call may have ended afterwards.
    bool hasRoom(connection &target) const;
    call_failure lossOf(const connection &target) const;
    static call_failure failureToWrite(const connection &target, time_point now);
    void close(connection &target);
    void sweep();
    std::chrono::milliseconds idleTimeOf(const raw_response &response) const;

    event_base *m_base;
    const clock &m_time;
    client_pool_settings m_settings;
    memory_budget *m_memory = nullptr;
    memory_use m_use = memory_use::Servers;
    callback m_onDone;
    connect_observer m_onConnect;
    write_observer m_onWritten;
    interim_observer m_onInterim;
    doubt_observer m_onDoubt;
    response_stream_observer m_streams;
    std::map<endpoint, connection_list> m_peers;
    absl::flat_hash_map<std::uint64_t, connection *> m_calls;
    /// Closed connections, destroyed outside of their own callbacks.
    connection_list m_closed;
    event_ptr m_sweepTimer;
};

} // namespace waxwing::http
