#include "core/trace_context.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace waxwing {
namespace {

/// Lengths of the parts of `00-{32 hex}-{16 hex}-{2 hex}`.
constexpr std::size_t headerLength = 55;

template<typename Integer>
bool parseHex(std::string_view text, Integer &out)
{
    // The specification allows lower-case digits only.
    if (std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'F'; }))
        return false;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

} // namespace

std::optional<trace_context> trace_context::parse(std::string_view header)
{
    if (header.size() != headerLength || header.substr(0, 3) != "00-" || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    trace_context result;
    std::uint8_t flags = 0;
    if (!parseHex(header.substr(3, 16), result.traceHigh)
        || !parseHex(header.substr(19, 16), result.traceLow)
        || !parseHex(header.substr(36, 16), result.span) || !parseHex(header.substr(53, 2), flags))
        return std::nullopt;
    if ((result.traceHigh == 0 && result.traceLow == 0) || result.span == 0)
        return std::nullopt;
    result.sampled = (flags & 1U) != 0;
    return result;
}

std::string trace_context::toHeader() const
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", traceHigh, traceLow, span,
                       sampled ? 1 : 0);
}

} // namespace waxwing
