#pragma once

#include "configuration/configuration.h"
#include "telemetry/logger.h"

#include <string>
#include <string_view>

namespace waxwing {

/// Parses and validates the text of a configuration from `source`, such as the address of a peer.
/// Logs the problems of an invalid configuration and returns a copy whose document is null.
configuration_copy parseReceived(const std::string &text, std::string_view source, logger &log);

} // namespace waxwing
