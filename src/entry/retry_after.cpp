#include "entry/retry_after.h"

#include <algorithm>
#include <charconv>

namespace waxwing {

std::chrono::milliseconds readRetryAfter(const http::response &message)
{
    constexpr std::int64_t maxSeconds = 3600;
    const std::string text = http::findHeader(message.headers, "Retry-After").value_or("");
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || seconds < 0)
        return std::chrono::milliseconds(0);
    return std::chrono::seconds(std::min(seconds, maxSeconds));
}

} // namespace waxwing
