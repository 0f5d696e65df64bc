#include "configuration/document_json.h"
#include "configuration/json_pointer.h"
#include "configuration/wall_time_text.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

using nlohmann::json;
using problem_list = std::vector<configuration_problem>;

/// Largest document, in bytes; the platform stores values of up to 1 MB.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// Records the keys of the open objects and the first key that appears twice in one of them.
class key_recorder
{
public:
    bool operator()(json::parse_event_t event, const json &value)
    {
        if (event == json::parse_event_t::object_start)
            m_open.emplace_back();
        else if (event == json::parse_event_t::object_end)
            m_open.pop_back();
        else if (event == json::parse_event_t::key && !m_open.back().insert(value).second)
            m_duplicate = value.get<std::string>();
        return true;
    }

    const std::optional<std::string> &duplicate() const { return m_duplicate; }

private:
    std::vector<std::set<std::string>> m_open;
    std::optional<std::string> m_duplicate;
};

wall_time readTime(const json &value, const std::string &field, problem_list &problems)
{
    const auto time = parseWallTime(value.get<std::string>());
    if (!time.ok())
        problems.push_back({field, std::string(time.status().message())});
    return time.value_or(wall_time{});
}

backend_server readServer(const json &value, const std::string &field, problem_list &problems)
{
    backend_server result;
    result.id.value = value["id"];
    result.zone.value = value["zone"];
    const auto address = endpoint::parse(value["address"].get<std::string>());
    if (address.ok())
        result.address = *address;
    else
        problems.push_back({field + "/address", std::string(address.status().message())});
    result.slots = value["slots"];
    result.connectionLimit = value["connection_limit"];
    if (value.contains("leaves_at"))
        result.leavesAt = readTime(value["leaves_at"], field + "/leaves_at", problems);
    return result;
}

partitioning readPartitioning(const json &value)
{
    partitioning result{value["generation"], {}};
    for (const auto &part : value["shards"]) {
        shard read{{part["id"].get<std::string>()}, part["documents"], {}};
        for (const auto &replica : part["replicas"])
            read.replicas.push_back({replica.get<std::string>()});
        result.shards.push_back(std::move(read));
    }
    return result;
}

service_policy readPolicy(const json &value)
{
    service_policy result;
    result.deadline = std::chrono::milliseconds(value["deadline_ms"].get<std::int64_t>());
    result.wantedCoverage = value["wanted_coverage"];
    result.prefer =
        value["prefer"] == "early" ? answer_preference::Early : answer_preference::Whole;
    result.hedgeBudget = value["hedge_budget"];
    result.retryBudget = value["retry_budget"];
    return result;
}

service readService(const json &value)
{
    service result{{value["id"].get<std::string>()}, {}, readPolicy(value["policy"])};
    for (const auto &part : value["partitionings"])
        result.partitionings.push_back(readPartitioning(part));
    return result;
}

template<typename Element>
void sortById(std::vector<Element> &elements)
{
    std::sort(elements.begin(), elements.end(),
              [](const Element &a, const Element &b) { return a.id < b.id; });
}

} // namespace

json parseJson(std::string_view text, problem_list &problems)
{
    if (text.size() > maxDocumentBytes) {
        problems.push_back({"",
                            "the document has " + std::to_string(text.size())
                                + " bytes; the platform stores at most "
                                + std::to_string(maxDocumentBytes)});
        return json(json::value_t::discarded);
    }
    key_recorder keys;
    auto result = json::parse(
        text, [&keys](int, json::parse_event_t event, json &value) { return keys(event, value); },
        false);
    if (result.is_discarded())
        problems.push_back({"", "the document is not valid JSON"});
    else if (keys.duplicate())
        problems.push_back(
            {"", "the field '" + *keys.duplicate() + "' appears twice in one object"});
    return problems.empty() ? result : json(json::value_t::discarded);
}

configuration readDocument(const json &value, problem_list &problems)
{
    configuration result;
    result.revision = value["revision"];
    result.changeId = value["change_id"];
    result.changedBy = value["changed_by"];
    result.reason = value["reason"];
    result.shutdownAt = readTime(value["shutdown_at"], "/shutdown_at", problems);
    result.allowUncovered = value.value("allow_uncovered", false);
    for (const auto &zone : value["zones"])
        result.zones.push_back({zone.get<std::string>()});
    for (const auto &server : value["backend_servers"]) {
        const auto field = appendToPointer("/backend_servers", result.servers.size());
        result.servers.push_back(readServer(server, field, problems));
    }
    for (const auto &owner : value["services"])
        result.services.push_back(readService(owner));
    return result;
}

void sortDocument(configuration &document)
{
    std::sort(document.zones.begin(), document.zones.end());
    sortById(document.servers);
    sortById(document.services);
    for (auto &owner : document.services) {
        std::sort(owner.partitionings.begin(), owner.partitionings.end(),
                  [](const partitioning &a, const partitioning &b) {
                      return a.generation < b.generation;
                  });
        for (auto &part : owner.partitionings)
            sortById(part.shards);
    }
}

} // namespace waxwing
