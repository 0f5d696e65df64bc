#include "ctl/host_client.h"

#include <memory>

namespace waxwing {
namespace {

host_report readOutcome(const endpoint &address, const http::client::outcome &outcome)
{
    if (const auto *response = std::get_if<http::response>(&outcome)) {
        if (response->status == 200)
            return readHostReport(address, response->body);
        host_report failed;
        failed.address = address;
        failed.problem = "status " + std::to_string(response->status);
        return failed;
    }
    host_report failed;
    failed.address = address;
    failed.problem = std::get<http::transport_failure>(outcome).detail;
    if (failed.problem.empty())
        failed.problem = "no answer";
    return failed;
}

/// Answers that are being collected.
struct collection
{
    std::vector<host_report> answers;
    std::size_t missing = 0;
    std::function<void(std::vector<host_report>)> onAnswers;
};

} // namespace

host_client::host_client(http::client &connections, host_client_settings settings)
    : m_connections(connections), m_settings(std::move(settings))
{ }

void host_client::askAll(std::function<void(std::vector<host_report>)> onAnswers)
{
    const auto &hosts = m_settings.hosts;
    if (hosts.empty()) {
        onAnswers({});
        return;
    }
    const auto collected = std::make_shared<collection>(
        collection{std::vector<host_report>(hosts.size()), hosts.size(), std::move(onAnswers)});
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        m_connections.send(
            hosts[i], {"GET", "/v1/status", {}, {}, {}}, m_settings.timeout,
            [collected, i, address = hosts[i]](const http::client::outcome &outcome) {
                collected->answers[i] = readOutcome(address, outcome);
                if (--collected->missing == 0)
                    collected->onAnswers(std::move(collected->answers));
            });
    }
}

void host_client::fetchConfiguration(const endpoint &host,
                                     std::function<void(std::optional<std::string>)> onAnswer)
{
    m_connections.send(host, {"GET", "/v1/configuration", {}, {}, {}}, m_settings.timeout,
                       [onAnswer = std::move(onAnswer)](const http::client::outcome &outcome) {
                           const auto *response = std::get_if<http::response>(&outcome);
                           onAnswer(response != nullptr && response->status == 200
                                        ? std::optional<std::string>(response->body)
                                        : std::nullopt);
                       });
}

} // namespace waxwing
