#include "entry/caller_front.h"

#include "entry/caller_codec.h"

namespace waxwing {
absl::StatusOr<std::unique_ptr<caller_front>>
caller_front::create(event_base *base, const http::server_settings &settings,
                     request_numbers &numbers, metrics_registry &metrics, event_sink onEvent)
{
    std::unique_ptr<caller_front> front(new caller_front(numbers, metrics, std::move(onEvent)));
    auto server = http::server::create(
        base, settings, [self = front.get()](const http::request &message, http::responder reply) {
            self->onRequest(message, std::move(reply));
        });
    if (!server.ok())
        return server.status();
    front->m_server = std::move(*server);
    return front;
}

caller_front::caller_front(request_numbers &numbers, metrics_registry &metrics, event_sink onEvent)
    : m_numbers(numbers), m_metrics(metrics), m_onEvent(std::move(onEvent))
{ }

bool caller_front::answer(request_id id, const search_outcome &outcome)
{
    return m_pending.contains(id) && respond(id, formatSearchOutcome(outcome));
}

bool caller_front::answer(request_id id, const command_outcome &outcome)
{
    return m_pending.contains(id) && respond(id, formatCommandOutcome(outcome));
}

void caller_front::beginDrain()
{
    m_server->beginDrain();
}

endpoint caller_front::localEndpoint() const
{
    return m_server->localEndpoint();
}

void caller_front::onRequest(const http::request &message, http::responder reply)
{
    const auto parsed = parseCallerRequest(message);
    if (const auto *reason = std::get_if<refusal>(&parsed)) {
        const auto response = http::problemResponse(*reason);
        count(response);
        reply.respond(response);
        return;
    }
    const request_id id = m_numbers.next();
    storeResponder(id, std::move(reply));
    if (const auto *search = std::get_if<search_request>(&parsed))
        m_onEvent(search_received{id, *search, false});
    else
        m_onEvent(command_received{id, std::get<command_request>(parsed), false});
}

void caller_front::storeResponder(request_id id, http::responder reply)
{
    auto &kept = m_pending.emplace(id, std::move(reply)).first->second;
    kept.onDisconnect([this, id] {
        if (m_pending.erase(id) != 0)
            m_onEvent(caller_gone{id});
    });
}

bool caller_front::respond(request_id id, const http::response &message)
{
    // Removes the responder from the map first, because respond() may report a disconnection.
    auto node = m_pending.extract(id);
    count(message);
    node.mapped().respond(message);
    return true;
}

void caller_front::count(const http::response &message)
{
    m_metrics.count("caller_responses_" + std::to_string(message.status) + "_total");
}

} // namespace waxwing
