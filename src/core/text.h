#pragma once

#include <absl/strings/string_view.h>

#include <string>
#include <string_view>

namespace waxwing {

/// The view that Abseil takes; Debian builds Abseil with a type of its own.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether two texts are the same but for the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// The text with its ASCII letters in lower case.
std::string lowerCase(std::string_view text);

/// The text without white space at both ends.
std::string_view trimmed(std::string_view text);

} // namespace waxwing
