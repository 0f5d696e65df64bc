#pragma once

#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/store_copy.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace waxwing::relay {

/// Answers the hosts that ask this one for what the store holds, in the way in which the store
/// answers: all objects of a kind, or its changes as soon as there is one.
///
/// The load pattern that this answers: a fleet in which every host reading the store itself would
/// cost more than a tenth of what the fleet serves.
class store_desk
{
public:
    /// Whether the host reads the store itself; one that does not refuses.
    void setReadsStore(bool readsStore);
    /// The store answered about a kind at `now`. `update` has what changed, if anything did.
    void onStoreAnswer(followed_kind kind, const std::optional<store_update> &update,
                       std::uint64_t revision, time_point now, relay_effect_list &effects);
    /// A call to the store about a kind failed.
    void onStoreFailure(followed_kind kind, relay_effect_list &effects);
    /// A host asks.
    void onAsked(const peer_request_received &asked, time_point now, relay_effect_list &effects);
    /// A host that waits has gone.
    void onGone(request_id id);
    /// Answers the hosts whose time to wait is over.
    void onTick(time_point now, relay_effect_list &effects);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;

private:
    /// Time after the last answer of the store for which the copy counts as up to date: a watch of
    /// the store, its time to answer and the time to notice.
    static constexpr std::chrono::milliseconds longestAge{6000};

    struct kind_state
    {
        store_copy copy;
        std::optional<time_point> confirmedAt;
    };
    struct waiting_host
    {
        store_call call;
        time_point until;
    };

    bool isCurrent(const kind_state &state, time_point now) const;
    void answerWaiting(followed_kind kind, time_point now, relay_effect_list &effects);

    bool m_readsStore = true;
    std::map<followed_kind, kind_state> m_kinds;
    std::map<std::uint64_t, waiting_host> m_waiting;
};

} // namespace waxwing::relay
