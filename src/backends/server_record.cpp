#include "backends/server_record.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

double toSeconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Whether the failure indicates that the server is unreachable or broken rather than busy.
bool isOutlierFailure(leaf_error error)
{
    switch (error) {
    case leaf_error::NotConnected:
    case leaf_error::ConnectionLost:
    case leaf_error::Timeout:
    case leaf_error::Malformed:
    case leaf_error::Failed:
        return true;
    case leaf_error::Overloaded:
    case leaf_error::Draining:
    case leaf_error::VersionNotHeld:
    case leaf_error::Cancelled:
        return false;
    }
    return false;
}

} // namespace

server_record::server_record(const backend_pool_settings &settings, const backend_server &server,
                             time_point now)
    : m_settings(settings), m_server(server),
      m_limit(server.slots * settings.requestsPerSlot, now, settings.rampTime)
{ }

void server_record::configure(const backend_server &server)
{
    m_server = server;
    m_limit.setCeiling(ceiling());
}

void server_record::setConnections(std::uint32_t connections)
{
    m_connections = connections;
    m_limit.setCeiling(ceiling());
}

void server_record::onSent(time_point now)
{
    ++m_inFlight;
    if (!m_unansweredSince.has_value())
        m_unansweredSince = now;
    if (isTrialDue(now))
        m_trialInFlight = true;
}

bool server_record::onAnswer(duration latency, time_point now)
{
    m_limit.onGoodReply(m_inFlight, now);
    endRequest();
    sample(toSeconds(latency), now);
    m_typicalLatency = smoothed(m_typicalLatency, toSeconds(latency));
    m_lastAnswer = now;
    m_unansweredSince.reset();
    m_failuresInRow = 0;
    starting = false;
    const bool reinstated = m_ejectedUntil.has_value();
    if (reinstated)
        m_limit.restart(now, m_settings.rampTime);
    m_ejectedUntil.reset();
    // After a full ramp time without failures the next ejection has the initial duration again.
    if (!reinstated && now - m_lastFailure > m_settings.rampTime)
        m_ejections = 0;
    return reinstated;
}

bool server_record::onFailure(const leaf_failure &failure, time_point now)
{
    const bool wasTrial = m_trialInFlight;
    endRequest();
    if (failure.error == leaf_error::Overloaded) {
        const auto roundTrip =
            std::chrono::duration<double>(m_latency.value_or(toSeconds(m_settings.assumedLatency)));
        m_limit.onOverload(m_settings.limitDecrease,
                           std::chrono::duration_cast<duration>(roundTrip), now);
    }
    if (!isOutlierFailure(failure.error)) {
        if (failure.error != leaf_error::Cancelled)
            m_failuresInRow = 0;
        return false;
    }
    return countFailure(wasTrial, now);
}

bool server_record::countFailure(bool wasTrial, time_point now)
{
    ++m_failuresInRow;
    m_lastFailure = now;
    const bool trialFailed = wasTrial && isEjected();
    return trialFailed || (!isEjected() && m_failuresInRow >= m_settings.failuresToEject);
}

void server_record::onAbandoned()
{
    endRequest();
}

bool server_record::onUnanswered(duration elapsed, time_point now)
{
    // The actual latency is longer than `elapsed`, so a sample below the estimate would make a slow
    // server look faster.
    if (toSeconds(elapsed) > m_latency.value_or(0))
        sample(toSeconds(elapsed), now);
    // A single slow reply among others is not a failure. A server without any replies is
    // unreachable or stopped; its requests are given up before they time out, so they are counted
    // here.
    return isStalled(now) && countFailure(m_trialInFlight, now);
}

void server_record::eject(time_point now)
{
    const std::uint32_t doublings = std::min(m_ejections, 20U);
    const auto time = std::min<std::chrono::milliseconds>(
        m_settings.firstEjection * (1U << doublings), m_settings.longestEjection);
    m_ejectedUntil = now + time;
    ++m_ejections;
}

bool server_record::isTrialDue(time_point now) const
{
    return m_ejectedUntil.has_value() && *m_ejectedUntil <= now && !m_trialInFlight;
}

bool server_record::isStalled(time_point now) const
{
    if (!m_unansweredSince.has_value())
        return false;
    const double typical = m_typicalLatency.value_or(toSeconds(m_settings.assumedLatency));
    const double longest =
        std::max(typical * m_settings.stallFactor, toSeconds(m_settings.minStallTime));
    return toSeconds(now - *m_unansweredSince) > longest;
}

bool server_record::isLeaving(wall_time wall) const
{
    return leaving || (m_server.leavesAt.has_value() && *m_server.leavesAt <= wall);
}

double server_record::expectedWait(time_point now) const
{
    const double assumed = toSeconds(m_settings.assumedLatency);
    double wait = assumed;
    if (m_latency.has_value())
        wait = std::max(*m_latency * decayFactor(m_latencyAt, now), std::min(*m_latency, assumed));
    wait *= 1 + static_cast<double>(m_inFlight) / std::max(1U, m_limit.value());
    if (m_failuresInRow != 0) {
        const double penalty = std::exp2(std::min(m_failuresInRow, 10U));
        wait *= 1 + penalty * decayFactor(m_lastFailure, now);
    }
    return starting ? wait * 4 : wait;
}

bool server_record::answeredWithin(std::chrono::milliseconds window, time_point now) const
{
    return m_lastAnswer.has_value() && now - *m_lastAnswer < window;
}

void server_record::endRequest()
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (m_inFlight == 0)
        m_unansweredSince.reset();
    m_trialInFlight = false;
}

void server_record::sample(double seconds, time_point now)
{
    m_latency = smoothed(m_latency, seconds);
    m_latencyAt = now;
}

double server_record::smoothed(std::optional<double> before, double seconds) const
{
    const double weight = m_settings.latencySmoothing;
    return before.has_value() ? *before * (1 - weight) + seconds * weight : seconds;
}

double server_record::ceiling() const
{
    const double bySlots = m_server.slots * m_settings.requestsPerSlot;
    return m_connections.has_value() ? std::min<double>(*m_connections, bySlots) : bySlots;
}

double server_record::decayFactor(time_point since, time_point now) const
{
    return std::exp2(-toSeconds(now - since) / toSeconds(m_settings.estimateHalfLife));
}

} // namespace waxwing
