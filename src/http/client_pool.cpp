#include "http/client_pool.h"

#include "core/text.h"
#include "http/request_id_history.h"
#include "memory_budget/memory_hold.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace waxwing::http {
namespace {

/// Interval at which idle connections and slow openings are looked for.
constexpr timeval sweepInterval{0, 100'000};
/// First status code that is a final one.
constexpr int firstFinalStatus = 200;

/// Whether a late copy of the response to `request` differs from the response to a later call.
bool canTellCopies(const call &request)
{
    return request.echoField.empty() || !request.echoValue.empty();
}

} // namespace

/// Connection to a peer.
struct client_pool::connection
{
    connection(const endpoint &address, const message_limits &limits, memory_budget *memory,
               memory_use use)
        : peer(address), parser(message_parser::message_kind::Response, limits), held(memory, use)
    { }

    endpoint peer;
    message_parser parser;
    /// Bytes of the call, until its response is whole, and of the response.
    memory_hold held;
    /// Bytes of the call.
    std::size_t callBytes = 0;
    /// The call in progress.
    std::optional<call> current;
    /// Whether the call in progress was written.
    bool written = false;
    /// Whether a call was written before the call in progress.
    bool hadCall = false;
    /// Echo values of the calls that were written.
    request_id_history values;
    /// Responses that came before that to the call in progress and were dropped.
    std::uint32_t dropped = 0;
    /// Whether the response to the call in progress is passed on in pieces.
    bool isStreaming = false;
    bool isPaused = false;
    /// When the last piece came, or reading went on.
    time_point lastPiece;
    /// Whether it may serve a further call after the current one.
    bool reusable = true;
    /// When its opening began, and when it was opened.
    time_point openedFrom;
    time_point opened;
    /// Whether a response came on it.
    bool proven = false;
    /// When its opening is given up while the call is not written; when it is closed while idle.
    time_point expires;
    std::unique_ptr<stream> transport;
};

client_pool::client_pool(event_base *base, const clock &time, client_pool_settings settings,
                         callback onDone, connect_observer onConnect)
    : m_base(base), m_time(time), m_settings(std::move(settings)), m_onDone(std::move(onDone)),
      m_onConnect(std::move(onConnect))
{
    m_sweepTimer.reset(event_new(base, -1, EV_PERSIST, &onSweep, this));
    event_add(m_sweepTimer.get(), &sweepInterval);
}

client_pool::~client_pool() = default;

void client_pool::limitMemory(memory_budget &budget, memory_use use)
{
    m_memory = &budget;
    m_use = use;
}

void client_pool::send(call request)
{
    connection *target = findIdle(request, history_kind::New);
    if (target == nullptr) {
        // The peer has room for a limited number of connections.
        if (connection *replaced = findIdle(request, history_kind::Repeated))
            close(*replaced);
        target = &open(request.peer);
    }
    begin(*target, std::move(request));
}

client_pool::connection *client_pool::findIdle(const call &request, history_kind history)
{
    const auto known = m_peers.find(request.peer);
    if (known == m_peers.end())
        return nullptr;
    const time_point now = m_time.now();
    connection *latest = nullptr;
    for (const auto &candidate : known->second) {
        const bool usable = !candidate->current.has_value() && candidate->reusable
            && candidate->transport->isConnected() && now < candidate->expires;
        if (!usable || (latest != nullptr && latest->expires >= candidate->expires))
            continue;
        const bool repeated =
            !request.echoField.empty() && candidate->values.contains(request.echoValue);
        // The close of the peer may have arrived without having been read yet.
        if (repeated == (history == history_kind::Repeated) && candidate->transport->isQuiet())
            latest = candidate.get();
    }
    return latest;
}

client_pool::connection &client_pool::open(const endpoint &peer)
{
    auto created = std::make_unique<connection>(peer, m_settings.messages, m_memory, m_use);
    connection *target = created.get();
    target->openedFrom = m_time.now();
    target->expires = target->openedFrom + m_settings.connectTimeout;
    target->transport = std::make_unique<stream>(
        m_base, peer, m_settings.localAddress, m_settings.connections,
        stream::callbacks{[this, target](std::string_view bytes) { onBytes(*target, bytes); },
                          [this, target](stream_end reason) { onEnd(*target, reason); },
                          [this, target] { onConnected(*target); },
                          {}});
    m_peers[peer].push_back(std::move(created));
    return *target;
}

void client_pool::begin(connection &target, call request)
{
    m_calls[request.id.value] = &target;
    // What is sent belongs to requests that were admitted, so it is counted and not refused.
    target.callBytes = request.bytes.capacity();
    target.held.setHeld(target.callBytes);
    target.current = std::move(request);
    target.written = false;
    target.dropped = 0;
    target.isStreaming = false;
    restartParser(target);
    if (target.current->deadline.has_value() && !target.transport->isConnected())
        target.expires = std::min(target.expires, target.current->deadline->at);
    if (target.transport->isConnected())
        writeCall(target);
}

void client_pool::restartParser(connection &target) const
{
    target.parser.restart(target.current->isHead);
    if (target.current->mayStream && m_streams.onBegin)
        target.parser.acceptAnyBody();
}

void client_pool::writeCall(connection &target)
{
    call &request = *target.current;
    if (!request.deadline.has_value()) {
        target.transport->write(std::exchange(request.bytes, {}));
    } else {
        const duration left = request.deadline->at - m_time.now();
        // The next sweep reports the call, since this may be called from within `send`.
        if (left <= duration(0)) {
            target.expires = request.deadline->at;
            return;
        }
        const auto stated = std::chrono::duration_cast<std::chrono::milliseconds>(left);
        target.transport->write(withField(std::move(request.bytes), request.deadline->field,
                                          std::to_string(stated.count())));
    }
    target.hadCall = target.proven;
    if (!request.echoField.empty())
        target.values.add(request.echoValue);
    target.written = true;
}

void client_pool::onConnected(connection &target)
{
    target.opened = m_time.now();
    if (m_onConnect)
        m_onConnect(target.peer);
    if (!target.current.has_value())
        return;
    writeCall(target);
    // The connection was opened for this call.
    if (m_onWritten && target.written)
        m_onWritten(*target.current, target.opened - target.openedFrom);
}

void client_pool::onBytes(connection &target, std::string_view bytes)
{
    while (!bytes.empty()) {
        if (!target.current.has_value()) {
            // Nothing was asked: what arrives belongs to no call.
            close(target);
            return;
        }
        bytes.remove_prefix(target.parser.read(bytes));
        if (target.parser.problem() != parse_problem::None) {
            finish(target, call_failure::Malformed, false);
            return;
        }
        if (!streamBody(target))
            return;
        if (!hasRoom(target)) {
            if (target.current.has_value())
                finish(target, call_failure::NoRoom, false);
            return;
        }
        if (!target.parser.isComplete())
            return;
        const attempt_id answered = target.current->id;
        complete(target, bytes);
        // The call, and the connection with it, may have ended.
        const auto still = m_calls.find(answered.value);
        if (still == m_calls.end() || still->second != &target)
            return;
    }
}

bool client_pool::streamBody(connection &target)
{
    if (!target.isStreaming) {
        if (!target.parser.hasHeader() || !target.parser.isBodyOverLimit())
            return true;
        beginStream(target);
        return target.current.has_value() && target.isStreaming;
    }
    target.lastPiece = m_time.now();
    const attempt_id id = target.current->id;
    if (std::string bytes = target.parser.takeBodySoFar(); !bytes.empty())
        m_streams.onBody(id, std::move(bytes));
    return target.current.has_value() && target.current->id == id;
}

void client_pool::beginStream(connection &target)
{
    const auto doubt = doubtOf(target, target.parser.fields());
    const bool isFinal = target.parser.status() >= firstFinalStatus;
    if (!isFinal || doubt == response_doubt::OtherValue) {
        finish(target, call_failure::Malformed, false);
        return;
    }
    const call &request = *target.current;
    const attempt_id id = request.id;
    raw_response start{{target.parser.status(), target.parser.fields(), {}}, true};
    start.content.body = target.parser.takeBodySoFar();
    if (doubt.has_value() && m_onDoubt)
        m_onDoubt(request, start, *doubt);
    target.isStreaming = true;
    target.isPaused = false;
    target.lastPiece = m_time.now();
    const bool isWanted =
        m_streams.onBegin(request, std::move(start), target.parser.statedLength());
    if (isWanted || !target.current.has_value() || target.current->id != id)
        return;
    target.isStreaming = false;
    finish(target, call_failure::Malformed, false);
}

void client_pool::pause(attempt_id id)
{
    const auto found = m_calls.find(id.value);
    if (found == m_calls.end() || found->second->isPaused)
        return;
    found->second->isPaused = true;
    found->second->transport->pauseReading();
}

void client_pool::resume(attempt_id id)
{
    const auto found = m_calls.find(id.value);
    if (found == m_calls.end() || !found->second->isPaused)
        return;
    found->second->isPaused = false;
    found->second->lastPiece = m_time.now();
    found->second->transport->resumeReading();
}

bool client_pool::hasRoom(connection &target) const
{
    const std::uint64_t call = target.current->id.value;
    const bool hasRoom = target.held.hold(target.callBytes + target.parser.heldBytes());
    // Making room ends callers, and their calls with them.
    const auto still = m_calls.find(call);
    return hasRoom && still != m_calls.end() && still->second == &target;
}

std::optional<response_doubt> client_pool::doubtOf(const connection &target,
                                                   const header_list &fields) const
{
    const call &request = *target.current;
    if (request.echoField.empty())
        return std::nullopt;
    const std::string *echoed = findField(fields, request.echoField);
    if (echoed != nullptr && *echoed != request.echoValue)
        return response_doubt::OtherValue;
    return echoed == nullptr && target.hadCall ? std::optional(response_doubt::NoValue)
                                               : std::nullopt;
}

void client_pool::complete(connection &target, std::string_view rest)
{
    raw_response response = target.parser.takeResponse();
    const bool isInterim = response.content.status < firstFinalStatus;
    // The doubt about a response that came in pieces was noted at its beginning.
    const auto doubt =
        isInterim || target.isStreaming ? std::nullopt : doubtOf(target, response.content.headers);
    if (doubt.has_value() && m_onDoubt)
        m_onDoubt(*target.current, response, *doubt);
    if (isInterim || doubt == response_doubt::OtherValue) {
        target.reusable = target.reusable && isInterim;
        if (++target.dropped > m_settings.maxDroppedResponses)
            finish(target, call_failure::Malformed, false);
        else
            restartParser(target);
        if (isInterim && m_onInterim && target.current.has_value())
            m_onInterim(target.current->id);
        return;
    }
    target.proven = true;
    const bool reusable = target.reusable && response.keepAlive && rest.empty()
        && target.transport->unsentBytes() == 0 && !target.values.isFull()
        && canTellCopies(*target.current);
    target.expires = m_time.now() + idleTimeOf(response);
    finish(target, std::move(response), reusable);
}

std::chrono::milliseconds client_pool::idleTimeOf(const raw_response &response) const
{
    const std::string *field = findField(response.content.headers, "Keep-Alive");
    if (field == nullptr)
        return m_settings.idleTimeout;
    constexpr std::string_view prefix = "timeout=";
    const std::vector<std::string> parts = absl::StrSplit(*field, absl::ByAnyChar(", "));
    for (const std::string &part : parts) {
        std::uint32_t seconds = 0;
        if (!equalsIgnoringCase(part.substr(0, prefix.size()), prefix)
            || !absl::SimpleAtoi(part.substr(prefix.size()), &seconds))
            continue;
        const std::chrono::milliseconds stated = std::chrono::seconds(seconds);
        return std::max(std::chrono::milliseconds(0), stated - m_settings.idleMargin);
    }
    return m_settings.idleTimeout;
}

void client_pool::onEnd(connection &target, stream_end reason)
{
    if (!target.current.has_value()) {
        close(target);
        return;
    }
    if (reason == stream_end::ConnectFailed) {
        finish(target, call_failure::ConnectFailed, false);
        return;
    }
    // A response without a length ends with its connection, unless that broke.
    if (reason == stream_end::Closed)
        target.parser.readEnd();
    if (target.parser.isComplete())
        complete(target, {});
    if (target.current.has_value())
        finish(target, lossOf(target), false);
}

call_failure client_pool::lossOf(const connection &target) const
{
    const duration way = target.opened - target.openedFrom;
    const bool early = m_time.now() - target.opened <= way + m_settings.acceptMargin;
    return early && !target.proven && !target.parser.hasBegun() ? call_failure::NotAccepted
                                                                : call_failure::ConnectionLost;
}

void client_pool::finish(connection &target, outcome result, bool reusable)
{
    const attempt_id id = target.current->id;
    target.current.reset();
    target.held.setHeld(0);
    m_calls.erase(id.value);
    const bool wasStreaming = std::exchange(target.isStreaming, false);
    // The last piece may have paused it.
    if (std::exchange(target.isPaused, false) && reusable)
        target.transport->resumeReading();
    if (!reusable)
        close(target);
    if (!wasStreaming) {
        m_onDone(id, std::move(result));
        return;
    }
    const auto *failure = std::get_if<call_failure>(&result);
    m_streams.onEnd(id, failure == nullptr ? std::nullopt : std::optional(*failure));
}

void client_pool::cancel(attempt_id id)
{
    const auto found = m_calls.find(id.value);
    if (found == m_calls.end())
        return;
    connection &target = *found->second;
    m_calls.erase(found);
    target.current.reset();
    target.isStreaming = false;
    close(target);
}

bool client_pool::isSent(attempt_id id) const
{
    const auto found = m_calls.find(id.value);
    return found != m_calls.end() && found->second->written;
}

void client_pool::forget(const endpoint &peer)
{
    const auto known = m_peers.find(peer);
    if (known == m_peers.end())
        return;
    std::vector<connection *> idle;
    for (const auto &each : known->second) {
        each->reusable = false;
        if (!each->current.has_value())
            idle.push_back(each.get());
    }
    for (connection *each : idle)
        close(*each);
}

std::size_t client_pool::connections(const endpoint &peer) const
{
    const auto known = m_peers.find(peer);
    return known == m_peers.end() ? 0 : known->second.size();
}

void client_pool::close(connection &target)
{
    const auto known = m_peers.find(target.peer);
    if (known == m_peers.end())
        return;
    connection_list &all = known->second;
    const auto position = std::find_if(
        all.begin(), all.end(), [&target](const auto &each) { return each.get() == &target; });
    if (position == all.end())
        return;
    // The socket is closed now; the object lives until its callbacks have returned.
    target.transport->shut();
    target.parser.restart();
    target.held.setHeld(0);
    m_closed.push_back(std::move(*position));
    all.erase(position);
    if (all.empty())
        m_peers.erase(known);
}

void client_pool::onSweep(int /*socket*/, short /*events*/, void *self)
{
    static_cast<client_pool *>(self)->sweep();
}

call_failure client_pool::failureToWrite(const connection &target, time_point now)
{
    const auto &deadline = target.current->deadline;
    return deadline.has_value() && now >= deadline->at ? call_failure::DeadlinePassed
                                                       : call_failure::ConnectFailed;
}

void client_pool::sweep()
{
    m_closed.clear();
    const time_point now = m_time.now();
    std::vector<connection *> expired;
    for (const auto &[peer, all] : m_peers) {
        for (const auto &each : all) {
            const bool waits = !each->written || !each->current.has_value();
            const bool isStalled = each->isStreaming && !each->isPaused
                && now - each->lastPiece > m_settings.streamTimeout;
            if ((waits && now >= each->expires) || isStalled)
                expired.push_back(each.get());
        }
    }
    for (connection *each : expired) {
        if (!each->current.has_value()) {
            close(*each);
            continue;
        }
        if (each->isStreaming) {
            finish(*each, call_failure::ConnectionLost, false);
            continue;
        }
        const call_failure reason = failureToWrite(*each, now);
        each->expires = now + m_settings.idleTimeout;
        finish(*each, reason, each->transport->isConnected());
    }
}

} // namespace waxwing::http
