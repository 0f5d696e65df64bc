#include "distribution/host_list.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace waxwing {
namespace {

std::string textField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

absl::StatusOr<host_list> host_list::parse(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("hosts") || !document["hosts"].is_array())
        return absl::InvalidArgumentError(
            "the host list is not a JSON object with an array 'hosts'");
    host_list result;
    for (const auto &host : document["hosts"]) {
        if (!host.is_object())
            continue;
        const std::string role = textField(host, "role");
        if (role == "backend" && textField(host, "state") == "leaving")
            result.leavingServers.push_back({textField(host, "id")});
        if (role == "entry") {
            const auto address = endpoint::parse(textField(host, "address"));
            if (address.ok())
                result.entryHosts.push_back(*address);
        }
    }
    std::sort(result.leavingServers.begin(), result.leavingServers.end());
    std::sort(result.entryHosts.begin(), result.entryHosts.end());
    return result;
}

} // namespace waxwing
