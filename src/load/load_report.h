#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// Results of a load run.
struct load_report
{
    /// Searches sent.
    std::uint32_t searches = 0;
    /// Searches answered with 200.
    std::uint32_t answered = 0;
    /// Searches refused by the system.
    std::uint32_t refused = 0;
    /// Searches that got no answer or one that cannot be read.
    std::uint32_t failed = 0;
    /// Answers that did not search every document.
    std::uint32_t partial = 0;
    /// Answers with a hit, a score or a coverage that their snapshot does not have.
    std::uint32_t wrong = 0;
    /// Documents that stood twice in one answer, and commands that ran twice.
    std::uint32_t doubled = 0;
    /// Commands sent.
    std::uint32_t commands = 0;
    /// Commands answered with 200.
    std::uint32_t commandsDone = 0;
    /// Commands refused as not run.
    std::uint32_t commandsNotRun = 0;
    /// Commands whose outcome is unknown.
    std::uint32_t commandsUnknown = 0;
    /// Smallest coverage of an answer, 0..1; 1 without answers.
    double coverageMin = 1;
    /// Time from the planned sending to the answer, of answered searches.
    std::vector<std::chrono::microseconds> latencies;
    /// First few problems, as text.
    std::vector<std::string> problems;

    bool operator==(const load_report &) const = default;

    /// Adds a problem unless there are many already.
    void addProblem(std::string text);
    /// The latency below which the share `quantile` of answers stays; zero without answers.
    std::chrono::microseconds latencyQuantile(double quantile) const;
    /// Whether every search was answered whole and right, every command ran, and nothing doubled.
    bool isPerfect() const;
    /// Table and latency histogram for a person.
    std::string toTable() const;
    /// One line of JSON.
    std::string toJsonLine() const;
};

} // namespace waxwing
