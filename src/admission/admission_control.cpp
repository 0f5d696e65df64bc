#include "admission/admission_control.h"

#include <algorithm>

namespace waxwing {

admission_control::admission_control(admission_settings settings) : m_settings(settings) { }

std::optional<admission_refusal>
admission_control::admit(const service_id &service, const std::string &caller, duration timeLeft)
{
    load &target = m_services[service];
    const std::size_t limit = limitOf(target, timeLeft);
    const bool overShare = isOverShare(target, caller, limit);
    if (overShare || target.inProgress >= limit || m_inProgress >= m_settings.maxInProgress) {
        admission_refusal refused;
        refused.callerOverShare = overShare;
        // The searches in progress end within about one average search time.
        const auto drained =
            std::chrono::milliseconds(static_cast<std::int64_t>(target.meanSeconds * 1000));
        refused.retryAfter = std::max(refused.retryAfter, drained);
        return refused;
    }
    ++m_inProgress;
    ++target.inProgress;
    if (!caller.empty())
        ++target.byCaller[caller];
    return std::nullopt;
}

void admission_control::release(const service_id &service, const std::string &caller,
                                std::optional<duration> elapsed)
{
    load &target = m_services[service];
    if (elapsed.has_value()) {
        const double seconds = std::chrono::duration<double>(*elapsed).count();
        const auto concurrency = static_cast<double>(target.inProgress);
        const double weight = target.meanConcurrency == 0 ? 1 : m_settings.smoothing;
        target.meanSeconds += (seconds - target.meanSeconds) * weight;
        target.meanConcurrency += (concurrency - target.meanConcurrency) * weight;
    }
    --m_inProgress;
    --target.inProgress;
    const auto share = target.byCaller.find(caller);
    if (share != target.byCaller.end() && --share->second == 0)
        target.byCaller.erase(share);
}

bool admission_control::isOverShare(const load &target, const std::string &caller,
                                    std::size_t limit) const
{
    if (caller.empty() || target.inProgress * 2 < limit)
        return false;
    const auto own = target.byCaller.find(caller);
    if (own == target.byCaller.end() || target.byCaller.size() < 2)
        return false;
    return own->second >= std::max<std::size_t>(1, limit / target.byCaller.size());
}

std::size_t admission_control::limitOf(const load &target, duration timeLeft) const
{
    if (target.meanSeconds <= 0)
        return m_settings.maxInProgress;
    // By Little's law, a search that runs beside n others takes n times the average time of one.
    const double secondsEach = target.meanSeconds / target.meanConcurrency;
    const double available = std::chrono::duration<double>(timeLeft).count() * m_settings.waitShare;
    const double limit = std::min(available / secondsEach, 1e6);
    return std::max(m_settings.alwaysAdmitted, static_cast<std::size_t>(limit));
}

} // namespace waxwing
