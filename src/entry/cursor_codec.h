#pragma once

#include "query/search_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {
/// Encodes a cursor for callers as URL-safe Base64 of a JSON object.
std::string encodeCursor(const page_cursor &cursor);

/// Decodes the output of `encodeCursor`. Returns nullopt for invalid text.
std::optional<page_cursor> decodeCursor(std::string_view text);

} // namespace waxwing
