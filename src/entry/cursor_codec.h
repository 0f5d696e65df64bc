#pragma once

#include "query/search_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Cursor as callers see it: URL-safe Base64 of JSON.
std::string encodeCursor(const page_cursor &cursor);

/// Reads a cursor of `encodeCursor`; empty if it is anything else.
std::optional<page_cursor> decodeCursor(std::string_view text);

} // namespace waxwing
