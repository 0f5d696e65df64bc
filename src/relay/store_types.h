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

/// Objects of the platform's store that a host follows.
enum class store_object_kind {
    /// The document of routes.
    Routes,
    /// The backend servers.
    Servers,
};

/// Content of an object that cannot be used, such as one of another writer.
struct unusable_object
{
    /// What is wrong.
    std::string reason;

    bool operator==(const unusable_object &) const = default;
};

/// Object of the store.
struct store_object
{
    /// Name.
    std::string name;
    /// Revision of its last change.
    std::uint64_t revision = 0;
    /// Whether it was removed; `content` is unusable then.
    bool removed = false;
    /// Decoded content.
    std::variant<unusable_object, std::shared_ptr<const route_document>, registered_server> content;
    /// The object as the store wrote it, for hosts that ask this one.
    std::string text{};

    bool operator==(const store_object &) const = default;
};

/// Read a page of the objects of a kind.
struct list_call
{
    /// Name after which the page begins; empty for the first one.
    std::string after;

    bool operator==(const list_call &) const = default;
};

/// Wait for changes of a kind.
struct watch_call
{
    /// Revision after which changes are wanted.
    std::uint64_t revision = 0;
    /// Longest time that the store waits for a change.
    std::chrono::milliseconds wait{0};

    bool operator==(const watch_call &) const = default;
};

/// Call to the store.
struct store_call
{
    /// What is read.
    store_object_kind kind = store_object_kind::Routes;
    /// Number of the call, so that the end of an earlier one is recognised.
    std::uint64_t number = 0;
    /// How it is read.
    std::variant<list_call, watch_call> how;
    /// Host that is asked in place of the store; empty for the store itself.
    std::optional<endpoint> source{};

    bool operator==(const store_call &) const = default;
};

/// Page of objects, or changes.
struct store_answer
{
    /// Objects in the order of their names, or changes in the order of their revisions.
    std::vector<store_object> objects;
    /// Whether the page is not the last one.
    bool more = false;
    /// Revision of the store from which to watch.
    std::uint64_t revision = 0;

    bool operator==(const store_answer &) const = default;
};

/// What a host learned about the objects of a kind.
struct store_update
{
    /// Whether `objects` are all that there are. Otherwise they are changes.
    bool isComplete = false;
    /// Objects.
    std::vector<store_object> objects;

    bool operator==(const store_update &) const = default;
};

/// Why a call to the store gave nothing.
enum class store_failure {
    /// No connection to the store, so the call had no effect.
    Unreachable,
    /// The connection ended or the time passed without an answer.
    NoAnswer,
    /// The store says that it cannot answer now.
    Unavailable,
    /// The store has more calls than it takes.
    TooManyCalls,
    /// The changes after the revision are forgotten.
    HistoryGone,
    /// The answer cannot be read.
    Malformed,
};

/// Name of a failure for log lines.
std::string_view failureName(store_failure reason);

} // namespace waxwing::relay
