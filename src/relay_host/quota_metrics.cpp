#include "relay_host/quota_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace waxwing::relay {
namespace {

/// Name of an organisation as a part of the name of a metric.
std::string exportedName(std::string name)
{
    std::replace_if(
        name.begin(), name.end(),
        [](char c) {
            return !((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'));
        },
        '_');
    return name;
}

void renderCounter(std::string &text, const std::string &name, const std::string &organisation,
                   std::uint64_t value)
{
    const std::string full =
        fmt::format("waxwing_relay_quota_{}_total_{}", name, exportedName(organisation));
    fmt::format_to(std::back_inserter(text), "# TYPE {} counter\n{} {}\n", full, full, value);
}

void renderCounts(std::string &text, const std::string &organisation, const quota_counts &counts)
{
    renderCounter(text, "granted", organisation, counts.granted);
    renderCounter(text, "refused", organisation, counts.refused);
    renderCounter(text, "no_room", organisation, counts.noRoom);
}

} // namespace

void renderQuotaMetrics(std::string &text, const quota_status &status, time_point now)
{
    if (!status.isActive)
        return;
    const std::chrono::duration<double> age = now - status.shareSince;
    fmt::format_to(std::back_inserter(text),
                   "# TYPE waxwing_relay_quota_owner gauge\nwaxwing_relay_quota_owner {}\n"
                   "# TYPE waxwing_relay_quota_share gauge\nwaxwing_relay_quota_share {:.4f}\n"
                   "# TYPE waxwing_relay_quota_share_age_seconds gauge\n"
                   "waxwing_relay_quota_share_age_seconds {:.3f}\n",
                   status.isOwner ? 1 : 0, status.share, age.count());
    for (const auto &[organisation, counts] : status.organisations)
        renderCounts(text, organisation, counts);
    renderCounts(text, "others", status.others);
}

} // namespace waxwing::relay
