#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace waxwing {

/// The part of the platform's host list that entry hosts use. The list may be out of date.
struct host_list
{
    /// Backend servers with state `leaving`, sorted by id.
    std::vector<server_id> leavingServers;
    /// Gossip addresses of entry hosts, sorted.
    std::vector<endpoint> entryHosts;

    bool operator==(const host_list &) const = default;

    /// Parses the body of `GET /hosts`. Entries with an unknown role or an invalid address are
    /// skipped, so that one invalid entry does not hide the others. Fails with `InvalidArgument`
    /// if the body is not an object with an array `hosts`.
    static absl::StatusOr<host_list> parse(std::string_view json);
};

} // namespace waxwing
