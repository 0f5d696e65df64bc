#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// An entry host as another one sees it.
struct listed_member
{
    /// Id.
    std::string host;
    /// Availability zone.
    std::string zone;
    /// State, such as `alive`.
    std::string state;
    /// Revision of the configuration that it last announced.
    std::uint64_t revision = 0;

    bool operator==(const listed_member &) const = default;
};

/// What an entry host says about itself at its admin endpoint.
struct host_report
{
    /// Admin endpoint that was asked.
    endpoint address;
    /// Why there is no status; empty if there is one.
    std::string problem;
    /// Id of the host.
    std::string host;
    /// Availability zone.
    std::string zone;
    /// Revision of the configuration in force, 0 if there is none.
    std::uint64_t revision = 0;
    /// Digest of the configuration in force; see `formatDigest`.
    std::string digest;
    /// Members that it knows.
    std::vector<listed_member> members;

    bool operator==(const host_report &) const = default;
};

/// The text form of a digest in reports: 16 hexadecimal digits.
std::string formatDigest(std::uint64_t digest);

/// Reads the body of `GET /v1/status`. A malformed body is a `problem`.
host_report readHostReport(const endpoint &address, std::string_view body);

/// Where a revision is in force, as far as that is known.
struct force_summary
{
    /// Whether every known entry host was asked and runs the revision.
    bool everywhere = false;
    /// One line for each host that does not run the revision or was not reached, and a last line
    /// with the conclusion.
    std::vector<std::string> lines;

    bool operator==(const force_summary &) const = default;
};

/// Compares what hosts run with the accepted revision. What a host says about another one is too
/// old to count: it only shows which hosts were not asked.
force_summary summarizeForce(const std::vector<host_report> &hosts, std::uint64_t revision);

} // namespace waxwing
