#pragma once

#include "configuration/configuration.h"
#include "events/effect.h"
#include "events/event.h"
#include "membership/member.h"

#include <memory>
#include <optional>

namespace waxwing {
struct entry_settings;

/// Complete state of an entry host. Moved through the reducer and never copied.
class entry_state
{
public:
    /// Returns the state before the `started` event.
    static entry_state create(const entry_settings &settings);
    entry_state(entry_state &&) noexcept;
    entry_state &operator=(entry_state &&) noexcept;
    ~entry_state();

    /// Time of the next `tick`; empty if none is needed.
    std::optional<time_point> nextDeadline() const;
    /// Whether the host has a configuration and is not stopping.
    bool isReady() const;
    const configuration_copy &currentConfiguration() const;
    /// Members, valid facts and configuration, for starting peers and the status page.
    peer_state peerState(time_point now) const;

    /// Used by the reducer only.
    struct parts;

private:
    friend class entry_reducer;
    explicit entry_state(std::unique_ptr<parts> content);
    std::unique_ptr<parts> m_parts;
};

/// Result of handling one event.
struct reduction
{
    entry_state state;
    /// Effects to perform, in order.
    effect_list effects;
};

/// Decision logic of an entry host as a function of state and event, without I/O.
class entry_reducer
{
public:
    /// Handles one event. Deterministic: the same state and event give the same result.
    static reduction reduce(entry_state state, const event &input);
};

} // namespace waxwing
