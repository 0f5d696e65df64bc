#include "scenario/scenario.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>
#include <utility>

namespace waxwing {
namespace {

/// Reads one field of a map into its place.
using field_reader = std::function<void(const YAML::Node &)>;
using field_table = std::map<std::string, field_reader>;

/// Reads every field of `node`; refuses fields that are not in `fields`.
void readFields(const YAML::Node &node, const field_table &fields)
{
    if (!node.IsMap())
        throw YAML::RepresentationException(node.Mark(), "expected a map");
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        const auto field = fields.find(name);
        if (field == fields.end())
            throw YAML::RepresentationException(entry.first.Mark(), "unknown field " + name);
        field->second(entry.second);
    }
}

template<typename Value>
field_reader into(Value &place)
{
    return [&place](const YAML::Node &node) { place = node.as<Value>(); };
}

/// Reads a time in milliseconds.
field_reader millisecondsInto(duration &place)
{
    return [&place](const YAML::Node &node) {
        place = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(node.as<double>()));
    };
}

/// Reads one name or a list of names.
field_reader namesInto(std::vector<std::string> &place)
{
    return [&place](const YAML::Node &node) {
        if (node.IsScalar())
            place = {node.as<std::string>()};
        else
            place = node.as<std::vector<std::string>>();
    };
}

template<typename Element>
field_reader listInto(std::vector<Element> &place, Element (*read)(const YAML::Node &))
{
    return [&place, read](const YAML::Node &node) {
        if (!node.IsSequence())
            throw YAML::RepresentationException(node.Mark(), "expected a list");
        for (const auto &entry : node)
            place.push_back(read(entry));
    };
}

template<typename Enum>
field_reader oneOf(Enum &place, const std::map<std::string, Enum> &names)
{
    return [&place, &names](const YAML::Node &node) {
        const auto found = names.find(node.as<std::string>());
        if (found == names.end())
            throw YAML::RepresentationException(node.Mark(),
                                                "unknown value " + node.as<std::string>());
        place = found->second;
    };
}

const std::map<std::string, answer_preference> preferenceNames{
    {"early", answer_preference::Early},
    {"whole", answer_preference::Whole},
};

const std::map<std::string, step_kind> stepNames{
    {"search", step_kind::Search},
    {"command", step_kind::Command},
    {"slow", step_kind::Slow},
    {"crash", step_kind::Crash},
    {"shed", step_kind::Shed},
    {"repair", step_kind::Repair},
    {"publish", step_kind::Publish},
    {"drain", step_kind::Drain},
    {"leave", step_kind::Leave},
    {"isolate", step_kind::Isolate},
    {"heal", step_kind::Heal},
    {"platform_down", step_kind::PlatformDown},
    {"platform_up", step_kind::PlatformUp},
    {"lose_answers", step_kind::LoseAnswers},
    {"kill", step_kind::Kill},
    {"start", step_kind::Start},
    {"stop", step_kind::Stop},
};

scenario_service readService(const YAML::Node &node)
{
    scenario_service result;
    duration deadline = result.policy.deadline;
    readFields(node,
               {{"id", into(result.id)},
                {"shards", into(result.shards)},
                {"servers", into(result.servers)},
                {"replicas", into(result.replicas)},
                {"documents", into(result.documents)},
                {"slots", into(result.slots)},
                {"connection_limit", into(result.connectionLimit)},
                {"deadline_ms", millisecondsInto(deadline)},
                {"wanted_coverage", into(result.policy.wantedCoverage)},
                {"prefer", oneOf(result.policy.prefer, preferenceNames)},
                {"hedge_budget", into(result.policy.hedgeBudget)},
                {"retry_budget", into(result.policy.retryBudget)}});
    result.policy.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
    return result;
}

scenario_step readStep(const YAML::Node &node)
{
    scenario_step result;
    readFields(node,
               {{"do", oneOf(result.kind, stepNames)},
                {"at_ms", millisecondsInto(result.at)},
                {"every_ms", millisecondsInto(result.every)},
                {"until_ms", millisecondsInto(result.until)},
                {"to", namesInto(result.targets)},
                {"service", into(result.service)},
                {"query", into(result.query)},
                {"key", into(result.key)},
                {"factor", into(result.factor)},
                {"share", into(result.share)},
                {"version", into(result.version)},
                {"count", into(result.count)}});
    return result;
}

scenario_cluster readCluster(const YAML::Node &node)
{
    scenario_cluster result;
    readFields(node,
               {{"zones", namesInto(result.zones)},
                {"hosts_per_zone", into(result.hostsPerZone)},
                {"services", listInto(result.services, &readService)},
                {"service_time_ms", millisecondsInto(result.serviceTime)},
                {"zone_latency_ms", millisecondsInto(result.zoneLatency)},
                {"cross_zone_latency_ms", millisecondsInto(result.crossZoneLatency)},
                {"platform_latency_ms", millisecondsInto(result.platformLatency)}});
    return result;
}

std::vector<scenario_expectation> readExpectations(const YAML::Node &node)
{
    std::vector<scenario_expectation> result;
    for (const auto &entry : node) {
        scenario_expectation expectation{entry.first.as<std::string>(), {}, {}};
        const auto bound = [](std::optional<double> &place) {
            return [&place](const YAML::Node &value) { place = value.as<double>(); };
        };
        readFields(entry.second,
                   {{"min", bound(expectation.min)}, {"max", bound(expectation.max)}});
        result.push_back(expectation);
    }
    return result;
}

} // namespace

absl::StatusOr<scenario> scenario::parse(std::string_view yaml)
{
    try {
        scenario result;
        readFields(
            YAML::Load(std::string(yaml)),
            {{"scenario", into(result.name)},
             {"seed", into(result.seed)},
             {"settle_ms", millisecondsInto(result.settle)},
             {"drain_ms", millisecondsInto(result.drain)},
             {"cluster", [&result](const YAML::Node &node) { result.cluster = readCluster(node); }},
             {"steps", listInto(result.steps, &readStep)},
             {"expect", [&result](const YAML::Node &node) {
                  result.expectations = readExpectations(node);
              }}});
        return result;
    } catch (const YAML::Exception &error) {
        return absl::InvalidArgumentError(
            fmt::format("line {}: {}", error.mark.line + 1, error.msg));
    }
}

} // namespace waxwing
