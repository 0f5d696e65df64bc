#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace waxwing {

/// The platform's list of hosts, as far as entry hosts use it. It lags.
struct host_list
{
    /// Backend servers that are leaving, in order of their ids.
    std::vector<server_id> leavingServers;
    /// Gossip addresses of entry hosts, in order.
    std::vector<endpoint> entryHosts;

    bool operator==(const host_list &) const = default;

    /// Parses the body of `GET /hosts`. Entries with an unknown role or an unusable address are
    /// skipped, so that one bad entry does not hide the others.
    static absl::StatusOr<host_list> parse(std::string_view json);
};

} // namespace waxwing
