#include "bench/connections_bench.h"

#include "bench/process_usage.h"
#include "http/client_pool.h"
#include "http/raw_server.h"

#include <fmt/format.h>

#include <cassert>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {
namespace {

constexpr std::uint32_t connectionCounts[] = {250, 500, 1000};
constexpr std::uint32_t requestCount = 20'000;
/// Field by which the client matches responses to calls.
constexpr const char *echoField = "X-Id";

/// A server that answers at once and a client, in one loop.
class loopback
{
public:
    explicit loopback(bool isLimited)
        : m_loop(event_base_new(), &event_base_free), m_base(m_loop.get()),
          m_memory(*memory_budget::create({})),
          m_client(m_base, m_time, {},
                   [this](attempt_id /*id*/, const http::client_pool::outcome & /*result*/) {
                       ++m_finished;
                   },
                   {})
    {
        auto server = http::raw_server::create(
            m_base, m_time, {},
            {[this](request_id id, const http::raw_request &message) {
                 http::response answer{200, {}, std::string(1000, 'x')};
                 answer.headers.emplace_back(echoField,
                                             *http::findField(message.headers, echoField));
                 m_server->respond(id, answer);
             },
             [](request_id /*id*/) {},
             {}});
        assert(server.ok());
        m_server = *std::move(server);
        if (!isLimited)
            return;
        m_server->limitMemory({&m_memory, memory_use::Callers, memory_use::Answers});
        m_client.limitMemory(m_memory, memory_use::Servers);
    }
    loopback(const loopback &) = delete;
    loopback &operator=(const loopback &) = delete;

    /// Processor time of client and server together.
    double microsecondsPerRequest()
    {
        return processorMicroseconds([this] {
                   for (std::uint32_t i = 0; i < requestCount; ++i) {
                       call();
                       runUntilFinished();
                   }
               })
            / requestCount;
    }
    /// Heap of both ends of a connection, each with a call in progress at first.
    double bytesPerConnection(std::uint32_t count)
    {
        call();
        runUntilFinished();
        const std::size_t before = usedBytes();
        for (std::uint32_t i = 0; i < count; ++i)
            call();
        runUntilFinished();
        return static_cast<double>(usedBytes() - before) / count;
    }

private:
    void call()
    {
        m_peer = m_server->localEndpoint();
        ++m_started;
        const std::string id = std::to_string(m_started);
        m_client.send({{m_started},
                       m_peer,
                       fmt::format("GET / HTTP/1.1\r\nHost: h\r\n{}: {}\r\n\r\n", echoField, id),
                       false,
                       echoField,
                       id});
    }
    void runUntilFinished()
    {
        while (m_finished < m_started)
            event_base_loop(m_base, EVLOOP_ONCE);
    }

    system_clock m_time;
    std::unique_ptr<event_base, decltype(&event_base_free)> m_loop;
    event_base *m_base;
    memory_budget m_memory;
    std::unique_ptr<http::raw_server> m_server;
    http::client_pool m_client;
    endpoint m_peer;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
};

} // namespace

bench_results measureConnections()
{
    bench_results results;
    const auto cost = [](bool isLimited) {
        return medianOf([isLimited] { return loopback(isLimited).microsecondsPerRequest(); });
    };
    constexpr double largestRatio = 1.1;
    const double without = cost(false);
    results.push_back(bench_result::atMost("connections", "a request over loopback, with a budget",
                                           "us of processor time", without, cost(true),
                                           without * largestRatio));
    for (const std::uint32_t count : connectionCounts)
        results.push_back(bench_result::plain(
            "connections", fmt::format("both ends of a connection, {} connections", count), "bytes",
            loopback(true).bytesPerConnection(count)));
    return results;
}

} // namespace waxwing
