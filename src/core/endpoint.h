#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

/// IPv4 address and port of a TCP or UDP endpoint.
struct endpoint
{
    /// Dotted IPv4 address.
    std::string address;
    /// Port, 0 for "chosen by the system".
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /// Parses `a.b.c.d:port`.
    static absl::StatusOr<endpoint> parse(std::string_view text);
    /// The text form that `parse` takes.
    std::string toString() const;
};

} // namespace waxwing
