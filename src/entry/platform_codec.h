#pragma once

#include "command/command_types.h"
#include "http/client.h"

namespace waxwing {

/// Builds the request for a call to the platform's object API.
http::request formatPlatformCall(const platform_call &call);

/// Parses the response to a call. `Unavailable` means that nothing took effect, `Unknown` that a
/// change may have taken effect.
platform_result readPlatformResult(const platform_call &call, const http::client::outcome &outcome);

} // namespace waxwing
