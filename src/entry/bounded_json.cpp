#include "entry/bounded_json.h"

namespace waxwing {
namespace {
constexpr int maxDepth = 64;

/// Whether brackets outside strings have at most `maxDepth` levels of nesting.
bool isWithinMaxDepth(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxDepth)
                return false;
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return true;
}

} // namespace

absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view text)
{
    if (!isWithinMaxDepth(text))
        return absl::InvalidArgumentError("JSON is nested more than 64 deep");
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return absl::InvalidArgumentError("not valid JSON");
    return document;
}

bool isValidUtf8(std::string_view text)
{
    // nlohmann::json validates UTF-8 when it serialises a string and throws on an error.
    try {
        nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

} // namespace waxwing
