#include "http/server.h"

#include "http/server_core.h"

namespace waxwing::http {

responder::responder(std::shared_ptr<pending_request> pending) : m_pending(std::move(pending)) { }

responder::responder(responder &&) noexcept = default;

responder &responder::operator=(responder &&other) noexcept
{
    // The replaced request is answered by the destructor of `replaced`.
    const responder replaced(std::move(m_pending));
    m_pending = std::move(other.m_pending);
    return *this;
}

responder::~responder()
{
    if (m_pending)
        respond(problemResponse(
            {500, "unanswered", "the request was not answered", execution_state::OutcomeUnknown}));
}

void responder::respond(const response &answer)
{
    const auto pending = std::exchange(m_pending, nullptr);
    if (pending && pending->connection != nullptr)
        pending->connection->send(pending->received, answer);
}

void responder::drop()
{
    const auto pending = std::exchange(m_pending, nullptr);
    if (pending && pending->connection != nullptr)
        pending->connection->drop();
}

bool responder::isFirstOnConnection() const
{
    return m_pending && m_pending->first;
}

void responder::onDisconnect(std::function<void()> callback)
{
    if (m_pending)
        m_pending->onDisconnect = std::move(callback);
}

absl::StatusOr<std::unique_ptr<server>>
server::create(event_base *base, const server_settings &settings, handler onRequest)
{
    auto core = std::make_unique<server_core>(base, settings, std::move(onRequest));
    if (absl::Status status = core->listen(); !status.ok())
        return status;
    return std::unique_ptr<server>(new server(std::move(core)));
}

server::server(std::unique_ptr<server_core> core) : m_core(std::move(core)) { }

server::~server() = default;

endpoint server::localEndpoint() const
{
    return m_core->localEndpoint();
}

void server::beginDrain()
{
    m_core->beginDrain();
}

std::size_t server::requestsInProgress() const
{
    return m_core->requestsInProgress();
}

std::size_t server::connections() const
{
    return m_core->connections();
}

} // namespace waxwing::http
