#include "relay/server_reports.h"

#include <fmt/format.h>

#include <chrono>
#include <string>

namespace waxwing::relay {

void server_reports::record(leaf &server, time_point sent, const leaf_reply &reply)
{
    recordLoad(server, sent, reply);
    recordCold(server, sent, reply);
}

void server_reports::recordLoad(leaf &server, time_point sent, const leaf_reply &reply)
{
    if (reply.isLoadMalformed)
        m_effects.emplace_back(count_metric{"relay_load_reports_malformed_total", 1});
    if (!reply.load.has_value())
        return;
    m_effects.emplace_back(count_metric{server.onLoadReport(*reply.load, sent, m_now)
                                            ? "relay_load_reports_total"
                                            : "relay_load_reports_ignored_total",
                                        1});
}

void server_reports::recordCold(leaf &server, time_point sent, const leaf_reply &reply)
{
    cold_limit &cold = server.cold();
    const bool wasLimited = cold.isLimited(m_now);
    if (reply.isColdTimeMalformed)
        m_effects.emplace_back(count_metric{"relay_cold_times_malformed_total", 1});
    else if (!reply.coldFor.has_value())
        cold.onAnswerWithoutStatement(sent);
    else if (sent >= server.restartedAt())
        cold.onStated(*reply.coldFor, m_now);
    if (wasLimited == cold.isLimited(m_now))
        return;
    if (wasLimited) {
        appendLog(m_effects, log_level::Info, "a backend server is no longer cold",
                  {{"server", server.entry().id.value}, {"service", server.entry().service.value}});
        return;
    }
    logCold(server, "stated");
}

void server_reports::recordSuspicion(const leaf &server, bool wasLimited)
{
    if (!wasLimited && server.cold().isLimited(m_now))
        logCold(server, "failure");
}

void server_reports::logCold(const leaf &server, std::string_view reason)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(server.cold().endsAt() - m_now);
    m_effects.emplace_back(count_metric{"relay_servers_cold_total", 1});
    appendLog(m_effects, log_level::Info, "a backend server is cold",
              {{"server", server.entry().id.value},
               {"service", server.entry().service.value},
               {"reason", std::string(reason)},
               {"cold_ms", fmt::to_string(left.count())}});
}

} // namespace waxwing::relay
