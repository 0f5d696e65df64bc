#include "configuration/wall_time_text.h"

#include <absl/time/time.h>

namespace waxwing {
namespace {

/// Whether the text starts with a four-digit year and ends with `Z`. `absl::ParseTime` also takes
/// white space, longer years, offsets and `infinite-future`.
bool isUtcForm(std::string_view text)
{
    return text.size() >= 20 && text.find_first_not_of("0123456789") == 4 && text[4] == '-'
        && text.find(' ') == std::string_view::npos && text.back() == 'Z';
}

} // namespace

absl::StatusOr<wall_time> parseWallTime(std::string_view text)
{
    const auto error = [text] {
        return absl::InvalidArgumentError(
            "'" + std::string(text.substr(0, 64))
            + "' is not a time in UTC of the form 2027-03-31T22:00:00Z with at most milliseconds");
    };
    absl::Time parsed;
    if (!isUtcForm(text)
        || !absl::ParseTime(absl::RFC3339_full, std::string(text), &parsed, nullptr))
        return error();
    const auto sinceEpoch = absl::ToInt64Milliseconds(parsed - absl::UnixEpoch());
    if (absl::FromUnixMillis(sinceEpoch) != parsed)
        return error();
    return wall_time(std::chrono::milliseconds(sinceEpoch));
}

std::string formatWallTime(wall_time time)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E*SZ",
                            absl::FromUnixMillis(time.time_since_epoch().count()),
                            absl::UTCTimeZone());
}

} // namespace waxwing
