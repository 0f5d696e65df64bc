#pragma once

#include "configuration/configuration.h"
#include "events/effect.h"
#include "events/event.h"
#include "membership/member.h"

#include <memory>
#include <optional>

namespace waxwing {

struct entry_settings;

/// Whole state of an entry host. Moved through the reducer; never copied.
class entry_state
{
public:
    /// The state of a host before its `started` event.
    static entry_state create(const entry_settings &settings);
    entry_state(entry_state &&) noexcept;
    entry_state &operator=(entry_state &&) noexcept;
    ~entry_state();

    /// When the next `tick` is due; empty if none is.
    std::optional<time_point> nextDeadline() const;
    /// Whether the host can serve: it has a configuration and is not stopping.
    bool isReady() const;
    /// The configuration in force.
    const configuration_copy &currentConfiguration() const;
    /// Members and valid facts, for peers that start and for the status page.
    peer_state peerState(time_point now) const;

    /// Parts of the state; for the reducer only.
    struct parts;

private:
    friend class entry_reducer;
    explicit entry_state(std::unique_ptr<parts> content);
    std::unique_ptr<parts> m_parts;
};

/// State after an event and what is to be done.
struct reduction
{
    /// State after the event.
    entry_state state;
    /// Effects, in order.
    effect_list effects;
};

/// The decisions of an entry host as one function of state and event.
class entry_reducer
{
public:
    /// Handles one event. The same state and event always give the same result.
    static reduction reduce(entry_state state, const event &input);
};

} // namespace waxwing
