#pragma once

#include "organisations/organisation.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// Organisations of one route document. Immutable.
class organisation_directory
{
public:
    /// Without organisations.
    organisation_directory() = default;
    /// Fails with InvalidArgument if two organisations have the same name or share a key, or if a
    /// key is empty, a quota negative, or a name unfit for a header field.
    static absl::StatusOr<organisation_directory> create(std::vector<organisation> organisations);

    /// Whether there are no organisations, so that keys are not checked.
    bool isEmpty() const { return m_organisations.empty(); }
    /// Organisations in the order of the document.
    const std::vector<organisation> &all() const { return m_organisations; }
    /// Organisation that holds `key`, or null. The directory owns it.
    const organisation *findByKey(std::string_view key) const;

    /// Greatest rank of the organisations; 0 if there are none.
    std::uint32_t leastUrgentRank() const { return m_leastUrgentRank; }

    bool operator==(const organisation_directory &other) const
    {
        return m_organisations == other.m_organisations;
    }

private:
    std::vector<organisation> m_organisations;
    std::uint32_t m_leastUrgentRank = 0;
    /// Maps a key to an index in `m_organisations`.
    absl::flat_hash_map<std::string, std::size_t> m_byKey;
};

} // namespace waxwing
