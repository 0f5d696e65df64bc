#include "configuration/parse.h"

#include "configuration/check_shape.h"
#include "configuration/checks.h"
#include "configuration/document_json.h"
#include "core/hash.h"

namespace waxwing {
namespace {

using problem_list = std::vector<configuration_problem>;

/// Reads and checks a document; it is only usable if there are no problems. The checks run in the
/// order of the text, so that their JSON pointers fit it, and before the document is sorted.
configuration readChecked(std::string_view text, problem_list &problems)
{
    const auto json = parseJson(text, problems);
    if (json.is_discarded())
        return {};
    problems = checkShape(json);
    if (!problems.empty())
        return {};
    auto document = readDocument(json, problems);
    checkStructure(document, problems);
    // Wrong ids and times would only lead to further problems that are not there.
    if (!problems.empty())
        return {};
    checkReferences(document, problems);
    checkDepartures(document, problems);
    checkConnectionLimits(document, problems);
    checkTimes(document, problems);
    sortDocument(document);
    return document;
}

} // namespace

std::vector<configuration_problem> checkConfiguration(std::string_view json)
{
    problem_list problems;
    readChecked(json, problems);
    return problems;
}

absl::StatusOr<configuration_copy> parseConfiguration(std::string json)
{
    problem_list problems;
    auto document = readChecked(json, problems);
    if (!problems.empty()) {
        std::string message = "the configuration is not valid";
        for (const auto &problem : problems)
            message += "; " + problem.field + ": " + problem.reason;
        return absl::InvalidArgumentError(message);
    }
    const auto digest = stableHash(json);
    return configuration_copy{std::make_shared<const configuration>(std::move(document)),
                              std::move(json), digest};
}

std::string formatConfiguration(const configuration &document)
{
    // Replaces invalid UTF-8, which `dump` would otherwise throw on; parsing refuses it anyway.
    return writeDocument(document).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace waxwing
