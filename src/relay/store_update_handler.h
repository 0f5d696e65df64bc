#pragma once

#include "relay/relay_dispatch.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Applies results of store calls to the host's state: routes, registrations of backend servers,
/// and where the store is read. Constructed for each event.
class store_update_handler
{
public:
    /// Modifies `state` and appends to `effects`; both must outlive the handler.
    store_update_handler(relay_state::parts &state, time_point now, relay_effect_list &effects);

    /// Handles the result or failure of a store call. Returns the services whose servers changed.
    std::set<service_id> onCallFinished(const store_call_ended &called);
    /// Removes the servers whose registration has been missing for too long.
    void removeUnlisted();
    /// Recomputes where the store is read; called after the membership changed.
    void updateRole();

private:
    /// Names of the servers in an update, by the kind of change.
    struct registration_summary
    {
        std::vector<std::string> registered;
        std::vector<std::string> leaving;
        std::vector<std::string> removed;
    };

    /// Passes the result of a call to the cache from which other hosts are answered.
    void shareWithPeers(const store_call_ended &called, const std::optional<store_update> &update,
                        const store_watcher &watcher);
    /// Tells the watchers of the other kinds of the era and logs the restore.
    void onNewEra(store_object_kind kind, std::uint64_t before, bool hadListed);
    void logStoreAvailability(const store_call_ended &called, const store_watcher &watcher,
                              std::uint32_t failuresBefore);
    void applyRoutes(const store_update &update);
    void applyRoutes(const store_object &object,
                     const std::shared_ptr<const route_document> &document);
    std::set<service_id> applyServers(const store_update &update);
    /// Counts crashes of servers that were taken for connection limits until their registrations
    /// ended.
    void confirmCrashes();
    void logRegistrations(const registration_summary &summary);

    relay_state::parts &m_parts;
    time_point m_now;
    relay_effect_list &m_effects;
};

} // namespace waxwing::relay
