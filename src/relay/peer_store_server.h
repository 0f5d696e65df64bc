#pragma once

#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/store_cache.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace waxwing::relay {

/// Serves list and watch calls of other hosts from a cache of the store, with the semantics of the
/// store: a list returns all objects of a kind, a watch returns as soon as there is a change.
///
/// Handles large fleets, in which store calls by every host would cost more than a tenth of the
/// value of the served requests.
class peer_store_server
{
public:
    /// Sets whether this host reads the store. If it does not, calls of other hosts are refused.
    void setReadsStore(bool readsStore) { m_readsStore = readsStore; }
    /// Handles an answer of the store at `revision`. `update` is empty if nothing has changed.
    void onStoreAnswer(store_object_kind kind, const std::optional<store_update> &update,
                       std::uint64_t revision, time_point now, relay_effect_list &effects);
    /// Empties the cache of a kind if `era` is later than its era. Other hosts are refused until
    /// the objects were listed in the new era; those that watch in an earlier one then list them
    /// again.
    void beginEra(store_object_kind kind, std::uint64_t era);
    /// Handles an answer of another host at `revision`, so that the cache is complete if this host
    /// becomes a reader.
    void onSourceAnswer(store_object_kind kind, const std::optional<store_update> &update,
                        std::uint64_t revision);
    /// Handles a failed call to the store: refuses all waiting hosts.
    void onStoreFailure(store_object_kind kind, relay_effect_list &effects);
    /// Answers, refuses or queues a call of another host.
    void onPeerStoreRequest(const peer_request_received &asked, time_point now,
                            relay_effect_list &effects);
    /// Drops the waiting call `id`, because its host disconnected.
    void onPeerDisconnected(request_id id);
    /// Answers the watches whose wait time has ended.
    void onTick(time_point now, relay_effect_list &effects);
    /// When `onTick` is next due; empty if no host is waiting.
    std::optional<time_point> nextDeadline() const;

private:
    /// Age of the last answer of the store up to which the cache counts as up to date. Covers a
    /// watch of the store, its response time and the time to detect a failure.
    static constexpr std::chrono::milliseconds maxCacheAge{6000};

    struct kind_cache
    {
        store_cache cache;
        std::optional<time_point> confirmedAt;
        std::uint64_t era = 0;
    };
    struct waiting_host
    {
        store_call call;
        time_point deadline;
    };

    bool isUpToDate(const kind_cache &state, time_point now) const;
    void answerWaitingHosts(store_object_kind kind, time_point now, relay_effect_list &effects);

    bool m_readsStore = true;
    std::map<store_object_kind, kind_cache> m_caches;
    std::map<std::uint64_t, waiting_host> m_waiting;
};

} // namespace waxwing::relay
