#include "standins/standin_log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <cstdio>

namespace waxwing::standins {

void logEvent(std::string_view event, nlohmann::json fields)
{
    fields["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    fields["event"] = event;
    fmt::print(stderr, "{}\n",
               fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace waxwing::standins
