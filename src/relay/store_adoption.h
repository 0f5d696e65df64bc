#pragma once

#include "relay/relay_dispatch.h"

#include <cstdint>
#include <set>

namespace waxwing::relay {

/// Takes over what the store says: routes, registrations, and where the store is read. Lives as
/// long as the event.
class store_adoption
{
public:
    /// Works on `state`; appends to `effects`.
    store_adoption(relay_state::parts &state, time_point now, relay_effect_list &effects);

    /// Takes an answer of the store, or its absence. Returns the services whose servers changed.
    std::set<service_id> onCalled(const store_call_ended &called);
    /// Removes the servers whose registration has been away for too long.
    void removeUnlisted();
    /// Chooses where the store is read, after a change of the members.
    void applyRole();

private:
    void logState(const store_call_ended &called, const store_follower &follower,
                  std::uint32_t failuresBefore);
    void adoptRoutes(const store_update &update);
    void adoptRoutes(const store_object &object,
                     const std::shared_ptr<const route_document> &document);
    std::set<service_id> adoptServers(const store_update &update);
    void logRegistration(const registered_server &entry, std::uint64_t revision);

    relay_state::parts &m_parts;
    time_point m_now;
    relay_effect_list &m_effects;
};

} // namespace waxwing::relay
