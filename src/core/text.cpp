#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace waxwing {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(toAbsl(left), toAbsl(right));
}

std::string lowerCase(std::string_view text)
{
    return absl::AsciiStrToLower(toAbsl(text));
}

std::string_view trimmed(std::string_view text)
{
    const absl::string_view result = absl::StripAsciiWhitespace(toAbsl(text));
    return {result.data(), result.size()};
}

} // namespace waxwing
