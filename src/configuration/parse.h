#pragma once

#include "configuration/configuration.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// One thing that is wrong with a document.
struct configuration_problem
{
    /// JSON pointer to the field, such as `/services/0/policy/deadline_ms`.
    std::string field;
    /// What was expected and what was found.
    std::string reason;

    auto operator<=>(const configuration_problem &) const = default;
};

/// Every problem of a document; empty if it is valid. Checks shape first and meaning only where
/// the shape is right.
std::vector<configuration_problem> checkConfiguration(std::string_view json);

/// Parses and checks a document. Fails with InvalidArgument, naming every problem.
absl::StatusOr<configuration_copy> parseConfiguration(std::string json);

/// The document as JSON text, in a form that `parseConfiguration` takes.
std::string formatConfiguration(const configuration &document);

} // namespace waxwing
