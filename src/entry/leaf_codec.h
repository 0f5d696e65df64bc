#pragma once

#include "command/command_types.h"
#include "http/client.h"
#include "query/search_types.h"

#include <optional>
#include <string>
#include <variant>

namespace waxwing {

/// Builds the body of `POST /search`.
std::string formatLeafSearch(const std::string &requestId, const leaf_search &search);

/// Builds the body of `POST /command`.
std::string formatLeafCommand(const std::string &requestId, const leaf_command &command);

/// Parses the response to a search. A reply is accepted only if it repeats the request id, the
/// service, the shard and the snapshot of the request.
leaf_outcome readLeafSearch(const std::string &requestId, const leaf_search &search,
                            const http::client::outcome &outcome);

/// Parses the response to a command.
std::variant<leaf_command_answer, leaf_failure>
readLeafCommand(const std::string &requestId, const http::client::outcome &outcome);

/// Parses a health report. Returns nullopt if it is malformed.
std::optional<leaf_health> readLeafHealth(const http::response &message);

} // namespace waxwing
