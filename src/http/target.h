#pragma once

#include "http/message.h"

#include <optional>
#include <string>

namespace waxwing::http {

/// Decoded parts of a request target.
struct target_parts
{
    /// Path without the query; `/` if there is none.
    std::string path;
    /// Parameters of the query, in order.
    header_list query;

    bool operator==(const target_parts &) const = default;
};

/// Decodes a request target; empty if it or its query is not well-formed.
std::optional<target_parts> parseTarget(const std::string &target);
/// Request target with the path and the query percent-encoded.
std::string formatTarget(const request &message);

} // namespace waxwing::http
