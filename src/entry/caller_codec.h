#pragma once

#include "command/command_types.h"
#include "core/refusal.h"
#include "http/message.h"
#include "query/search_types.h"

#include <string>
#include <variant>

namespace waxwing {
/// Parsed request of a caller, or the error response to an invalid one.
using caller_request = std::variant<search_request, command_request, refusal>;

/// Parses a request of the callers' API (docs/design.md, section 4.1).
caller_request parseCallerRequest(const http::request &message);

/// HTTP response for a search.
http::response formatSearchOutcome(const search_outcome &outcome);

/// HTTP response for a command.
http::response formatCommandOutcome(const command_outcome &outcome);

} // namespace waxwing
