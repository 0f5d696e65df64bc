#pragma once

#include "query/search_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// The member `name` of an object, or null.
const nlohmann::json *findField(const nlohmann::json &object, const char *name);

/// The member `name` as a text, if it is one.
std::optional<std::string> textField(const nlohmann::json &object, const char *name);

/// The member `name` as a number, if it is one that is whole, not negative and at most `most`.
std::optional<std::uint64_t> numberField(const nlohmann::json &object, const char *name,
                                         std::uint64_t most = UINT64_MAX);

/// Members `partitioning` and `version`.
std::optional<snapshot> readSnapshot(const nlohmann::json &object);

/// List of snapshots; empty if one of them is malformed.
std::optional<std::vector<snapshot>> readSnapshots(const nlohmann::json *list);

} // namespace waxwing
