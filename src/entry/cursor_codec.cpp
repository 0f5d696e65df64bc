#include "entry/cursor_codec.h"

#include "entry/bounded_json.h"

#include <absl/strings/escaping.h>

#include <limits>

namespace waxwing {

std::string encodeCursor(const page_cursor &cursor)
{
    const nlohmann::json document{
        {"p", cursor.at.partitioning},
        {"v", cursor.at.version},
        {"i", cursor.after.id},
        {"s", cursor.after.score},
    };
    return absl::WebSafeBase64Escape(
        document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::optional<page_cursor> decodeCursor(std::string_view text)
{
    std::string decoded;
    if (!absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &decoded))
        return std::nullopt;
    const auto document = parseBoundedJson(decoded);
    if (!document.ok() || !document->is_object())
        return std::nullopt;
    const auto field = [&document](const char *name) {
        return document->value(name, nlohmann::json());
    };
    const auto partitioning = field("p");
    const auto version = field("v");
    const auto id = field("i");
    const auto score = field("s");
    if (!partitioning.is_number_unsigned() || !version.is_number_unsigned() || !id.is_string()
        || !score.is_number()
        || partitioning.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return page_cursor{{partitioning.get<std::uint32_t>(), version.get<std::uint64_t>()},
                       {id.get<std::string>(), score.get<double>()}};
}

} // namespace waxwing
