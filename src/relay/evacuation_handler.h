#pragma once

#include "relay/relay_dispatch.h"

#include <set>

namespace waxwing::relay {

/// Applies evacuations that were read from the store to the host's state. Constructed for each
/// event.
class evacuation_handler
{
public:
    /// Modifies `state` and appends to `effects`; both must outlive the handler.
    evacuation_handler(relay_state::parts &state, time_point now, relay_effect_list &effects);

    /// Applies a complete list or changes. Returns the services with waiting parts if zones began
    /// or ended to be evacuated.
    std::set<service_id> apply(const store_update &update);
    /// Keeps the known evacuations for a while after the store was restored from an older copy,
    /// which began `era`. Ignored if that is known.
    void onRestore(std::uint64_t era);
    /// Ends evacuations that were kept after a restore, and lets zones return. Returns the services
    /// with waiting parts if a zone changed.
    std::set<service_id> onTick();

private:
    evacuation_table::change_list applyList(const store_update &update);
    evacuation_table::change_list applyChanges(const store_update &update);
    std::set<service_id> publish(const evacuation_table::change_list &changes);
    /// Puts the evacuated and the returning zones into force.
    /// Lets the zone receive load again, gradually. Its servers may be cold.
    void returnZone(const zone_id &zone);
    void updateZones();
    void logUnusable(const store_object &object);

    relay_state::parts &m_parts;
    time_point m_now;
    relay_effect_list &m_effects;
};

} // namespace waxwing::relay
