#include "http/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace waxwing::http {
namespace {

/// Interval at which connections that are past their limits are looked for.
constexpr timeval sweepInterval{0, 250'000};
/// Bytes of early requests that are kept while another one is handled.
constexpr std::size_t earlyBytes = std::size_t{512} * 1024;
/// Time after the opening of a connection in which its first request may be on the way, at a stop.
/// Several round trips between regions.
constexpr std::chrono::milliseconds firstRequestTime{200};

int statusOf(parse_problem problem)
{
    switch (problem) {
    case parse_problem::HeaderTooLarge:
        return 431;
    case parse_problem::BodyTooLarge:
        return 413;
    case parse_problem::UnknownMethod:
        return 501;
    case parse_problem::None:
    case parse_problem::Malformed:
        break;
    }
    return 400;
}

endpoint boundEndpoint(evconnlistener *listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr *>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

} // namespace

/// Connection of a caller.
struct raw_server::connection
{
    /// What happens on it.
    enum class step_kind {
        /// Waits for a request, or reads one.
        Reading,
        /// Waits for the answer to `request`.
        Answering,
        /// Has its last answer and drops what still arrives.
        Lingering,
    };

    connection(std::uint64_t id, const message_limits &limits, time_point now)
        : number(id), parser(message_parser::message_kind::Request, limits), lastByte(now)
    { }

    std::uint64_t number;
    step_kind step = step_kind::Reading;
    message_parser parser;
    /// Bytes that came after the current request.
    std::string early;
    /// When the first of them may have arrived.
    time_point earlyArrival;
    /// Whether `consume` is at work and takes `early` itself.
    bool consuming = false;
    request_id request;
    /// Requests that arrived whole.
    std::uint64_t requests = 0;
    /// When the first byte of the current request may have arrived.
    time_point arrival;
    bool keepAlive = true;
    bool isHead = false;
    bool continueSent = false;
    time_point lastByte;
    /// When the current request began; meaningful while the parser has begun.
    time_point requestBegan;
    std::unique_ptr<stream> transport;
};

absl::StatusOr<std::unique_ptr<raw_server>> raw_server::create(event_base *base, const clock &time,
                                                               const raw_server_settings &settings,
                                                               callbacks handlers)
{
    std::unique_ptr<raw_server> result(new raw_server(base, time, settings, std::move(handlers)));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.listen.port);
    if (inet_pton(AF_INET, settings.listen.address.c_str(), &address.sin_addr) != 1)
        return absl::InvalidArgumentError("not an address: " + settings.listen.address);
    result->m_listener = evconnlistener_new_bind(
        base, &onAccept, result.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, settings.backlog,
        reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (result->m_listener == nullptr) {
        return absl::UnavailableError("cannot listen on " + settings.listen.toString() + ": "
                                      + std::strerror(errno));
    }
    evconnlistener_set_error_cb(result->m_listener, &onAcceptFailure);
    result->m_local = boundEndpoint(result->m_listener);
    result->m_sweepTimer.reset(event_new(base, -1, EV_PERSIST, &onSweep, result.get()));
    event_add(result->m_sweepTimer.get(), &sweepInterval);
    return result;
}

raw_server::raw_server(event_base *base, const clock &time, const raw_server_settings &settings,
                       callbacks handlers)
    : m_base(base), m_time(time), m_settings(settings), m_handlers(std::move(handlers))
{ }

raw_server::~raw_server()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

void raw_server::setLimits(message_limits messages, std::chrono::milliseconds headerTimeout,
                           std::chrono::milliseconds idleTimeout)
{
    m_settings.messages = messages;
    m_settings.headerTimeout = headerTimeout;
    m_settings.idleTimeout = idleTimeout;
}

void raw_server::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                          int /*size*/, void *self)
{
    static_cast<raw_server *>(self)->accept(socket);
}

void raw_server::onAcceptFailure(evconnlistener *listener, void * /*self*/)
{
    // The descriptor table is full. The connection still waits, so the loop would try again without
    // end; the next sweep does.
    evconnlistener_disable(listener);
}

void raw_server::closeListener()
{
    evconnlistener_disable(m_listener);
    const int listener = evconnlistener_get_fd(m_listener);
    std::vector<int> waiting;
    waiting.reserve(static_cast<std::size_t>(m_settings.backlog));
    for (int i = 0; i < m_settings.backlog; ++i) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        waiting.push_back(socket);
    }
    // The system resets connections that wait to be accepted when the listener closes. The less
    // happens between, the fewer are opened meanwhile.
    evconnlistener_free(std::exchange(m_listener, nullptr));
    for (const int socket : waiting)
        accept(socket);
}

void raw_server::accept(int socket)
{
    const std::uint64_t number = ++m_lastConnection;
    auto peer = std::make_unique<connection>(number, m_settings.messages, m_time.now());
    connection *reader = peer.get();
    peer->transport = std::make_unique<stream>(
        m_base, socket, m_settings.connections,
        stream::callbacks{[this, reader](std::string_view bytes) { onBytes(*reader, bytes); },
                          [this, number](stream_end /*reason*/) { onEnd(number); },
                          {}});
    m_connections.emplace(number, std::move(peer));
    // A later pass of the loop would not know that the first request waited as long as its
    // connection.
    if (m_loop != nullptr)
        reader->transport->readNow();
}

void raw_server::onBytes(connection &peer, std::string_view bytes)
{
    const time_point now = m_time.now();
    const time_point arrival = m_loop == nullptr ? now : now - m_loop->longestWait(now);
    peer.lastByte = now;
    if (peer.step == connection::step_kind::Lingering)
        return;
    if (peer.step == connection::step_kind::Answering) {
        if (peer.early.empty())
            peer.earlyArrival = arrival;
        if (peer.early.size() + bytes.size() <= earlyBytes)
            peer.early.append(bytes);
        else
            close(peer.number);
        return;
    }
    consume(peer, bytes, arrival);
}

void raw_server::consume(connection &peer, std::string_view bytes, time_point arrival)
{
    const std::uint64_t number = peer.number;
    std::string early;
    // A loop, because early requests that are answered at once would make a deep recursion.
    for (;;) {
        if (!peer.parser.hasBegun()) {
            peer.requestBegan = peer.lastByte;
            peer.arrival = arrival;
            peer.parser.setLimits(m_settings.messages);
        }
        const std::size_t used = peer.parser.read(bytes);
        if (peer.parser.isComplete()) {
            peer.early.assign(bytes.substr(used));
            peer.earlyArrival = arrival;
        }
        peer.consuming = true;
        advance(peer);
        if (!m_connections.contains(number))
            return;
        peer.consuming = false;
        if (peer.step != connection::step_kind::Reading || peer.early.empty())
            return;
        early = std::exchange(peer.early, {});
        bytes = early;
        arrival = peer.earlyArrival;
    }
}

void raw_server::advance(connection &peer)
{
    if (peer.parser.problem() != parse_problem::None) {
        reject(peer, statusOf(peer.parser.problem()));
        return;
    }
    if (!peer.continueSent && peer.parser.expectsContinue()) {
        peer.continueSent = true;
        peer.transport->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!peer.parser.isComplete())
        return;
    peer.step = connection::step_kind::Answering;
    peer.request = {++m_lastRequest};
    ++peer.requests;
    raw_request message = peer.parser.takeRequest();
    peer.keepAlive = message.keepAlive;
    peer.isHead = message.method == "HEAD";
    m_waiting.emplace(peer.request.value, peer.number);
    m_handlers.onRequest(peer.request, std::move(message));
}

void raw_server::reject(connection &peer, int status)
{
    response answer{status, {}, {}};
    if (m_handlers.onRejected)
        m_handlers.onRejected(answer);
    peer.transport->write(formatResponse(answer, false, false));
    linger(peer);
}

void raw_server::linger(connection &peer)
{
    peer.step = connection::step_kind::Lingering;
    peer.lastByte = m_time.now();
    peer.requestBegan = peer.lastByte;
    peer.transport->finishWriting();
}

void raw_server::respond(request_id id, const response &answer, bool close)
{
    const auto waiting = m_waiting.find(id.value);
    if (waiting == m_waiting.end())
        return;
    connection &peer = *m_connections.at(waiting->second);
    m_waiting.erase(waiting);
    const bool keepAlive = peer.keepAlive && !close && !m_closing;
    peer.transport->write(formatResponse(answer, keepAlive, peer.isHead));
    if (!keepAlive) {
        linger(peer);
        return;
    }
    peer.step = connection::step_kind::Reading;
    peer.continueSent = false;
    peer.parser.setLimits(m_settings.messages);
    peer.parser.restart();
    peer.lastByte = m_time.now();
    if (!peer.consuming && !peer.early.empty())
        consume(peer, std::exchange(peer.early, {}), peer.earlyArrival);
}

void raw_server::respondProcessing(request_id id)
{
    const auto waiting = m_waiting.find(id.value);
    if (waiting != m_waiting.end())
        m_connections.at(waiting->second)->transport->write("HTTP/1.1 102 Processing\r\n\r\n");
}

bool raw_server::isFirstOnConnection(request_id id) const
{
    const auto waiting = m_waiting.find(id.value);
    return waiting != m_waiting.end() && m_connections.at(waiting->second)->requests == 1;
}

void raw_server::drop(request_id id)
{
    const auto waiting = m_waiting.find(id.value);
    if (waiting != m_waiting.end())
        close(waiting->second);
}

void raw_server::onEnd(std::uint64_t number)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end())
        return;
    const bool answering = found->second->step == connection::step_kind::Answering;
    const request_id request = found->second->request;
    close(number);
    if (answering)
        m_handlers.onGone(request);
}

void raw_server::close(std::uint64_t number)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end())
        return;
    if (found->second->step == connection::step_kind::Answering)
        m_waiting.erase(found->second->request.value);
    m_connections.erase(found);
}

std::size_t raw_server::connections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) {
            return entry.second->step != connection::step_kind::Lingering;
        }));
}

bool raw_server::hasUnsentBytes() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second->transport->unsentBytes() > 0;
    });
}

void raw_server::closeAfterAnswers()
{
    m_closing = true;
}

void raw_server::stopAccepting()
{
    m_closing = true;
    if (m_listener != nullptr)
        closeListener();
    sweep();
}

duration raw_server::readDelay(request_id id) const
{
    const auto waiting = m_waiting.find(id.value);
    if (m_loop == nullptr || waiting == m_waiting.end())
        return duration(0);
    return m_time.now() - m_connections.at(waiting->second)->arrival;
}

void raw_server::onSweep(int /*socket*/, short /*events*/, void *self)
{
    static_cast<raw_server *>(self)->sweep();
}

bool raw_server::isOverdue(const connection &peer, time_point now) const
{
    switch (peer.step) {
    case connection::step_kind::Answering:
        return false;
    case connection::step_kind::Lingering:
        return now - peer.requestBegan > m_settings.lingerTime
            && (peer.transport->unsentBytes() == 0
                || now - peer.requestBegan > m_settings.idleTimeout);
    case connection::step_kind::Reading:
        break;
    }
    if (!peer.parser.hasBegun()) {
        const bool isNew = peer.requests == 0 && now - peer.lastByte <= firstRequestTime;
        const bool isIdle = peer.transport->unsentBytes() == 0 && peer.transport->isQuiet();
        return (m_listener == nullptr && !isNew && isIdle)
            || now - peer.lastByte > m_settings.idleTimeout;
    }
    if (m_settings.arrivalTimeout && now - peer.requestBegan > *m_settings.arrivalTimeout)
        return true;
    if (!peer.parser.hasHeader())
        return now - peer.requestBegan > m_settings.headerTimeout;
    return now - peer.lastByte > m_settings.idleTimeout;
}

void raw_server::sweep()
{
    const time_point now = m_time.now();
    // Does nothing unless accepting has failed.
    if (m_listener != nullptr)
        evconnlistener_enable(m_listener);
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, peer] : m_connections) {
        if (isOverdue(*peer, now))
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue) {
        connection &peer = *m_connections.at(number);
        const bool incomplete =
            peer.step == connection::step_kind::Reading && peer.parser.hasBegun();
        if (incomplete) {
            constexpr int requestTimeout = 408;
            reject(peer, requestTimeout);
        } else {
            close(number);
        }
    }
}

} // namespace waxwing::http
