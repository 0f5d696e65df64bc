#include "load/answer_checker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

/// Reads the body of a 200 answer; empty if it is not one of section 4.1 of docs/design.md.
std::optional<search_answer> readAnswer(std::string_view body)
{
    try {
        const auto json = nlohmann::json::parse(body);
        search_answer answer;
        answer.service = {json.at("service").get<std::string>()};
        answer.at = {json.at("snapshot").at("partitioning").get<std::uint32_t>(),
                     json.at("snapshot").at("version").get<std::uint64_t>()};
        for (const auto &entry : json.at("hits"))
            answer.hits.push_back(
                {entry.at("id").get<std::string>(), entry.at("score").get<double>()});
        const auto &coverage = json.at("coverage");
        answer.coverage.documentsSearched = coverage.at("documents_searched").get<std::uint64_t>();
        answer.coverage.documentsTotal = coverage.at("documents_total").get<std::uint64_t>();
        for (const auto &missing : coverage.at("missing_shards"))
            answer.coverage.missingShards.push_back({missing.get<std::string>()});
        return answer;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::uint32_t countDoubled(const std::vector<hit> &hits)
{
    std::set<std::string> ids;
    for (const auto &found : hits)
        ids.insert(found.id);
    return static_cast<std::uint32_t>(hits.size() - ids.size());
}

bool isMissing(const search_answer &answer, const shard_id &shard)
{
    const auto &missing = answer.coverage.missingShards;
    return std::find(missing.begin(), missing.end(), shard) != missing.end();
}

const partitioning *findPartitioning(const service &definition, std::uint32_t generation)
{
    for (const auto &candidate : definition.partitionings) {
        if (candidate.generation == generation)
            return &candidate;
    }
    return nullptr;
}

std::string describePartial(const search_answer &answer, std::chrono::microseconds latency)
{
    std::string missing;
    for (const auto &shard : answer.coverage.missingShards)
        missing += ' ' + shard.value;
    return fmt::format("{}: partial answer of version {} after {} us, missing shards:{}",
                       answer.service.value, answer.at.version, latency.count(), missing);
}

} // namespace

answer_checker::answer_checker(const configuration &document)
{
    for (const auto &definition : document.services)
        m_services.emplace(definition.id,
                           known_service{definition, standins::document_generator(definition)});
}

void answer_checker::check(const load_query &query, std::string_view body,
                           std::chrono::microseconds latency, load_report &report) const
{
    const auto answer = readAnswer(body);
    if (!answer) {
        ++report.wrong;
        report.addProblem("unreadable answer: " + std::string(body.substr(0, 200)));
        return;
    }
    const auto &coverage = answer->coverage;
    const double share = coverage.documentsTotal == 0
        ? 0
        : static_cast<double>(coverage.documentsSearched)
            / static_cast<double>(coverage.documentsTotal);
    report.coverageMin = std::min(report.coverageMin, share);
    if (!coverage.isComplete()) {
        ++report.partial;
        report.addProblem(describePartial(*answer, latency));
    }
    report.doubled += countDoubled(answer->hits);
    if (const std::string problem = findProblem(query, *answer); !problem.empty()) {
        ++report.wrong;
        report.addProblem(query.service.value + ": " + problem);
    }
}

std::string answer_checker::findProblem(const load_query &query, const search_answer &answer) const
{
    if (answer.service != query.service)
        return "answer of service " + answer.service.value;
    const auto known = m_services.find(query.service);
    if (known == m_services.end())
        return "service is not in the configuration";
    const partitioning *shards = findPartitioning(known->second.definition, answer.at.partitioning);
    if (shards == nullptr)
        return fmt::format("unknown partitioning {}", answer.at.partitioning);

    std::uint64_t searched = 0;
    for (const auto &part : shards->shards) {
        if (!isMissing(answer, part.id))
            searched += known->second.generator.range(shards->generation, part.id)->count;
    }
    if (searched != answer.coverage.documentsSearched)
        return fmt::format("states {} documents searched, its shards have {}",
                           answer.coverage.documentsSearched, searched);
    if (expectedHits(query, known->second, answer) != answer.hits)
        return fmt::format("hits differ from those of version {}", answer.at.version);
    return "";
}

std::vector<hit> answer_checker::expectedHits(const load_query &query, const known_service &known,
                                              const search_answer &answer) const
{
    std::vector<hit> all;
    for (const auto &part : findPartitioning(known.definition, answer.at.partitioning)->shards) {
        if (isMissing(answer, part.id))
            continue;
        const auto range = known.generator.range(answer.at.partitioning, part.id);
        const auto hits =
            known.generator.search(*range, answer.at.version, query.text, query.limit);
        all.insert(all.end(), hits.begin(), hits.end());
    }
    std::sort(all.begin(), all.end(), ranksBefore);
    all.resize(std::min<std::size_t>(all.size(), query.limit));
    return all;
}

} // namespace waxwing
