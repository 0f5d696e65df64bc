#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace waxwing {

/// Kind of the object that holds the current configuration.
inline constexpr const char *configurationKind = "configuration";
/// Name of the object that holds the current configuration.
inline constexpr const char *currentName = "current";
/// Kind of the objects that hold one revision each; their names are the revisions.
inline constexpr const char *historyKind = "configuration-history";

/// A call of the platform's object API.
struct object_call
{
    /// Kind of the object.
    std::string kind;
    /// Name of the object.
    std::string name;
    /// Text to write; empty for a read.
    std::optional<std::string> value;
    /// Version that a written object must have, 0 if it must not exist.
    std::uint64_t version = 0;
    /// Pause before the call.
    std::chrono::milliseconds pause{0};

    bool operator==(const object_call &) const = default;
};

/// The object that a read found, or that a write met instead of the expected one.
struct found_object
{
    /// Version.
    std::uint64_t version = 0;
    /// Value as compact JSON text with sorted keys.
    std::string text;

    bool operator==(const found_object &) const = default;
};

/// There is no such object.
struct missing_object
{
    bool operator==(const missing_object &) const = default;
};

/// The write took effect.
struct object_written
{
    /// New version.
    std::uint64_t version = 0;

    bool operator==(const object_written &) const = default;
};

/// The object does not have the expected version.
struct write_conflict
{
    /// The current object, if the answer has it.
    std::optional<found_object> current;

    bool operator==(const write_conflict &) const = default;
};

/// No usable answer; the platform is down or slow, or the answer was lost.
struct call_failed
{
    /// Whether a write may have taken effect.
    bool mayHaveTakenEffect = false;
    /// Explanation for the operator.
    std::string detail;

    bool operator==(const call_failed &) const = default;
};

/// The platform refuses the call, and would again.
struct call_refused
{
    /// Explanation for the operator.
    std::string detail;

    bool operator==(const call_refused &) const = default;
};

/// What a call ended with.
using object_answer = std::variant<found_object, missing_object, object_written, write_conflict,
                                   call_failed, call_refused>;

} // namespace waxwing
