#include "standins/host_list.h"

#include <absl/strings/str_cat.h>

namespace waxwing::standins {
namespace {

/// Lists kept for the lag. Bounds memory in long runs.
constexpr std::size_t listsKept = 1000;

absl::Status checkHost(const nlohmann::json &host)
{
    if (!host.is_object())
        return absl::InvalidArgumentError("a host is not a JSON object");
    for (const char *field : {"id", "role", "zone", "address", "state"}) {
        if (!host.contains(field) || !host[field].is_string())
            return absl::InvalidArgumentError(absl::StrCat("a host lacks the text '", field, "'"));
    }
    if (host["role"] != "entry" && host["role"] != "backend")
        return absl::InvalidArgumentError("the role of a host must be 'entry' or 'backend'");
    if (host["state"] != "live" && host["state"] != "leaving")
        return absl::InvalidArgumentError("the state of a host must be 'live' or 'leaving'");
    return absl::OkStatus();
}

} // namespace

absl::Status host_list::set(nlohmann::json document, time_point now)
{
    if (!document.is_object() || !document.contains("hosts") || !document["hosts"].is_array())
        return absl::InvalidArgumentError("'hosts' must be a list");
    for (const auto &host : document["hosts"]) {
        if (absl::Status status = checkHost(host); !status.ok())
            return status;
    }
    m_entries.push_back({now, std::move(document)});
    if (m_entries.size() > listsKept)
        m_entries.pop_front();
    return absl::OkStatus();
}

nlohmann::json host_list::visible(time_point now, duration lag) const
{
    for (auto next = m_entries.rbegin(); next != m_entries.rend(); ++next) {
        if (next->since + lag <= now)
            return next->document;
    }
    return m_entries.empty() ? nlohmann::json{{"hosts", nlohmann::json::array()}}
                             : m_entries.front().document;
}

} // namespace waxwing::standins
