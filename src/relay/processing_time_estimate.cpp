#include "relay/processing_time_estimate.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

constexpr double medianProbability = 0.5;
/// Leads to hedges for 10 requests in 100, half of what the extra request budget usually
/// allows. A higher quantile would be within the pauses of servers, which affect 4 to 5 requests in
/// 100.
constexpr double upperProbability = 0.9;
/// Divisors of the latency goal for the estimates without samples. The goal of a route is expected
/// to be several times its processing time.
constexpr int typicalGoalDivisor = 10;
constexpr int upperGoalDivisor = 3;
/// Lower bound of the median; shorter times are below the precision of the event loop.
constexpr std::chrono::milliseconds minProcessingTime{1};

} // namespace

processing_time_estimate::processing_time_estimate(duration goal)
    : m_goal(goal), m_median(medianProbability), m_upperQuantile(upperProbability)
{ }

void processing_time_estimate::add(duration processingTime, time_point now)
{
    m_median.add(processingTime, now);
    m_upperQuantile.add(processingTime, now);
}

duration processing_time_estimate::typical() const
{
    return std::max<duration>(m_median.quantile().value_or(m_goal / typicalGoalDivisor),
                              minProcessingTime);
}

duration processing_time_estimate::upperQuantile() const
{
    return std::max(m_upperQuantile.quantile().value_or(m_goal / upperGoalDivisor), typical());
}

} // namespace waxwing::relay
