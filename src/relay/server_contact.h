#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace waxwing::relay {

/// Settings of `server_contact`.
struct server_contact_settings
{
    /// Time without an answer of any server from which servers that do not respond are evidence.
    /// Covers the network latency to another region and the scheduling delays of a busy host.
    std::chrono::milliseconds silence{80};
    /// Number of servers that do not respond from which contact counts as lost. Fewer may have
    /// failed by themselves.
    std::size_t minServers = 3;
    /// Time for which the evidence has to last. A host that was held up reads the answers that wait
    /// in its sockets within it.
    std::chrono::milliseconds confirmation{20};
    /// Time without further evidence after which servers are tried as usual.
    std::chrono::milliseconds evidenceValidity{3000};

    bool operator==(const server_contact_settings &) const = default;
};

/// Whether this host reaches any backend server.
///
/// Handles a host whose network paths to all servers are cut while callers, other hosts and the
/// store still reach it. A server that fails by itself does not count, since others answer.
class server_contact
{
public:
    explicit server_contact(const server_contact_settings &settings) : m_settings(settings) { }

    /// Records any answer of a server. Returns how long contact was lost; empty if it was not.
    std::optional<duration> onAnswer(time_point now);
    /// Records that a server accepted no connection or did not answer in time.
    void onNoResponse(const server_id &server, time_point now);
    /// Whether no server has answered for `silence`.
    bool isQuiet(time_point now) const { return now - m_lastAnswer >= m_settings.silence; }
    /// Ends the loss of contact if there was no evidence for `evidenceValidity`. Returns whether it
    /// did.
    bool expire(time_point now);
    /// Evaluates the evidence. `overdue` are servers whose answer is overdue. Returns true if
    /// contact is found to be lost and was not before.
    bool check(const std::vector<server_id> &overdue, time_point now);
    /// When evidence that was found is evaluated again; empty if there is none.
    std::optional<time_point> nextCheck() const;
    /// Whether no server responds.
    bool isLost() const { return m_lostSince.has_value(); }
    /// Time since the latest answer.
    duration timeSinceAnswer(time_point now) const { return now - m_lastAnswer; }

private:
    server_contact_settings m_settings;
    time_point m_lastAnswer{};
    /// Servers that did not respond since the latest answer of any server.
    std::set<server_id> m_silent;
    /// When evidence was found that is not confirmed yet.
    std::optional<time_point> m_suspectedSince;
    std::optional<time_point> m_lostSince;
    /// Latest evidence.
    time_point m_evidenceAt{};
};

} // namespace waxwing::relay
