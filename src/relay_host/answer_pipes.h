#pragma once

#include "core/strong_id.h"
#include "http/client_pool.h"
#include "http/raw_server.h"
#include "telemetry/metrics_registry.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace waxwing::relay {

/// Answers of backend servers that go to their callers in pieces, because they are larger than what
/// a host buffers. A server is read no faster than its caller takes.
class answer_pipes
{
public:
    /// `servers` and `metrics` must outlive the pipes.
    answer_pipes(http::client_pool &servers, metrics_registry &metrics)
        : m_servers(servers), m_metrics(metrics)
    { }

    /// Sets where callers are answered. It must outlive the pipes.
    void connectTo(http::raw_server &callers) { m_callers = &callers; }
    /// Begins the answer to a request, whose body holds what has come so far. The rest is what the
    /// server sends for the attempt.
    void open(request_id request, const http::response &start, attempt_id attempt,
              std::optional<std::uint64_t> length);
    /// Whether the answer of an attempt goes to a caller.
    bool isOpen(attempt_id attempt) const { return m_requests.contains(attempt.value); }
    /// Whether any answer is not at its end.
    bool hasOpen() const { return !m_requests.empty(); }

    /// A server has sent more.
    void onBody(attempt_id attempt, const std::string &bytes);
    /// A server has sent all, or failed.
    void onServerEnd(attempt_id attempt, std::optional<http::call_failure> failure);
    /// A caller takes more.
    void onTaken(request_id request);
    /// A caller went away.
    void onCallerGone(request_id request);

private:
    void close(attempt_id attempt, request_id request);

    http::client_pool &m_servers;
    metrics_registry &m_metrics;
    http::raw_server *m_callers = nullptr;
    absl::flat_hash_map<std::uint64_t, request_id> m_requests;
    absl::flat_hash_map<std::uint64_t, attempt_id> m_attempts;
};

} // namespace waxwing::relay
