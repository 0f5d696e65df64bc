#include "relay/processing_time_estimate.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

constexpr double medianProbability = 0.5;
/// 10 requests in 100 get a hedge, half of what the retry budget of a service usually allows. A
/// higher quantile would lie within the pauses of servers, which 4 to 5 requests in 100 meet.
constexpr double upperProbability = 0.9;
/// Shares of the latency goal that are assumed before there are samples. Routes are expected to
/// have a goal of several times their work.
constexpr int typicalGoalDivisor = 10;
constexpr int upperGoalDivisor = 3;
/// Work is taken as this long at least: shorter times are within the precision of the loop.
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
