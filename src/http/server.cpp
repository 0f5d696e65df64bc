#include "http/server.h"

#include "http/server_core.h"

#include <utility>

namespace waxwing::http {

responder::responder(std::weak_ptr<server_core> core, request_id id)
    : m_core(std::move(core)), m_id(id)
{ }

responder::responder(responder &&) noexcept = default;

responder &responder::operator=(responder &&other) noexcept
{
    // The replaced request is answered by the destructor of `replaced`.
    const responder replaced(std::exchange(m_core, std::move(other.m_core)), m_id);
    m_id = other.m_id;
    return *this;
}

responder::~responder()
{
    respond(problemResponse(
        {500, "unanswered", "the request was not answered", execution_state::OutcomeUnknown}));
}

void responder::respond(const response &answer)
{
    if (const auto core = std::exchange(m_core, {}).lock())
        core->respond(m_id, answer);
}

void responder::drop()
{
    if (const auto core = std::exchange(m_core, {}).lock())
        core->drop(m_id);
}

bool responder::isFirstOnConnection() const
{
    const auto core = m_core.lock();
    return core && core->isFirstOnConnection(m_id);
}

void responder::onDisconnect(std::function<void()> callback)
{
    if (const auto core = m_core.lock())
        core->setOnDisconnect(m_id, std::move(callback));
}

absl::StatusOr<std::unique_ptr<server>>
server::create(event_base *base, const server_settings &settings, handler onRequest)
{
    auto core = std::make_shared<server_core>(std::move(onRequest));
    if (absl::Status status = core->listen(base, settings); !status.ok())
        return status;
    return std::unique_ptr<server>(new server(std::move(core)));
}

server::server(std::shared_ptr<server_core> core) : m_core(std::move(core)) { }

server::~server() = default;

void server::limitMemory(const connection_memory &memory)
{
    m_core->limitMemory(memory);
}

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
