#include "configuration/checks.h"
#include "configuration/json_pointer.h"
#include "configuration/wall_time_text.h"

namespace waxwing {

void checkTimes(const configuration &document, std::vector<configuration_problem> &problems)
{
    for (std::size_t i = 0; i < document.servers.size(); ++i) {
        const auto &leavesAt = document.servers[i].leavesAt;
        if (leavesAt && *leavesAt > document.shutdownAt) {
            problems.push_back({appendToPointer("/backend_servers", i) + "/leaves_at",
                                formatWallTime(*leavesAt) + " is after the shutdown at "
                                    + formatWallTime(document.shutdownAt)});
        }
    }
}

} // namespace waxwing
