#pragma once

#include <string>

namespace waxwing {

/// A new change id: 128 random bits in hexadecimal digits.
std::string makeChangeId();

} // namespace waxwing
