#pragma once

#include "core/endpoint.h"
#include "relay/relay_types.h"
#include "relay/route_document.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing::relay {

// The era of the store rises each time that the store was restored from an older copy. Changes that
// were acknowledged before may then be missing, and their revisions are given out again. A store
// that states no era is in era 0.

/// Kinds of objects in the platform's store that a host watches.
enum class store_object_kind {
    /// The route document.
    Routes,
    /// The backend servers.
    Servers,
    /// The zones whose servers receive no requests.
    Evacuations,
};

/// Content that could not be decoded, for example because a different program wrote the object.
struct unusable_object
{
    std::string reason;

    bool operator==(const unusable_object &) const = default;
};

/// Zone whose servers receive no requests until the object is removed.
struct evacuated_zone
{
    zone_id zone;

    bool operator==(const evacuated_zone &) const = default;
};

/// Object in the platform's store.
struct store_object
{
    std::string name;
    /// Store revision of its last change.
    std::uint64_t revision = 0;
    /// Whether it was removed; `content` then holds an `unusable_object`.
    bool removed = false;
    std::variant<unusable_object, std::shared_ptr<const route_document>, registered_server,
                 evacuated_zone>
        content;
    /// The object as received from the store; returned unchanged to other hosts.
    std::string text{};

    bool operator==(const store_object &) const = default;
};

/// Reads one page of the objects of a kind.
struct list_call
{
    /// Name of the last object of the previous page; empty for the first page.
    std::string after;
    /// Whether the store may answer from data that is seconds old.
    bool mayBeStale = false;

    bool operator==(const list_call &) const = default;
};

/// Waits for changes to the objects of a kind.
struct watch_call
{
    /// Changes after this revision are returned.
    std::uint64_t revision = 0;
    /// Time after which the store answers even if nothing has changed.
    std::chrono::milliseconds wait{0};
    /// Era in which `revision` was received. Revisions of different eras are not comparable.
    std::uint64_t era = 0;

    bool operator==(const watch_call &) const = default;
};

/// Call to the store, or to a host that answers in its place.
struct store_call
{
    store_object_kind kind = store_object_kind::Routes;
    /// Increases with every call, so that the result of an earlier call can be recognised.
    std::uint64_t number = 0;
    std::variant<list_call, watch_call> how;
    /// Host that receives the call in place of the store; empty for the store itself.
    std::optional<endpoint> source{};
    /// Whether the caller accepts a compressed answer.
    bool acceptsCompression = false;

    bool operator==(const store_call &) const = default;
};

/// Result of a `store_call`: a page of objects, or changes.
struct store_answer
{
    /// Objects ordered by name, or changes ordered by revision.
    std::vector<store_object> objects;
    /// Whether another page follows.
    bool more = false;
    /// Store revision to pass to the next watch.
    std::uint64_t revision = 0;

    bool operator==(const store_answer &) const = default;
};

/// Complete set of the objects of a kind, or changes to it.
struct store_update
{
    /// Whether `objects` replaces the whole set. Otherwise it holds changes.
    bool isComplete = false;
    std::vector<store_object> objects;

    bool operator==(const store_update &) const = default;
};

/// Reason why a call to the store failed.
enum class store_failure {
    /// No connection could be made, so the call had no effect.
    Unreachable,
    /// The connection closed or the call timed out before an answer arrived.
    NoAnswer,
    /// The store, or the host called in its place, reported that it cannot answer now.
    Unavailable,
    /// The store rejected the call because it receives too many.
    TooManyCalls,
    /// The store no longer keeps the changes after the requested revision.
    HistoryGone,
    /// The answer could not be decoded.
    Malformed,
};

/// Text of a failure for log lines.
std::string_view failureName(store_failure reason);

} // namespace waxwing::relay
