#pragma once

#include "ctl/host_report.h"
#include "http/client.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// Settings of a `host_client`.
struct host_client_settings
{
    /// Admin endpoints of the entry hosts.
    std::vector<endpoint> hosts;
    /// Time for one call.
    std::chrono::milliseconds timeout{1000};

    bool operator==(const host_client_settings &) const = default;
};

/// Asks entry hosts at their admin endpoints.
class host_client
{
public:
    /// `connections` outlives the client, and the client outlives its calls.
    host_client(http::client &connections, host_client_settings settings);

    /// Asks every host for its status, at the same time. The result has the order of the settings.
    void askAll(std::function<void(std::vector<host_report>)> onAnswers);
    /// Asks one host for the text of its configuration; empty if it cannot be had.
    void fetchConfiguration(const endpoint &host,
                            std::function<void(std::optional<std::string>)> onAnswer);

private:
    http::client &m_connections;
    host_client_settings m_settings;
};

} // namespace waxwing
