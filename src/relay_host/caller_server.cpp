#include "relay_host/caller_server.h"

#include <utility>

namespace waxwing::relay {

caller_server::caller_server(const wire_codec &codec, answer_pipes &pipes)
    : m_codec(codec), m_pipes(pipes)
{ }

absl::StatusOr<std::unique_ptr<caller_server>>
caller_server::create(event_base *base, const loop_clock &time,
                      const http::raw_server_settings &settings, const wire_codec &codec,
                      memory_budget &memory, rejection_log &rejections, answer_pipes &pipes,
                      const relay_event_sink &onEvent)
{
    std::unique_ptr<caller_server> result(new caller_server(codec, pipes));
    auto server = http::raw_server::create(
        base, time, settings,
        {[&codec, onEvent, self = result.get()](request_id id, http::raw_request message) {
             onEvent(request_received{
                 id, std::make_shared<const relay_request>(codec.readRequest(std::move(message))),
                 self->m_server->readDelay(id), self->m_server->isFirstOnConnection(id)});
         },
         [onEvent, &pipes](request_id id) {
             pipes.onCallerGone(id);
             onEvent(caller_gone{id});
         },
         [&codec, &rejections](http::response &answer, const http::rejection &reason) {
             rejections.add(memory_use::Callers, reason);
             if (reason.cause == http::rejection_cause::NoRoom)
                 answer = codec.formatAnswer(noRoomRefusal());
         },
         [&rejections](const http::rejection &reason) {
             rejections.add(memory_use::Answers, reason);
         },
         {},
         [&pipes](request_id id) { pipes.onTaken(id); }});
    if (!server.ok())
        return server.status();
    result->m_server = *std::move(server);
    pipes.connectTo(*result->m_server);
    result->m_server->measureReadDelays(time);
    result->m_server->limitMemory({&memory, memory_use::Callers, memory_use::Answers});
    return result;
}

void caller_server::carryOut(const answer_request &action)
{
    const auto *reply = std::get_if<leaf_reply>(&action.answer);
    const http::response answer = m_codec.formatAnswer(action.answer);
    if (reply != nullptr && reply->rest.has_value())
        m_pipes.open(action.id, answer, reply->rest->attempt, reply->rest->length);
    else
        m_server->respond(action.id, answer);
}

void caller_server::carryOut(const set_caller_limits &action)
{
    const caller_limits &limits = action.limits;
    m_server->setLimits({limits.headerBytes, limits.bodyBytes}, limits.headerTimeout,
                        limits.idleTimeout);
}

void caller_server::carryOut(const announce_close & /*action*/)
{
    m_server->closeAfterAnswers();
}

void caller_server::carryOut(const close_callers & /*action*/)
{
    m_server->stopAccepting();
}

} // namespace waxwing::relay
