#include "console/overview_page.h"

#include "configuration/coverage_timeline.h"
#include "configuration/wall_time_text.h"
#include "console/form_page.h"
#include "console/html.h"

#include <fmt/format.h>

namespace waxwing {
namespace {

std::string renderCoverage(const configuration &document, const service &owner, wall_time now)
{
    std::string result;
    for (const auto &point : coverageTimeline(document, owner, now)) {
        result += fmt::format("{} {:.1f}%<br>",
                              point.from == now ? "now" : "from " + formatWallTime(point.from),
                              point.ratio * 100);
    }
    return result;
}

std::string renderServices(const configuration &document, wall_time now)
{
    std::string result = "<h2>Services</h2><table><thead><tr><th>Service</th><th>Shards</th>"
                         "<th>Deadline</th><th>Coverage until the shutdown</th></tr></thead>"
                         "<tbody>\n";
    for (const auto &owner : document.services) {
        const auto id = escapeHtml(owner.id.value);
        result += fmt::format("<tr><td><a href=\"/service?id={0}\">{0}</a></td><td>{1}</td>"
                              "<td>{2} ms</td><td>{3}</td></tr>\n",
                              id, owner.partitionings.back().shards.size(),
                              owner.policy.deadline.count(), renderCoverage(document, owner, now));
    }
    return result + "</tbody></table>\n";
}

std::string renderServers(const configuration &document)
{
    std::string result = "<h2>Backend servers</h2><table><thead><tr><th>Server</th><th>Zone</th>"
                         "<th>Address</th><th>Leaves at</th></tr></thead><tbody>\n";
    for (const auto &server : document.servers) {
        const auto id = escapeHtml(server.id.value);
        result += fmt::format("<tr><td><a href=\"/departure?id={0}\">{0}</a></td><td>{1}</td>"
                              "<td>{2}</td><td>{3}</td></tr>\n",
                              id, escapeHtml(server.zone.value), server.address.toString(),
                              server.leavesAt ? formatWallTime(*server.leavesAt) : "stays");
    }
    return result + "</tbody></table>\n";
}

std::string renderHosts(const std::vector<host_report> &hosts)
{
    std::string result = "<h2>Entry hosts</h2><table><thead><tr><th>Host</th><th>Address</th>"
                         "<th>Zone</th><th>Revision</th></tr></thead><tbody>\n";
    for (const auto &host : hosts) {
        const auto revision =
            host.problem.empty() ? std::to_string(host.revision) : "not reached: " + host.problem;
        result += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                              escapeHtml(host.host), host.address.toString(), escapeHtml(host.zone),
                              escapeHtml(revision));
    }
    return result + "</tbody></table>\n";
}

std::string renderRevision(const configuration &document)
{
    return fmt::format("<h2>Revision {}</h2><p>by {}: {}</p>\n", document.revision,
                       escapeHtml(document.changedBy), escapeHtml(document.reason));
}

} // namespace

std::string renderOverview(const absl::StatusOr<configuration> &current,
                           const std::vector<host_report> &hosts, wall_time now)
{
    if (!current.ok()) {
        return fmt::format("<p class=\"error\">The accepted configuration is not known: {}. Entry "
                           "hosts keep the one in force; changes are not possible now.</p>\n",
                           escapeHtml(std::string(current.status().message())))
            + renderHosts(hosts);
    }
    auto result = renderRevision(*current);
    result += fmt::format("<p>Shutdown at {}</p>\n", formatWallTime(current->shutdownAt));
    for (const auto &line : summarizeForce(hosts, current->revision).lines)
        result += fmt::format("<p>{}</p>\n", escapeHtml(line));
    return result + renderServices(*current, now) + renderHosts(hosts) + renderServers(*current);
}

std::string renderHistory(const std::vector<absl::StatusOr<configuration>> &revisions)
{
    std::string result;
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        if (!revisions[i].ok()) {
            result += fmt::format("<p class=\"error\">{}</p>\n",
                                  escapeHtml(std::string(revisions[i].status().message())));
            continue;
        }
        result += renderRevision(*revisions[i]);
        if (i + 1 < revisions.size() && revisions[i + 1].ok())
            result += renderDifferences(compareConfigurations(*revisions[i + 1], *revisions[i]));
    }
    return result;
}

} // namespace waxwing
