#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::relay {

/// Size of a record, in bytes.
inline constexpr std::size_t recordBytes = 16;

/// Returns the greatest `count` records of all parts in descending order. Records are compared as
/// unsigned bytes, and duplicates are kept. An incomplete record at the end of a part is ignored.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace waxwing::relay
