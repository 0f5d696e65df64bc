#pragma once

#include "core/random.h"
#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/store_roles.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace waxwing::relay {

/// Periods of `store_follower`.
struct store_follower_settings
{
    /// Longest time that a watch waits. A watch whose answer is lost ends no sooner, and hosts have
    /// to know of changes within 5 s of the end of an outage.
    std::chrono::milliseconds watchWait{4000};
    /// Time from a change to the next watch, so that changes that come together cost one call.
    std::chrono::milliseconds batchTime{300};
    /// Time before the first repeat of a failed call; doubled with each further one.
    std::chrono::milliseconds firstRetry{100};
    /// Longest time before the repeat of a failed call. Calls are paid for, failed ones too, and
    /// changes have to be known within 5 s of the end of an outage.
    std::chrono::milliseconds longestRetry{1600};
    /// Longest time that a watch of another host waits. Two are asked in turn, so a change that one
    /// of them misses is known after this time.
    std::chrono::milliseconds peerWait{1500};
    /// Time for which a host that did not answer is not asked, and for which the store is read in
    /// its place; about the time in which members notice that one of them is gone.
    std::chrono::milliseconds directTime{4000};
    /// Time before another host is asked after one refused because it is not up to date itself.
    std::chrono::milliseconds refusedRetry{250};
    /// Refusals in a row after which the store is read directly.
    std::size_t refusalsToRead = 4;
    /// Time after the start before the first call, in which a host learns of the others, so that a
    /// fleet that starts at once does not read the store on every host.
    std::chrono::milliseconds firstCallDelay{150};
    /// Further time before the first question to another host, in which that one reads the store.
    std::chrono::milliseconds firstQuestionDelay{300};

    bool operator==(const store_follower_settings &) const = default;
};

/// Keeps a copy of the objects of one kind up to date: reads all of them once, then watches for
/// changes, and reads all of them again only if the store has forgotten the changes in between.
///
/// The load pattern that this answers: the store is slow, silent, refuses some hosts or forgets
/// its history, while every call is paid for.
class store_follower
{
public:
    store_follower(followed_kind kind, store_follower_settings settings);

    /// Begins to read.
    void start(time_point now);
    /// Changes where the host reads.
    void setRole(store_role role, time_point now);
    /// Takes the end of a call. Empty if it is not a call in progress or brought nothing.
    std::optional<store_update> onCalled(const store_call_ended &ended, time_point now,
                                         random_engine &random);
    /// Makes the call that is due.
    void onTick(time_point now, relay_effect_list &effects);
    /// When `onTick` is next due; empty while a call is in progress.
    std::optional<time_point> nextDeadline() const { return m_dueAt; }

    /// Whether all objects have been read once.
    bool hasListed() const { return m_hasListed; }
    /// Failed calls since the last one that succeeded.
    std::uint32_t failures() const { return m_failures; }
    /// Revision of the store that the copy has.
    std::uint64_t revision() const { return m_revision; }

private:
    std::optional<endpoint> sourceAt(time_point now) const;
    void onSourceFailure(const endpoint &source, store_failure reason, time_point now);
    void onDirectFailure(time_point now);
    void readDirectly(time_point now);
    std::optional<store_update> onAnswer(const store_call &call, const store_answer &answer,
                                         time_point now);
    void onFailure(store_failure reason, time_point now, random_engine &random);

    followed_kind m_kind;
    store_role m_role;
    /// Number of calls to other hosts, for taking turns.
    std::size_t m_turn = 0;
    /// Refusals of other hosts in a row.
    std::size_t m_refusals = 0;
    /// When hosts that did not answer may be asked again.
    std::map<endpoint, time_point> m_silentUntil;
    /// Until when the store is read although other hosts could be asked.
    time_point m_directUntil{};
    /// When that may begin again.
    time_point m_nextDirect{};
    store_follower_settings m_settings;
    std::uint64_t m_number = 0;
    bool m_isCalling = false;
    bool m_mustList = true;
    bool m_hasListed = false;
    bool m_hasAsked = false;
    std::uint32_t m_failures = 0;
    std::uint64_t m_revision = 0;
    std::vector<store_object> m_pages;
    std::optional<time_point> m_dueAt;
};

} // namespace waxwing::relay
