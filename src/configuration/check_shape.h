#pragma once

#include "configuration/parse.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace waxwing {

/// Checks the fields, types and ranges of a document against the JSON schema of configurations.
std::vector<configuration_problem> checkShape(const nlohmann::json &document);

} // namespace waxwing
