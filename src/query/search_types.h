#pragma once

#include "core/refusal.h"
#include "core/strong_id.h"
#include "core/trace_context.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Identifies a state of a service's index. Ordered by partitioning first, then by version.
struct snapshot
{
    /// Generation of the partitioning into shards.
    std::uint32_t partitioning = 0;
    /// Version of the index within the partitioning.
    std::uint64_t version = 0;

    auto operator<=>(const snapshot &) const = default;
};

/// Document that matches a query.
struct hit
{
    /// Document id.
    std::string id;
    /// Relevance; hits with a higher score rank first.
    double score = 0;

    bool operator==(const hit &) const = default;
};

/// Order of hits in all results: score descending, then id ascending.
bool ranksBefore(const hit &left, const hit &right);

/// Position after which the next page starts.
struct page_cursor
{
    /// Snapshot of the first page.
    snapshot at;
    /// Last hit of the previous page.
    hit after;

    bool operator==(const page_cursor &) const = default;
};

/// Search request of a caller.
struct search_request
{
    service_id service;
    /// Query text.
    std::string query;
    /// Maximum number of hits on the page.
    std::uint32_t limit = 10;
    /// Start of the page; empty for the first page.
    std::optional<page_cursor> cursor;
    /// Time left when the request arrived; zero selects the deadline of the service's policy.
    std::chrono::milliseconds timeout{0};
    /// Caller to which admission control attributes the search; empty if unknown.
    std::string caller;
    /// Trace context of the caller.
    trace_context trace;

    bool operator==(const search_request &) const = default;
};

/// Number of the snapshot's documents that an answer covers.
struct search_coverage
{
    std::uint64_t documentsSearched = 0;
    /// Documents in the snapshot.
    std::uint64_t documentsTotal = 0;
    /// Shards with documents that were not searched, in the order of the partitioning.
    std::vector<shard_id> missingShards;

    bool operator==(const search_coverage &) const = default;
    /// Whether every document was searched.
    bool isComplete() const { return missingShards.empty() && documentsSearched == documentsTotal; }
};

/// Answer to a search.
struct search_answer
{
    service_id service;
    /// Snapshot that all hits come from.
    snapshot at;
    /// Hits sorted by `ranksBefore`.
    std::vector<hit> hits;
    search_coverage coverage;
    /// Start of the next page; empty if there are no more hits.
    std::optional<page_cursor> next;

    bool operator==(const search_answer &) const = default;
};

/// Result of a search: an answer, which may be partial, or a refusal.
using search_outcome = std::variant<search_answer, refusal>;

/// Search of one shard on a backend server.
struct leaf_search
{
    service_id service;
    shard_id shard;
    /// Snapshot to search.
    snapshot at;
    /// Query text.
    std::string query;
    /// Maximum number of hits.
    std::uint32_t limit = 10;
    /// Last hit of the previous page; empty for the first page.
    std::optional<hit> after;

    bool operator==(const leaf_search &) const = default;
};

/// Reply of a backend server to a `leaf_search`.
struct leaf_answer
{
    service_id service;
    shard_id shard;
    /// Snapshot that was searched.
    snapshot at;
    /// Documents of the shard that were searched.
    std::uint64_t documentsSearched = 0;
    /// Documents of the shard in this snapshot.
    std::uint64_t documentsTotal = 0;
    /// Hits sorted by `ranksBefore`.
    std::vector<hit> hits;
    /// Snapshots of the shard that the server holds.
    std::vector<snapshot> held;

    bool operator==(const leaf_answer &) const = default;
};

/// Reason why a request to a backend server got no usable reply.
enum class leaf_error {
    /// No connection was free and none could be opened; nothing was sent.
    NotConnected,
    /// The connection closed with the request in progress; the server may have run it.
    ConnectionLost,
    /// No reply before the timeout.
    Timeout,
    /// The server refused the request because of its load; not run.
    Overloaded,
    /// The server refused the request because it is draining; not run.
    Draining,
    /// The server does not hold the snapshot; not run.
    VersionNotHeld,
    /// Cancelled at the request of this host.
    Cancelled,
    /// The reply cannot be parsed or belongs to another request.
    Malformed,
    /// The server reported any other error.
    Failed,
};

/// Failure of a request to a backend server.
struct leaf_failure
{
    leaf_error error = leaf_error::Failed;
    /// Description for logs.
    std::string detail;
    /// Minimum time before the next request to the server.
    std::chrono::milliseconds retryAfter{0};
    /// Snapshots that the server holds; set with `VersionNotHeld`.
    std::vector<snapshot> held;

    bool operator==(const leaf_failure &) const = default;
};

/// Result of a `leaf_search`.
using leaf_outcome = std::variant<leaf_answer, leaf_failure>;

/// Health report of a backend server. May be outdated or wrong.
struct leaf_health
{
    /// Snapshots that the server holds of one shard.
    struct held_shard
    {
        service_id service;
        shard_id shard;
        std::vector<snapshot> held;

        bool operator==(const held_shard &) const = default;
    };

    /// Whether the server reports that it is draining.
    bool draining = false;
    /// Whether the server reports that it is still starting.
    bool starting = false;
    /// Shards that the server holds.
    std::vector<held_shard> shards;

    bool operator==(const leaf_health &) const = default;
};

} // namespace waxwing
