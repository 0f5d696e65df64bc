#include "relay_host/store_client.h"

#include "http/content_coding.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

/// Interval of the check for calls past their deadline.
constexpr timeval timeoutCheckInterval{0, 250'000};

/// Limit on the size of a decompressed answer of another host, in bytes.
constexpr std::size_t maxAnswerBytes = std::size_t{64} << 20U;

bool isCompressed(const http::raw_response &response)
{
    const std::string *coding = http::findField(response.content.headers, "Content-Encoding");
    return coding != nullptr && *coding == http::deflateCoding;
}

std::chrono::milliseconds longPollTime(const store_call &call)
{
    const auto *watch = std::get_if<watch_call>(&call.how);
    return watch == nullptr ? std::chrono::milliseconds(0) : watch->wait;
}

} // namespace

store_client::store_client(event_base *base, const clock &time,
                           const store_client_settings &settings, const wire_codec &codec,
                           memory_budget &memory, metrics_registry &metrics, pass_profile &profile,
                           relay_event_sink onEvent)
    : m_time(time), m_settings(settings), m_codec(codec), m_memory(memory), m_metrics(metrics),
      m_profile(profile), m_onEvent(std::move(onEvent)),
      m_timer(event_new(base, -1, EV_PERSIST, &onTimer, this)),
      m_connections(base, time, settings.connections,
                    [this](attempt_id number, const http::client_pool::outcome &outcome) {
                        report(number, outcome);
                    },
                    {})
{
    event_add(m_timer.get(), &timeoutCheckInterval);
    m_connections.limitMemory(memory, memory_use::Store);
}

void store_client::carryOut(const call_store &action)
{
    const std::uint64_t number = ++m_lastCallNumber;
    store_call call = action.call;
    const bool isPeerCall = call.source.has_value();
    call.acceptsCompression = isPeerCall;
    const auto timeout = isPeerCall ? m_settings.peerTimeout : m_settings.answerTimeout;
    m_pending.emplace(number,
                      pending_call{action.call, m_time.now() + longPollTime(call) + timeout});
    http::call request = m_codec.formatStoreCall(call, call.source.value_or(m_settings.address));
    request.id = {number};
    if (!request.echoField.empty()) {
        request.echoValue = std::to_string(number);
        request.bytes =
            http::withField(std::move(request.bytes), request.echoField, request.echoValue);
    }
    m_metrics.count(isPeerCall ? "relay_peer_calls_total" : "relay_store_calls_total");
    m_connections.send(std::move(request));
}

void store_client::report(attempt_id number, const http::client_pool::outcome &outcome)
{
    const auto found = m_pending.find(number.value);
    if (found == m_pending.end())
        return;
    const store_call call = found->second.call;
    m_pending.erase(found);
    const time_point start = m_time.now();
    store_call_ended ended{call, read(call, outcome), m_codec.readStoreEra(outcome)};
    m_profile.add("decode store answer", m_time.now() - start);
    m_onEvent(std::move(ended));
}

std::variant<store_answer, store_failure>
store_client::read(const store_call &call, const http::client_pool::outcome &outcome) const
{
    const auto *response = std::get_if<http::raw_response>(&outcome);
    return response != nullptr && isCompressed(*response) ? readCompressed(call, *response)
                                                          : m_codec.readStoreOutcome(call, outcome);
}

std::variant<store_answer, store_failure>
store_client::readCompressed(const store_call &call, http::raw_response response) const
{
    // A few bytes can state a thousand times as many.
    auto body = http::inflated(response.content.body,
                               std::min(maxAnswerBytes, m_memory.room(memory_use::Store)));
    if (!body.ok()) {
        m_metrics.count("relay_peer_answers_damaged_total");
        return store_failure::Malformed;
    }
    response.content.body = *std::move(body);
    return m_codec.readStoreOutcome(call, std::move(response));
}

void store_client::onTimer(int /*socket*/, short /*events*/, void *self)
{
    static_cast<store_client *>(self)->cancelOverdueCalls();
}

void store_client::cancelOverdueCalls()
{
    const time_point now = m_time.now();
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, pending] : m_pending) {
        if (now >= pending.deadline)
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue) {
        m_connections.cancel({number});
        report({number}, http::call_failure::ConnectionLost);
    }
}

} // namespace waxwing::relay
