#pragma once

#include "http/message.h"

#include <chrono>

namespace waxwing {

/// Parses `Retry-After` of a response. Zero if it is missing or malformed; at most an hour.
std::chrono::milliseconds readRetryAfter(const http::response &message);

} // namespace waxwing
