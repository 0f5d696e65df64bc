#include "relay_host/peer_server.h"

#include "http/content_coding.h"

#include <iterator>
#include <utility>

namespace waxwing::relay {
namespace {

/// Size from which answers to other hosts are compressed, in bytes. Smaller ones fit in a packet.
constexpr std::size_t minCompressedBytes = 1024;
/// Size of the header fields that a host adds to a request that it forwards, in bytes.
constexpr std::size_t addedHeaderBytes = std::size_t{4} * 1024;
/// Time in which a message of another host arrives whole. Hosts send whole messages at once.
constexpr std::chrono::milliseconds arrivalTimeout{5000};
http::message_limits forwardedLimits(const caller_limits &limits)
{
    return {limits.headerBytes + addedHeaderBytes, limits.bodyBytes};
}

/// Set in the ids of requests from other hosts, so that they differ from those of callers.
constexpr std::uint64_t peerRequestBit = std::uint64_t{1} << 63U;

request_id toEventId(request_id id)
{
    return {id.value | peerRequestBit};
}

request_id fromEventId(request_id id)
{
    return {id.value & ~peerRequestBit};
}

} // namespace

peer_server::peer_server(const loop_clock &time, const wire_codec &codec, pass_profile &profile,
                         rejection_log &rejections, relay_event_sink onEvent)
    : m_time(time), m_codec(codec), m_profile(profile), m_rejections(rejections),
      m_onEvent(std::move(onEvent))
{ }

absl::StatusOr<std::unique_ptr<peer_server>>
peer_server::create(event_base *base, const loop_clock &time, const endpoint &listen,
                    const wire_codec &codec, pass_profile &profile, memory_budget &memory,
                    rejection_log &rejections, member_test isMember,
                    const relay_event_sink &onEvent)
{
    std::unique_ptr<peer_server> result(new peer_server(time, codec, profile, rejections, onEvent));
    http::raw_server_settings settings;
    settings.listen = listen;
    settings.messages = forwardedLimits(caller_limits{});
    settings.arrivalTimeout = arrivalTimeout;
    auto server = http::raw_server::create(
        base, time, settings,
        {[self = result.get()](request_id id, const http::raw_request &message) {
             self->onRequest(id, message);
         },
         [self = result.get()](request_id id) { self->onGone(id); },
         [self = result.get()](http::response &answer, const http::rejection &reason) {
             self->onRejected(answer, reason);
         },
         [&rejections](const http::rejection &reason) {
             rejections.add(memory_use::Hosts, reason);
         },
         std::move(isMember)});
    if (!server.ok())
        return server.status();
    result->m_server = *std::move(server);
    result->m_server->measureReadDelays(time);
    result->m_server->limitMemory({&memory, memory_use::Hosts, memory_use::Hosts});
    return result;
}

void peer_server::setCallerLimits(const caller_limits &limits)
{
    const http::raw_server_settings usual;
    m_server->setLimits(forwardedLimits(limits), usual.headerTimeout, usual.idleTimeout);
}

void peer_server::onRejected(http::response &answer, const http::rejection &reason) const
{
    m_rejections.add(memory_use::Hosts, reason);
    // A host that forwards the request then asks another one.
    if (reason.cause == http::rejection_cause::NoRoom
        || reason.cause == http::rejection_cause::Slow)
        answer = m_codec.formatForwardedAnswer(noRoomRefusal());
}

void peer_server::onRequest(request_id id, const http::raw_request &message)
{
    if (std::string callId = m_codec.readCallId(message); !callId.empty())
        m_callIds.insert_or_assign(id.value, std::move(callId));
    if (auto forwarded = m_codec.readForwardedRequest(message)) {
        m_server->respondProcessing(id);
        m_onEvent(request_received{
            toEventId(id), std::make_shared<const relay_request>(std::move(forwarded->request)),
            m_server->readDelay(id), false, std::move(forwarded->origin)});
        return;
    }
    auto call = m_codec.readStoreCall(message);
    if (!call.has_value()) {
        constexpr int badRequest = 400;
        http::response answer{badRequest, {}, {}};
        respond(id, answer);
        return;
    }
    const std::string *codings = http::findField(message.headers, "Accept-Encoding");
    call->acceptsCompression = codings != nullptr && *codings == http::deflateCoding;
    m_onEvent(peer_request_received{toEventId(id), *std::move(call)});
}

void peer_server::respond(request_id id, http::response &answer)
{
    const std::size_t fields = answer.headers.size();
    if (const auto known = m_callIds.find(id.value); known != m_callIds.end()) {
        m_codec.addCallId(answer, known->second);
        m_callIds.erase(known);
    }
    m_server->respond(id, answer);
    // The same answer may go to further hosts.
    answer.headers.resize(fields);
}

void peer_server::onGone(request_id id)
{
    m_callIds.erase(id.value);
    // Only the reducer knows which of the two the request was.
    m_onEvent(peer_disconnected{toEventId(id)});
    m_onEvent(caller_gone{toEventId(id)});
}

void peer_server::carryOut(const answer_peer &action)
{
    const time_point start = m_time.now();
    http::response content = m_codec.formatStoreOutcome(action.answer, action.era);
    if (action.compressed && content.body.size() >= minCompressedBytes) {
        content.body = http::deflated(content.body);
        content.headers.emplace_back("Content-Encoding", http::deflateCoding);
    }
    for (const request_id id : action.ids)
        respond(fromEventId(id), content);
    m_profile.add("answer hosts", m_time.now() - start);
}

void peer_server::carryOut(const answer_forwarded &action)
{
    http::response answer = m_codec.formatForwardedAnswer(action.answer);
    respond(fromEventId(action.id), answer);
}

} // namespace waxwing::relay
