#pragma once

#include "relay/quota_status.h"
#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/relay_settings.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace waxwing::relay {

/// Status of a relay host, as reported by its readiness address and metrics.
struct relay_status
{
    /// Whether the host has routes and backend servers and is not stopping.
    bool ready = false;
    bool stopping = false;
    /// Version of the routes in force; 0 if there are none.
    std::uint64_t routesVersion = 0;
    /// Latest era of the store that was seen.
    std::uint64_t storeEra = 0;
    /// Number of evacuated zones.
    std::size_t evacuatedZones = 0;
    /// Number of backend servers in the pool.
    std::size_t servers = 0;
    /// Whether the host reaches backend servers, as far as it knows.
    bool hasServerContact = true;
    /// Number of relay hosts, including this one.
    std::size_t hosts = 0;
    /// Number of requests in progress.
    std::size_t requests = 0;
    quota_status quotas;

    bool operator==(const relay_status &) const = default;
};

/// State of a relay host. The reducer takes and returns it by move; it cannot be copied.
class relay_state
{
public:
    /// Creates the state that the `started` event is applied to.
    static relay_state create(const relay_settings &settings);
    relay_state(relay_state &&) noexcept;
    relay_state &operator=(relay_state &&) noexcept;
    ~relay_state();

    /// When the next `tick` is due; empty if no timer is set.
    std::optional<time_point> nextDeadline() const;
    relay_status status() const;
    /// Whether a host of the fleet has the IPv4 address.
    bool isHostAddress(std::string_view address) const;

    /// Components of the state; only the reducer uses them.
    struct parts;

private:
    friend class relay_reducer;
    explicit relay_state(std::unique_ptr<parts> content);
    std::unique_ptr<parts> m_parts;
};

/// Result of applying an event.
struct relay_reduction
{
    relay_state state;
    /// Effects to execute, in order.
    relay_effect_list effects;
};

/// Implements all decisions of a relay host as a pure function of state and event.
class relay_reducer
{
public:
    /// Applies one event. Equal states and events give equal results.
    static relay_reduction reduce(relay_state state, const relay_event &input);
};

} // namespace waxwing::relay
