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

/// One state of the index of a service. A newer partitioning goes before a newer version.
struct snapshot
{
    /// Generation of the partitioning into shards.
    std::uint32_t partitioning = 0;
    /// Version of the index.
    std::uint64_t version = 0;

    auto operator<=>(const snapshot &) const = default;
};

/// One found document.
struct hit
{
    /// Id of the document.
    std::string id;
    /// Relevance; higher comes first.
    double score = 0;

    bool operator==(const hit &) const = default;
};

/// Order of hits in every list: score descending, then id ascending.
bool ranksBefore(const hit &left, const hit &right);

/// Position after which the next page starts.
struct page_cursor
{
    /// Snapshot of the first page.
    snapshot at;
    /// Last hit of the page before.
    hit after;

    bool operator==(const page_cursor &) const = default;
};

/// Search as a caller sends it.
struct search_request
{
    /// Service that is searched.
    service_id service;
    /// Query text.
    std::string query;
    /// Hits wanted on the page.
    std::uint32_t limit = 10;
    /// Set on later pages.
    std::optional<page_cursor> cursor;
    /// Time left when the request arrived; zero for "as the policy of the service says".
    std::chrono::milliseconds timeout{0};
    /// Who asks, for fair shares; empty if unknown.
    std::string caller;
    /// Trace of the caller.
    trace_context trace;

    bool operator==(const search_request &) const = default;
};

/// How much of the data an answer covers, in documents of its snapshot.
struct search_coverage
{
    /// Documents searched.
    std::uint64_t documentsSearched = 0;
    /// Documents of the snapshot.
    std::uint64_t documentsTotal = 0;
    /// Shards with documents that were not searched, in order.
    std::vector<shard_id> missingShards;

    bool operator==(const search_coverage &) const = default;
    /// Whether every document was searched.
    bool isComplete() const { return missingShards.empty() && documentsSearched == documentsTotal; }
};

/// Answer to a search.
struct search_answer
{
    /// Service that was searched.
    service_id service;
    /// Snapshot of every hit.
    snapshot at;
    /// Hits in order.
    std::vector<hit> hits;
    /// What was searched.
    search_coverage coverage;
    /// Set where there may be more hits.
    std::optional<page_cursor> next;

    bool operator==(const search_answer &) const = default;
};

/// What a search ends with.
using search_outcome = std::variant<search_answer, refusal>;

/// Search of one shard, as sent to a backend server.
struct leaf_search
{
    /// Service that is searched.
    service_id service;
    /// Shard that is searched.
    shard_id shard;
    /// Snapshot that is searched.
    snapshot at;
    /// Query text.
    std::string query;
    /// Hits wanted.
    std::uint32_t limit = 10;
    /// Last hit of the page before.
    std::optional<hit> after;

    bool operator==(const leaf_search &) const = default;
};

/// Reply of a backend server to a `leaf_search`.
struct leaf_answer
{
    /// Service that was searched.
    service_id service;
    /// Shard that was searched.
    shard_id shard;
    /// Snapshot that was searched.
    snapshot at;
    /// Documents of the shard that were searched.
    std::uint64_t documentsSearched = 0;
    /// Documents of the shard in this snapshot.
    std::uint64_t documentsTotal = 0;
    /// Hits in order.
    std::vector<hit> hits;
    /// Snapshots of the shard that the server holds.
    std::vector<snapshot> held;

    bool operator==(const leaf_answer &) const = default;
};

/// Why a request to a backend server got no usable reply.
enum class leaf_error {
    /// No connection was free or could be opened; nothing was sent.
    NotConnected,
    /// The connection broke with the request in progress.
    ConnectionLost,
    /// No reply in time.
    Timeout,
    /// Refused for load; not run.
    Overloaded,
    /// Refused because the server is leaving; not run.
    Draining,
    /// The server does not hold the snapshot; not run.
    VersionNotHeld,
    /// Cancelled on request.
    Cancelled,
    /// The reply cannot be read or belongs to another request.
    Malformed,
    /// The server reported any other error.
    Failed,
};

/// A failed request to a backend server.
struct leaf_failure
{
    /// Kind of failure.
    leaf_error error = leaf_error::Failed;
    /// Explanation for logs.
    std::string detail;
    /// When the server may be asked again.
    std::chrono::milliseconds retryAfter{0};
    /// Snapshots that the server holds; set with `VersionNotHeld`.
    std::vector<snapshot> held;

    bool operator==(const leaf_failure &) const = default;
};

/// What a `leaf_search` ends with.
using leaf_outcome = std::variant<leaf_answer, leaf_failure>;

/// State that a backend server reports about itself. May lag or mislead.
struct leaf_health
{
    /// Snapshots held of one shard.
    struct held_shard
    {
        /// Service of the shard.
        service_id service;
        /// The shard.
        shard_id shard;
        /// Snapshots held.
        std::vector<snapshot> held;

        bool operator==(const held_shard &) const = default;
    };

    /// Whether the server says that it is leaving.
    bool draining = false;
    /// Whether the server says that it is still starting.
    bool starting = false;
    /// Snapshots held of each shard.
    std::vector<held_shard> shards;

    bool operator==(const leaf_health &) const = default;
};

} // namespace waxwing
