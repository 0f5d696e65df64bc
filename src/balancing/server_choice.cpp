#include "balancing/server_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace waxwing {
namespace {

/// Lower bound of the share of a server, for registrations with few slots.
constexpr double minShare = 0.01;

/// Means over the candidates among which the choice is random.
struct candidate_means
{
    double ownRequests = 0;
    double slots = 0;
    /// Mean over the candidates with a report.
    double backlog = 0;
};

candidate_means meansOf(std::span<const server_candidate> candidates,
                        const std::vector<std::size_t> &indices, double maxBacklog)
{
    candidate_means result;
    std::size_t reports = 0;
    for (const std::size_t index : indices) {
        const server_candidate &each = candidates[index];
        result.ownRequests += each.ownRequests;
        result.slots += each.slots;
        if (!each.report.has_value())
            continue;
        ++reports;
        result.backlog += std::min(each.report->load.backlog(), maxBacklog);
    }
    const auto count = static_cast<double>(indices.size());
    result.ownRequests /= count;
    result.slots /= count;
    if (reports > 0)
        result.backlog /= static_cast<double>(reports);
    return result;
}

/// Exponentially distributed number with a mean of 1.
double exponential(random_engine &random)
{
    constexpr double range = 4294967296.0;
    return -std::log((random() + 0.5) / range);
}

} // namespace

std::optional<server_selection> server_choice::choose(std::span<const server_candidate> candidates,
                                                      duration processingTime,
                                                      random_engine &random) const
{
    if (candidates.empty())
        return std::nullopt;
    const std::vector<std::size_t> indices = equals(candidates, processingTime);
    if (indices.size() == 1)
        return server_selection{indices.front(), candidates[indices.front()].ownRequests, 1};
    const candidate_means means = meansOf(candidates, indices, m_settings.maxBacklog);
    std::optional<server_selection> best;
    double bestScore = 0;
    for (const std::size_t index : indices) {
        const server_candidate &each = candidates[index];
        const double share = each.slots / std::max(means.slots, 1.0)
            * reportFactor(each, means.backlog, processingTime);
        const bool isBehind = each.ownRequests < means.ownRequests - m_settings.maxDeficit;
        const double own = isBehind ? means.ownRequests : each.ownRequests;
        const double weight = 1 / std::max(share, minShare);
        // Without own requests this chooses each server with a probability proportional to its
        // share.
        const double score = own + m_settings.randomRequests * weight * exponential(random);
        if (!best.has_value() || score < bestScore) {
            best = server_selection{index, own, weight};
            bestScore = score;
        }
    }
    return best;
}

std::vector<std::size_t> server_choice::equals(std::span<const server_candidate> candidates,
                                               duration processingTime) const
{
    const auto key = [](const server_candidate &each) {
        return std::tuple(each.state, each.cost + each.queueCost);
    };
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [&key](const server_candidate &a, const server_candidate &b) { return key(a) < key(b); });
    const duration highest = best->cost
        + std::chrono::duration_cast<duration>(processingTime * m_settings.equalCostShare);
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const server_candidate &each = candidates[i];
        if (each.state == best->state && each.trafficCost == best->trafficCost
            && each.separateZone == best->separateZone && each.cost <= highest)
            result.push_back(i);
    }
    return result;
}

double server_choice::reportFactor(const server_candidate &candidate, double meanBacklog,
                                   duration processingTime) const
{
    if (!candidate.report.has_value())
        return 1;
    const double backlog = std::min(candidate.report->load.backlog(), m_settings.maxBacklog);
    // The requests in the report have ended after this time, so it says nothing about the load
    // after that.
    const std::chrono::duration<double> validity = std::min<std::chrono::duration<double>>(
        m_settings.maxReportValidity,
        std::max(processingTime, duration(1)) * std::max(backlog, 1.0));
    const std::chrono::duration<double> age = candidate.report->age;
    const double weight = std::exp(-age / validity);
    return std::clamp(1 - m_settings.reportGain * weight * (backlog - meanBacklog),
                      m_settings.minReportFactor, m_settings.maxReportFactor);
}

} // namespace waxwing
