#include "configuration/document_json.h"
#include "console/change_form.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Reads the values of the form and collects what is wrong with them. Ranges are left to the check
/// of the whole document.
class service_parser
{
public:
    explicit service_parser(const form_values &values) : m_values(values) { }

    service parse()
    {
        service result;
        result.id.value = text("id");
        result.policy.deadline = std::chrono::milliseconds(number<std::int64_t>("deadline_ms"));
        result.policy.wantedCoverage = share("wanted_coverage");
        result.policy.hedgeBudget = share("hedge_budget");
        result.policy.retryBudget = share("retry_budget");
        const auto prefer = text("prefer");
        if (prefer != "early" && prefer != "whole")
            m_errors["prefer"].emplace_back("expected early or whole");
        result.policy.prefer =
            prefer == "early" ? answer_preference::Early : answer_preference::Whole;
        parseShards(result);
        return result;
    }

    const form_errors &errors() const { return m_errors; }

private:
    std::string text(const std::string &name) const
    {
        return std::string(absl::StripAsciiWhitespace(valueOf(m_values, name)));
    }

    template<typename Number>
    Number number(const std::string &name)
    {
        Number result = 0;
        if (!absl::SimpleAtoi(text(name), &result))
            m_errors[name].emplace_back("expected a whole number");
        return result;
    }

    double share(const std::string &name)
    {
        double result = 0;
        if (!absl::SimpleAtod(text(name), &result) || !std::isfinite(result)) {
            m_errors[name].emplace_back("expected a number from 0 to 1");
            return 0;
        }
        return result;
    }

    void parseShards(service &result)
    {
        const std::vector<std::string> lines =
            absl::StrSplit(valueOf(m_values, "shards"), '\n', absl::SkipWhitespace());
        for (std::size_t i = 0; i < lines.size(); ++i) {
            const std::vector<std::string> words =
                absl::StrSplit(lines[i], absl::ByAnyChar(" \t\r"), absl::SkipEmpty());
            std::uint32_t generation = 0;
            shard piece;
            if (words.size() < 3 || !absl::SimpleAtoi(words[0], &generation)
                || !absl::SimpleAtoi(words[2], &piece.documents)) {
                m_errors["shards"].push_back(
                    fmt::format("line {}: expected generation, shard, documents, then the backend "
                                "servers, with spaces between",
                                i + 1));
                continue;
            }
            piece.id.value = words[1];
            for (auto word = words.begin() + 3; word != words.end(); ++word)
                piece.replicas.push_back({*word});
            partitioningOf(result, generation).shards.push_back(std::move(piece));
        }
    }

    static partitioning &partitioningOf(service &owner, std::uint32_t generation)
    {
        auto &parts = owner.partitionings;
        const auto found = std::find_if(parts.begin(), parts.end(), [=](const auto &part) {
            return part.generation == generation;
        });
        if (found != parts.end())
            return *found;
        return parts.emplace_back(partitioning{generation, {}});
    }

    const form_values &m_values;
    form_errors m_errors;
};

std::variant<configuration_edit, form_errors> parseService(const form_values &values)
{
    service_parser parser(values);
    auto value = parser.parse();
    if (!parser.errors().empty())
        return parser.errors();
    if (valueOf(values, "existing") == "yes")
        return configuration_edit(change_service_edit{std::move(value)});
    return configuration_edit(create_service_edit{std::move(value)});
}

std::string formatShards(const service &owner)
{
    std::string result;
    for (const auto &part : owner.partitionings) {
        for (const auto &piece : part.shards) {
            result += fmt::format("{} {} {}", part.generation, piece.id.value, piece.documents);
            for (const auto &replica : piece.replicas)
                result += " " + replica.value;
            result += '\n';
        }
    }
    return result;
}

form_values fillService(const configuration &document, const std::string &id)
{
    const auto *found = document.findService({id});
    const service owner = found != nullptr ? *found : service{{id}, {}, {}};
    // Numbers are written as in the document, so that an unchanged form changes nothing.
    const auto policy = writeService(owner)["policy"];
    return {
        {"existing", found != nullptr ? "yes" : "no"},
        {"id", id},
        {"shards", formatShards(owner)},
        {"deadline_ms", policy["deadline_ms"].dump()},
        {"wanted_coverage", policy["wanted_coverage"].dump()},
        {"prefer", policy["prefer"].get<std::string>()},
        {"hedge_budget", policy["hedge_budget"].dump()},
        {"retry_budget", policy["retry_budget"].dump()},
    };
}

std::string serviceFieldOf(std::string_view pointer)
{
    if (pointer.rfind("/services/", 0) != 0)
        return "";
    for (const char *field :
         {"deadline_ms", "wanted_coverage", "prefer", "hedge_budget", "retry_budget"}) {
        const auto suffix = std::string("/policy/") + field;
        if (pointer.size() > suffix.size()
            && pointer.substr(pointer.size() - suffix.size()) == suffix)
            return field;
    }
    return pointer.find("/partitionings") != std::string_view::npos ? "shards" : "id";
}

} // namespace

const change_form &serviceForm()
{
    static const change_form form{
        "/service",
        "Service",
        {{"id", "Id", field_kind::Text},
         {"shards",
          "Shards, one on each line: generation, shard, documents, then its backend servers",
          field_kind::Area},
         {"deadline_ms", "Deadline of a search in milliseconds", field_kind::Text},
         {"wanted_coverage", "Wanted coverage, 0 to 1", field_kind::Text},
         {"prefer", "Preferred answer", field_kind::Preference},
         {"hedge_budget", "Hedges for each request to a backend server, 0 to 1", field_kind::Text},
         {"retry_budget", "Retries for each request to a backend server, 0 to 1",
          field_kind::Text}},
        parseService,
        fillService,
        serviceFieldOf,
    };
    return form;
}

} // namespace waxwing
