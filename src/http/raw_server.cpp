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
/// Bytes of a response in pieces that wait for the peer at most before the next piece.
constexpr std::size_t mostUnsentPieces = std::size_t{256} * 1024;
/// Time for which nobody is looked for again after nobody was found who could be ended, so that a
/// full server does not search all its connections for each request that it refuses.
constexpr std::chrono::milliseconds releasePause{10};
/// Part of the budget that is released at a time, so that room for the next senders is there.
constexpr std::size_t releasesPerBudget = 64;
/// Least number of such parts that senders hold together.
constexpr std::size_t releasesPerSenders = 8;
/// Time after the opening of a connection in which its first request may be on the way, at a stop.
/// Several round trips between regions.
constexpr std::chrono::milliseconds firstRequestTime{200};

constexpr int requestTimeout = 408;
constexpr int forbidden = 403;
constexpr int unavailable = 503;

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

endpoint toEndpoint(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

endpoint boundEndpoint(evconnlistener *listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr *>(&address), &size);
    return toEndpoint(address);
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

    connection(std::uint64_t id, endpoint address, const message_limits &limits,
               const connection_memory &memory, time_point now)
        : number(id), sender(std::move(address)), account(memory),
          parser(message_parser::message_kind::Request, limits), lastByte(now)
    { }

    std::uint64_t number;
    endpoint sender;
    connection_account account;
    /// Memory of the request that waits for its answer.
    std::size_t requestBytes = 0;
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
    /// Whether the current request may have the body that it announces.
    bool mayHaveBody = false;
    /// Whether there was no room for what followed the current request.
    bool ignoresInput = false;
    /// Whether the answer is sent in pieces, and as chunks.
    bool isStreaming = false;
    bool isChunked = false;
    /// Whether it waits until the peer has taken most of what was sent.
    bool isFull = false;
    time_point lastByte;
    /// When the header of the current request was whole; meaningful while its body is read.
    time_point headerEnded;
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

void raw_server::limitMemory(const connection_memory &memory)
{
    m_memory = memory;
    memory_budget &budget = *memory.budget;
    budget.addReclaimer(memory.received, [this](std::size_t bytes) { releaseRequests(bytes); });
    budget.addReclaimer(memory.unsent, [this](std::size_t bytes) { releaseAnswers(bytes); });
}

void raw_server::onAccept(evconnlistener * /*listener*/, int socket, sockaddr *address,
                          int /*size*/, void *self)
{
    static_cast<raw_server *>(self)->accept(socket, address);
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
    std::vector<std::pair<int, sockaddr_in>> waiting;
    waiting.reserve(static_cast<std::size_t>(m_settings.backlog));
    for (int i = 0; i < m_settings.backlog; ++i) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int socket = accept4(listener, reinterpret_cast<sockaddr *>(&address), &size,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        waiting.emplace_back(socket, address);
    }
    // The system resets connections that wait to be accepted when the listener closes. The less
    // happens between, the fewer are opened meanwhile.
    evconnlistener_free(std::exchange(m_listener, nullptr));
    for (const auto &[socket, address] : waiting)
        accept(socket, reinterpret_cast<const sockaddr *>(&address));
}

void raw_server::accept(int socket, const sockaddr *address)
{
    const std::uint64_t number = ++m_lastConnection;
    auto peer = std::make_unique<connection>(
        number, toEndpoint(*reinterpret_cast<const sockaddr_in *>(address)), m_settings.messages,
        m_memory, m_time.now());
    connection *reader = peer.get();
    peer->transport = std::make_unique<stream>(
        m_base, socket, m_settings.connections,
        stream::callbacks{[this, reader](std::string_view bytes) { onBytes(*reader, bytes); },
                          [this, number](stream_end /*reason*/) { onEnd(number); },
                          {},
                          [this, reader](std::size_t bytes) { onSent(*reader, bytes); }});
    m_connections.emplace(number, std::move(peer));
    if (!reader->account.open()) {
        reject(*reader, unavailable, rejection_cause::NoRoom);
        return;
    }
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
    peer.account.onReceived(bytes.size(), now);
    if (peer.step == connection::step_kind::Lingering)
        return;
    if (peer.step == connection::step_kind::Answering) {
        if (peer.early.empty())
            peer.earlyArrival = arrival;
        if (!peer.ignoresInput)
            keepEarly(peer, bytes);
        return;
    }
    consume(peer, bytes, arrival);
}

void raw_server::keepEarly(connection &peer, std::string_view bytes)
{
    const std::uint64_t number = peer.number;
    const std::size_t early = peer.early.size() + bytes.size();
    const bool hasRoom = early <= earlyBytes && peer.account.hold(peer.requestBytes + 2 * early);
    if (!m_connections.contains(number))
        return;
    if (hasRoom) {
        peer.early.append(bytes);
        return;
    }
    // The request in progress is answered; that its connection ends then says that the following
    // ones were not read.
    peer.ignoresInput = true;
    peer.keepAlive = false;
    std::string().swap(peer.early);
    peer.account.release(peer.requestBytes);
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
            peer.mayHaveBody = !m_handlers.mayHaveBody;
            peer.parser.setLimits(m_settings.messages);
        }
        const bool hadHeader = peer.parser.hasHeader();
        const std::size_t used = peer.parser.read(bytes);
        if (!hadHeader)
            peer.headerEnded = peer.lastByte;
        if (peer.parser.isComplete()) {
            peer.early.assign(bytes.substr(used));
            peer.earlyArrival = arrival;
        }
        peer.consuming = true;
        if (hasRoom(peer))
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
        reject(peer, statusOf(peer.parser.problem()), rejection_cause::Unreadable);
        return;
    }
    if (!peer.mayHaveBody && peer.parser.announcesBody()) {
        if (!m_handlers.mayHaveBody(peer.sender)) {
            reject(peer, forbidden, rejection_cause::Stranger);
            return;
        }
        peer.mayHaveBody = true;
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
    peer.requestBytes = peer.parser.heldBytes();
    raw_request message = peer.parser.takeRequest();
    peer.keepAlive = message.keepAlive;
    peer.isHead = message.method == "HEAD";
    m_waiting.emplace(peer.request.value, peer.number);
    m_handlers.onRequest(peer.request, std::move(message));
}

bool raw_server::hasRoom(connection &peer)
{
    const std::uint64_t number = peer.number;
    const bool hasRoom = peer.account.hold(peer.parser.heldBytes() + 2 * peer.early.size());
    // The connection itself may have been chosen to make room.
    if (!m_connections.contains(number) || peer.step != connection::step_kind::Reading)
        return false;
    if (!hasRoom)
        reject(peer, unavailable, rejection_cause::NoRoom);
    return hasRoom;
}

void raw_server::releaseRequests(std::size_t bytes)
{
    const time_point now = m_time.now();
    if (now < m_nextRequestRelease)
        return;
    std::vector<eviction_candidate> senders;
    std::size_t held = 0;
    for (const auto &[number, peer] : m_connections) {
        if (peer->step != connection::step_kind::Reading || !peer->parser.hasBegun())
            continue;
        senders.push_back(peer->account.asSender(number, now));
        held += senders.back().held;
    }
    if (senders.empty())
        m_nextRequestRelease = now + releasePause;
    // Where requests in progress hold most of the budget, a whole batch would be all who send.
    const std::size_t batch =
        std::min(m_memory.budget->settings().bytes / releasesPerBudget, held / releasesPerSenders);
    for (const std::uint64_t number : chooseEvictions(std::move(senders), std::max(bytes, batch))) {
        if (const auto found = m_connections.find(number); found != m_connections.end())
            reject(*found->second, unavailable, rejection_cause::NoRoom);
    }
}

void raw_server::releaseAnswers(std::size_t bytes)
{
    const time_point now = m_time.now();
    std::vector<eviction_candidate> readers;
    for (const auto &[number, peer] : m_connections) {
        if (peer->account.unsent() > 0)
            readers.push_back(peer->account.asReader(number, now));
    }
    for (const std::uint64_t number : chooseEvictions(std::move(readers), bytes)) {
        if (const auto found = m_connections.find(number); found != m_connections.end())
            cut(*found->second);
    }
}

void raw_server::countUnsent(connection &peer)
{
    const std::uint64_t number = peer.number;
    if (!peer.account.holdUnsent(peer.transport->heldBytes(), m_time.now())
        && m_connections.contains(number))
        cut(peer);
}

void raw_server::cut(connection &peer)
{
    if (m_handlers.onCut) {
        const eviction_candidate reader = peer.account.asReader(peer.number, m_time.now());
        m_handlers.onCut({rejection_cause::Untaken, peer.sender, reader.held, reader.rate});
    }
    onEnd(peer.number);
}

void raw_server::reject(connection &peer, int status, rejection_cause cause)
{
    response answer{status, {}, {}};
    if (m_handlers.onRejected) {
        const eviction_candidate sender = peer.account.asSender(peer.number, m_time.now());
        m_handlers.onRejected(answer, {cause, peer.sender, sender.held, sender.rate});
    }
    peer.transport->write(formatResponse(answer, false, false));
    peer.parser.restart();
    std::string().swap(peer.early);
    peer.account.release(0);
    linger(peer);
    countUnsent(peer);
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
    proceed(peer, keepAlive);
}

void raw_server::proceed(connection &peer, bool keepAlive)
{
    peer.requestBytes = 0;
    peer.account.release(2 * peer.early.size());
    if (!keepAlive) {
        linger(peer);
        countUnsent(peer);
        return;
    }
    peer.step = connection::step_kind::Reading;
    peer.continueSent = false;
    peer.parser.setLimits(m_settings.messages);
    peer.parser.restart();
    peer.lastByte = m_time.now();
    const std::uint64_t number = peer.number;
    countUnsent(peer);
    if (m_connections.contains(number) && !peer.consuming && !peer.early.empty())
        consume(peer, std::exchange(peer.early, {}), peer.earlyArrival);
}

raw_server::connection *raw_server::findWaiting(request_id id)
{
    const auto waiting = m_waiting.find(id.value);
    return waiting == m_waiting.end() ? nullptr : m_connections.at(waiting->second).get();
}

bool raw_server::beginResponse(request_id id, const response &start,
                               std::optional<std::uint64_t> length)
{
    connection *peer = findWaiting(id);
    if (peer == nullptr)
        return false;
    if (!length.has_value() && !peer->parser.understandsChunks()) {
        m_waiting.erase(id.value);
        peer->step = connection::step_kind::Lingering;
        close(peer->number);
        return false;
    }
    peer->isStreaming = true;
    peer->isChunked = !length.has_value();
    peer->isFull = false;
    peer->keepAlive = peer->keepAlive && !m_closing;
    peer->transport->write(formatResponseHead(start, length, peer->keepAlive));
    return true;
}

bool raw_server::continueResponse(request_id id, std::string_view bytes)
{
    connection *peer = findWaiting(id);
    if (peer == nullptr || !peer->isStreaming)
        return false;
    if (bytes.empty())
        return true;
    if (peer->isChunked)
        peer->transport->write(formatChunk(bytes));
    else
        peer->transport->write(bytes);
    peer->isFull = peer->transport->unsentBytes() > mostUnsentPieces;
    const bool isFull = peer->isFull;
    countUnsent(*peer);
    return !isFull;
}

void raw_server::endResponse(request_id id, bool isWhole)
{
    connection *peer = findWaiting(id);
    if (peer == nullptr || !peer->isStreaming)
        return;
    m_waiting.erase(id.value);
    peer->isStreaming = false;
    if (!isWhole) {
        // Not answering any more, so that nobody is told of the close.
        peer->step = connection::step_kind::Lingering;
        close(peer->number);
        return;
    }
    if (peer->isChunked)
        peer->transport->write(formatChunk({}));
    proceed(*peer, peer->keepAlive && !m_closing);
}

void raw_server::onSent(connection &peer, std::size_t bytes)
{
    peer.account.onSent(bytes, peer.transport->heldBytes(), m_time.now());
    if (!peer.isFull || peer.transport->unsentBytes() > mostUnsentPieces / 4)
        return;
    peer.isFull = false;
    if (m_handlers.onTaken)
        m_handlers.onTaken(peer.request);
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
        return entry.second->isStreaming || entry.second->transport->unsentBytes() > 0;
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
        return peer.isStreaming && peer.transport->unsentBytes() > 0
            && now - peer.account.lastTaken() > m_settings.takeTimeout;
    case connection::step_kind::Lingering:
        return now - peer.requestBegan > m_settings.lingerTime
            && (peer.transport->unsentBytes() == 0
                || now - peer.requestBegan > m_settings.idleTimeout);
    case connection::step_kind::Reading:
        break;
    }
    if (!peer.parser.hasBegun()) {
        if (peer.transport->unsentBytes() > 0)
            return now - peer.account.lastTaken() > m_settings.takeTimeout;
        const bool isNew = peer.requests == 0 && now - peer.lastByte <= firstRequestTime;
        const bool isIdle = peer.transport->isQuiet();
        return (m_listener == nullptr && !isNew && isIdle)
            || now - peer.lastByte > m_settings.idleTimeout;
    }
    if (m_settings.arrivalTimeout && now - peer.requestBegan > *m_settings.arrivalTimeout)
        return true;
    if (!peer.parser.hasHeader())
        return now - peer.requestBegan > m_settings.headerTimeout;
    return now - peer.lastByte > m_settings.idleTimeout || isTooSlow(peer, now);
}

bool raw_server::isTooSlow(const connection &peer, time_point now) const
{
    const std::chrono::duration<double> late =
        now - peer.headerEnded - duration(m_settings.bodyGraceTime);
    return static_cast<double>(peer.parser.bodyBytes()) < late.count() * m_settings.leastBodyRate;
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
        const auto found = m_connections.find(number);
        if (found == m_connections.end())
            continue;
        connection &peer = *found->second;
        const bool incomplete =
            peer.step == connection::step_kind::Reading && peer.parser.hasBegun();
        if (incomplete)
            reject(peer, requestTimeout, rejection_cause::Slow);
        else if (peer.transport->unsentBytes() > 0)
            cut(peer);
        else
            close(number);
    }
}

} // namespace waxwing::http
