#pragma once

#include "relay/leaf.h"
#include "relay/relay_effect.h"

#include <string_view>

namespace waxwing::relay {

/// Records what the answers of backend servers state about their load and whether they are cold.
class server_reports
{
public:
    server_reports(relay_effect_list &effects, time_point now) : m_effects(effects), m_now(now) { }

    /// Records the statements in the answer to a request that was sent at `sent`.
    void record(leaf &server, time_point sent, const leaf_reply &reply);
    /// Records that a failure made the server suspected of being cold, unless it `wasLimited` for
    /// that before.
    void recordSuspicion(const leaf &server, bool wasLimited);

private:
    void recordLoad(leaf &server, time_point sent, const leaf_reply &reply);
    void logCold(const leaf &server, std::string_view reason);
    void recordCold(leaf &server, time_point sent, const leaf_reply &reply);

    relay_effect_list &m_effects;
    time_point m_now;
};

} // namespace waxwing::relay
