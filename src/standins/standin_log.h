#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace waxwing::standins {

/// Writes one JSON line with the wall-clock time, `event` and `fields` to standard error.
void logEvent(std::string_view event, nlohmann::json fields = nlohmann::json::object());

} // namespace waxwing::standins
