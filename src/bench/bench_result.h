#pragma once

#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// One measured figure.
struct bench_result
{
    /// Name of the measurement.
    std::string name;
    /// What was measured.
    std::string metric;
    /// Unit of `baseline`, `now` and `target`.
    std::string unit;
    /// Figure of the simpler policy or of the smaller size, from the same run; none where there is
    /// nothing to compare with.
    std::optional<double> baseline;
    /// Figure of the present code.
    double now = 0;
    /// Bound on `now`.
    std::optional<double> target;
    /// Whether the target is met; true without one.
    bool met = true;

    bool operator==(const bench_result &) const = default;

    /// Result with a largest allowed value.
    static bench_result atMost(std::string name, std::string metric, std::string unit,
                               std::optional<double> baseline, double now, double target);
    /// Result with a smallest allowed value.
    static bench_result atLeast(std::string name, std::string metric, std::string unit,
                                std::optional<double> baseline, double now, double target);
    /// Result without a target.
    static bench_result plain(std::string name, std::string metric, std::string unit, double now);
    /// One line of JSON with a `ratio` of now to baseline.
    std::string toJsonLine() const;
};

/// Results in the order in which they were measured.
using bench_results = std::vector<bench_result>;

} // namespace waxwing
