#include "relay/extra_request_budget.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

/// Resolution of the sliding window. Counters are kept for at most one slice longer than the
/// window, so the limit is not exceeded in any window.
constexpr int slicesPerWindow = 50;

} // namespace

extra_request_budget::extra_request_budget(extra_request_budget_settings settings)
    : m_settings(settings)
{ }

void extra_request_budget::setHosts(std::size_t hosts)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
}

void extra_request_budget::onRequest(time_point now)
{
    ++currentSlice(now).requests;
    ++m_requests;
}

double extra_request_budget::availableFraction(extra_request_kind kind) const
{
    switch (kind) {
    case extra_request_kind::Hedge:
        return m_settings.hedgeFraction;
    case extra_request_kind::OptionalRetry:
        return m_settings.optionalFraction;
    case extra_request_kind::NeededRetry:
        break;
    }
    return 1;
}

std::uint32_t extra_request_budget::spent(time_point now)
{
    removeExpired(now);
    return m_extras;
}

extra_request_budget::slice &extra_request_budget::currentSlice(time_point now)
{
    removeExpired(now);
    if (m_slices.empty() || now - m_slices.back().begin >= m_settings.window / slicesPerWindow)
        m_slices.push_back({now, 0, 0});
    return m_slices.back();
}

void extra_request_budget::removeExpired(time_point now)
{
    const duration kept = m_settings.window + m_settings.window / slicesPerWindow;
    while (!m_slices.empty() && now - m_slices.front().begin > kept) {
        m_requests -= m_slices.front().requests;
        m_extras -= m_slices.front().extras;
        m_slices.pop_front();
    }
}

double extra_request_budget::limit() const
{
    const double base = m_settings.base / static_cast<double>(m_hosts);
    return m_settings.usedFraction * (m_settings.share * m_requests + base);
}

bool extra_request_budget::spend(extra_request_kind kind, time_point now)
{
    removeExpired(now);
    if (m_extras + 1 > limit() * availableFraction(kind))
        return false;
    ++currentSlice(now).extras;
    ++m_extras;
    return true;
}

} // namespace waxwing::relay
