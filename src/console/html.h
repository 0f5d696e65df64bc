#pragma once

#include "http/message.h"

#include <string>
#include <string_view>

namespace waxwing {

/// The text with the characters that HTML gives a meaning replaced, for content and attributes.
std::string escapeHtml(std::string_view text);

/// A whole page around `body`, which is HTML. Forbids scripts, frames and caches.
http::response htmlPage(int status, std::string_view title, std::string_view body);

/// The style sheet that pages refer to.
http::response styleSheet();

} // namespace waxwing
