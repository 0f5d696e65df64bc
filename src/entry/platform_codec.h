#pragma once

#include "command/command_types.h"
#include "http/client.h"

namespace waxwing {

/// Request of a call to the platform's object API.
http::request formatPlatformCall(const platform_call &call);

/// Reads the end of a call. `Unavailable` says that nothing took effect, `Unknown` that a change
/// may have.
platform_result readPlatformResult(const platform_call &call, const http::client::outcome &outcome);

} // namespace waxwing
