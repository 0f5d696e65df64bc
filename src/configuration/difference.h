#pragma once

#include "configuration/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// A field that differs between two documents.
struct field_difference
{
    /// JSON pointer with the ids of elements instead of positions, such as
    /// `/services/gallery/partitionings/1/shards/s3/replicas`.
    std::string field;
    /// JSON text before; empty if the field was not there.
    std::optional<std::string> before;
    /// JSON text after; empty if the field is no longer there.
    std::optional<std::string> after;

    bool operator==(const field_difference &) const = default;
};

/// Fields that differ, in order of their pointers. Leaves out `revision`, `change_id`,
/// `changed_by` and `reason`, which differ between all revisions.
std::vector<field_difference> compareConfigurations(const configuration &before,
                                                    const configuration &after);

} // namespace waxwing
