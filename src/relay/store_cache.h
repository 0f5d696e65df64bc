#pragma once

#include "relay/store_types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace waxwing::relay {

/// What a host that reads the store knows about one kind, for the hosts that ask it.
class store_cache
{
public:
    /// Takes over what the store said.
    void apply(const store_update &update, std::uint64_t revision);
    /// The store said that nothing changed up to `revision`.
    void confirm(std::uint64_t revision);
    /// Forgets everything.
    void clear();

    /// Whether it holds all objects.
    bool isComplete() const { return m_isComplete; }
    /// Revision of the store that it has.
    std::uint64_t revision() const { return m_revision; }
    /// All objects.
    store_answer list() const;
    /// The changes after `revision`; empty if they are forgotten.
    std::optional<store_answer> changesAfter(std::uint64_t revision) const;

private:
    /// Changes that are kept; more than a minute of a deployment of 5,400 servers.
    static constexpr std::size_t maxChanges = 2000;

    bool m_isComplete = false;
    std::uint64_t m_revision = 0;
    /// Changes after this revision are in `m_changes`.
    std::uint64_t m_oldest = 0;
    std::map<std::string, store_object> m_objects;
    std::deque<store_object> m_changes;
};

} // namespace waxwing::relay
