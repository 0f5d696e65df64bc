#include "ctl/host_report.h"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <map>
#include <set>

namespace waxwing {
namespace {

using nlohmann::json;

std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t numberOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/// Hosts that others list and that were not asked, with the state that was listed.
std::map<std::string, std::string> findUnasked(const std::vector<host_report> &hosts)
{
    std::set<std::string> asked;
    for (const auto &host : hosts)
        asked.insert(host.host);
    std::map<std::string, std::string> result;
    for (const auto &host : hosts) {
        for (const auto &member : host.members) {
            // A dead member serves nobody; it adopts the newest revision before it serves again.
            if (member.state != "dead" && asked.count(member.host) == 0)
                result.emplace(member.host, member.state);
        }
    }
    return result;
}

std::string describe(const host_report &host, std::uint64_t revision)
{
    if (!host.problem.empty())
        return fmt::format("{}: not reached ({})", host.address.toString(), host.problem);
    const auto name = fmt::format("{} ({})", host.host, host.address.toString());
    if (host.revision == 0)
        return name + ": has no configuration";
    return fmt::format("{}: runs revision {} instead of {}", name, host.revision, revision);
}

} // namespace

std::string formatDigest(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

host_report readHostReport(const endpoint &address, std::string_view body)
{
    host_report result;
    result.address = address;
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || textOf(value, "host").empty()) {
        result.problem = "the answer is not a status";
        return result;
    }
    result.host = textOf(value, "host");
    result.zone = textOf(value, "zone");
    if (const auto document = value.find("configuration");
        document != value.end() && document->is_object()) {
        result.revision = numberOf(*document, "revision");
        result.digest = textOf(*document, "digest");
    }
    const auto members = value.find("members");
    if (members == value.end() || !members->is_array())
        return result;
    for (const auto &member : *members) {
        if (member.is_object()) {
            result.members.push_back({textOf(member, "host"), textOf(member, "zone"),
                                      textOf(member, "state"),
                                      numberOf(member, "configuration_revision")});
        }
    }
    return result;
}

force_summary summarizeForce(const std::vector<host_report> &hosts, std::uint64_t revision)
{
    force_summary result;
    std::size_t running = 0;
    std::set<std::string> digests;
    for (const auto &host : hosts) {
        if (host.problem.empty() && host.revision == revision) {
            ++running;
            digests.insert(host.digest);
        } else {
            result.lines.push_back(describe(host, revision));
        }
    }
    const auto unasked = findUnasked(hosts);
    for (const auto &[host, state] : unasked)
        result.lines.push_back(fmt::format("{}: listed as {}, not asked", host, state));
    if (digests.size() > 1) {
        result.lines.push_back(
            fmt::format("hosts run different documents of revision {}", revision));
    }
    result.everywhere =
        !hosts.empty() && running == hosts.size() && unasked.empty() && digests.size() == 1;
    result.lines.push_back(
        result.everywhere
            ? fmt::format("revision {} is in force on all {} entry hosts", revision, running)
            : fmt::format("revision {} is in force on {} of {} entry hosts asked; not known to be "
                          "in force everywhere",
                          revision, running, hosts.size()));
    return result;
}

} // namespace waxwing
