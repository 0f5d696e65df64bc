#pragma once

#include "configuration/configuration.h"

#include <vector>

namespace waxwing {

/// Share of the documents of a service that has a replica from some time on.
struct coverage_point
{
    /// From when on.
    wall_time from;
    /// Share of the documents, 0..1.
    double ratio = 0;

    bool operator==(const coverage_point &) const = default;
};

/// Coverage of the newest partitioning of a service at `now` and from each later departure of one
/// of its backend servers before the shutdown.
std::vector<coverage_point> coverageTimeline(const configuration &document, const service &owner,
                                             wall_time now);

} // namespace waxwing
