#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Position of a request in a distributed trace, as in the W3C `traceparent` header.
struct trace_context
{
    /// Upper half of the trace id.
    std::uint64_t traceHigh = 0;
    /// Lower half of the trace id.
    std::uint64_t traceLow = 0;
    /// Id of the span that sent the request.
    std::uint64_t span = 0;
    /// Whether the trace is recorded.
    bool sampled = false;

    auto operator<=>(const trace_context &) const = default;

    /// Parses a `traceparent` header of version 00; empty if it is malformed.
    static std::optional<trace_context> parse(std::string_view header);
    /// The `traceparent` header.
    std::string toHeader() const;
};

} // namespace waxwing
