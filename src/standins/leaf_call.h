#pragma once

#include "http/message.h"
#include "query/search_types.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>

namespace waxwing::standins {

/// Search or command as a backend server receives it.
struct leaf_call
{
    /// Whether it is a command.
    bool isCommand = false;
    /// Request id as received: a string or a number.
    nlohmann::json requestId;
    /// The search; of a command only the service and the shard are set.
    leaf_search search;
    /// Document of a command.
    std::string document;
    /// Operation of a command.
    std::string operation;
    /// Payload of a command.
    nlohmann::json payload;

    /// Reads the body of `POST /search` or `POST /command`. Fails with InvalidArgument.
    static absl::StatusOr<leaf_call> parse(const http::request &message);
    /// Request id as it stands in the path of a cancellation.
    std::string requestKey() const;
    /// `service/document/payload` of a command.
    std::string commandKey() const;
    /// Whether the query, or the payload of a command, has the text `marker`.
    bool contains(const std::string &marker) const;
};

} // namespace waxwing::standins
