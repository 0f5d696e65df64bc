#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/// What a scenario measured.
struct scenario_metrics
{
    /// Searches sent by callers.
    std::uint64_t searches = 0;
    /// Searches answered.
    std::uint64_t answered = 0;
    /// Searches refused.
    std::uint64_t refused = 0;
    /// Answers after the deadline of the service and half a millisecond.
    std::uint64_t late = 0;
    /// Answers that state whole coverage.
    std::uint64_t whole = 0;
    /// Answers with a hit of another snapshot, query or service than stated.
    std::uint64_t foreignHits = 0;
    /// Answers whose stated coverage is not what was searched.
    std::uint64_t wrongCoverage = 0;
    /// Documents that stood twice in one answer.
    std::uint64_t doubledHits = 0;
    /// Smallest coverage of an answer, 0..1.
    double coverageMin = 1;
    /// Latencies of answers.
    std::vector<duration> latencies;
    /// Latencies of refusals.
    std::vector<duration> refusalLatencies;
    /// Searches that servers began to run.
    std::uint64_t leafSearches = 0;
    /// Processor time that servers spent, in units of one unslowed search.
    double leafWork = 0;
    /// Refusals as "not run" of a request that a server had run.
    std::uint64_t falseNotRun = 0;
    /// Servers that a request crashed.
    std::uint64_t crashes = 0;
    /// Commands sent by callers.
    std::uint64_t commands = 0;
    /// Commands answered with their result.
    std::uint64_t commandsDone = 0;
    /// Commands refused as not run.
    std::uint64_t commandsNotRun = 0;
    /// Commands whose outcome is unknown.
    std::uint64_t commandsUnknown = 0;
    /// Keys that were run more than once.
    std::uint64_t doubledCommands = 0;
    /// Largest time between the notice that a server is leaving and new work on it.
    duration workAfterLeaving{0};

    bool operator==(const scenario_metrics &) const = default;

    /// All values by name: counts as they are, `answered_share`, `whole_share`, `coverage_min`,
    /// `p50_ms`, `p99_ms`, `p999_ms`, `refusal_p50_ms`, `leaf_searches_per_search`,
    /// `leaf_work_per_search`, `lost` (neither answered nor refused), `work_after_leaving_ms`.
    std::map<std::string, double> values() const;
};

} // namespace waxwing
