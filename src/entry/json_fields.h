#pragma once

#include "query/search_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {
/// Returns the member `name`, or null if it is missing or `object` is not an object.
const nlohmann::json *findField(const nlohmann::json &object, const char *name);

/// Returns the member `name` if it is a string.
std::optional<std::string> textField(const nlohmann::json &object, const char *name);

/// Returns the member `name` if it is an unsigned integer of at most `most`.
std::optional<std::uint64_t> numberField(const nlohmann::json &object, const char *name,
                                         std::uint64_t most = UINT64_MAX);

/// Reads the members `partitioning` and `version`; empty if one is malformed.
std::optional<snapshot> readSnapshot(const nlohmann::json &object);

/// Reads a list of snapshots; empty if it is null, not a list or has a malformed element.
std::optional<std::vector<snapshot>> readSnapshots(const nlohmann::json *list);

} // namespace waxwing
