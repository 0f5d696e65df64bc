#pragma once

#include "relay/store_types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace waxwing::relay {

/// Cached objects of one kind and their recent changes, from which a host that reads the store
/// serves other hosts.
class store_cache
{
public:
    /// Applies an update from the store, which is then at `revision`.
    void apply(const store_update &update, std::uint64_t revision);
    /// Records that nothing has changed up to `revision`.
    void advanceRevision(std::uint64_t revision);
    /// Removes all objects and changes; `isComplete` is false afterwards.
    void clear();

    /// Whether a complete list has been applied.
    bool isComplete() const { return m_isComplete; }
    /// Store revision of the cached objects.
    std::uint64_t revision() const { return m_revision; }
    /// Returns all objects, ordered by name.
    store_answer list() const;
    /// Returns the changes after `revision`; empty if some of them are no longer kept.
    std::optional<store_answer> changesAfter(std::uint64_t revision) const;

private:
    /// Limit on the change log; covers more than a minute of a deployment of 5,400 servers.
    static constexpr std::size_t maxChanges = 2000;

    bool m_isComplete = false;
    std::uint64_t m_revision = 0;
    /// `m_changes` holds every change after this revision.
    std::uint64_t m_oldestRevision = 0;
    std::map<std::string, store_object> m_objects;
    std::deque<store_object> m_changes;
};

} // namespace waxwing::relay
