#pragma once

#include "http/message.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwing::standins {

/// Parses a JSON object. Fails with InvalidArgument.
absl::StatusOr<nlohmann::json> parseObject(std::string_view text);

/// Sets `target` to the field `name` if it is there. Fails with InvalidArgument on another type;
/// integer targets take no negative numbers.
absl::Status readField(const nlohmann::json &object, const char *name, bool &target);
absl::Status readField(const nlohmann::json &object, const char *name, double &target);
absl::Status readField(const nlohmann::json &object, const char *name, std::uint64_t &target);
absl::Status readField(const nlohmann::json &object, const char *name, std::string &target);

/// Fails with InvalidArgument if `object` has a field that is not in `known`, so that a misspelt
/// fault is not ignored.
absl::Status checkFieldNames(const nlohmann::json &object,
                             std::initializer_list<std::string_view> known);

/// 400 with the message of `status`.
http::response badRequest(const absl::Status &status);

} // namespace waxwing::standins
