#pragma once

#include "configuration/configuration_edit.h"
#include "configuration/difference.h"
#include "configuration/parse.h"

#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// An edit with what every accepted change states about itself.
struct change_proposal
{
    /// What is changed.
    configuration_edit edit;
    /// Unique id of the change.
    std::string changeId;
    /// Operator.
    std::string changedBy;
    /// Why.
    std::string reason;
    /// Whether the change may leave further shards without a replica before the shutdown.
    bool allowUncovered = false;

    bool operator==(const change_proposal &) const = default;
};

/// A change that may be sent to the platform.
struct prepared_change
{
    /// The document after the change.
    configuration_copy next;
    /// What it changes.
    std::vector<field_difference> differences;
};

/// Every reason why a change is refused. Fields name elements by their ids.
using change_problems = std::vector<configuration_problem>;

/// Applies the proposal to `current` and checks the result. `current` has revision 0 where there
/// is no configuration yet. Shards that `current` already leaves uncovered need no new permission.
std::variant<prepared_change, change_problems> prepareChange(const configuration &current,
                                                             const change_proposal &proposal);

} // namespace waxwing
