#include "core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace waxwing {

absl::StatusOr<endpoint> endpoint::parse(std::string_view text)
{
    const auto error = [text] {
        return absl::InvalidArgumentError("'" + std::string(text)
                                          + "' is not an endpoint of the form a.b.c.d:port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return error();

    endpoint result{std::string(text.substr(0, colon)), 0};
    in_addr ignored{};
    if (inet_pton(AF_INET, result.address.c_str(), &ignored) != 1)
        return error();

    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, result.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return error();
    return result;
}

std::string endpoint::toString() const
{
    return address + ":" + std::to_string(port);
}

} // namespace waxwing
