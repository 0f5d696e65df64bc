#include "relay/record_merge.h"

#include <algorithm>

namespace waxwing::relay {

std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.substr(offset, recordBytes));
    }
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(std::min(count, records.size()));
    // string_view compares characters as unsigned bytes.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string result;
    result.reserve(static_cast<std::size_t>(end - records.begin()) * recordBytes);
    for (auto record = records.begin(); record != end; ++record)
        result.append(*record);
    return result;
}

} // namespace waxwing::relay
