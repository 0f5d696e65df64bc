#include "distribution/platform_watch.h"

#include <algorithm>
#include <utility>

namespace waxwing {

platform_watch::platform_watch(const distribution_settings &settings) : m_settings(settings) { }

void platform_watch::start(reduce_context &context, bool watching, bool starting)
{
    if ((watching || starting) && !m_configurationAttempt && m_backoff.hasElapsed(context.now)) {
        platform_call call;
        call.method =
            m_readNext ? platform_call::method_kind::Get : platform_call::method_kind::Watch;
        call.kind = "configuration";
        call.name = "current";
        call.version = m_version;
        call.timeout = m_readNext ? m_settings.callTimeout : m_settings.watchTimeout;
        m_configurationAttempt = context.nextAttempt();
        context.emit(call_platform{*m_configurationAttempt, std::move(call)});
    }
    if (watching && !m_hostListAttempt && context.now >= m_nextHostListRead) {
        platform_call call;
        call.method = platform_call::method_kind::ListHosts;
        call.timeout = m_settings.callTimeout;
        m_hostListAttempt = context.nextAttempt();
        m_nextHostListRead = context.now + m_settings.hostListPeriod;
        context.emit(call_platform{*m_hostListAttempt, std::move(call)});
    }
}

bool platform_watch::finish(reduce_context &context, const platform_finished &finished,
                            revision_guard &guard)
{
    if (m_configurationAttempt == finished.attempt) {
        m_configurationAttempt.reset();
        onConfiguration(context, finished, guard);
        return true;
    }
    if (m_hostListAttempt == finished.attempt) {
        m_hostListAttempt.reset();
        onHostList(context, finished.result);
        return true;
    }
    return false;
}

std::optional<time_point> platform_watch::nextDeadline(bool watching, bool starting) const
{
    std::optional<time_point> next;
    if ((watching || starting) && !m_configurationAttempt)
        next = m_backoff.until();
    if (watching && !m_hostListAttempt)
        next = std::min(next.value_or(time_point::max()), m_nextHostListRead);
    return next;
}

void platform_watch::onConfiguration(reduce_context &context, const platform_finished &finished,
                                     revision_guard &guard)
{
    const platform_result &result = finished.result;
    if (result.status == platform_result::status_kind::NotModified) {
        // A restored platform may hold a lower version than the one that the watch waits for,
        // which only a read detects.
        m_readNext = true;
        m_backoff.succeed();
        return;
    }
    if (result.status != platform_result::status_kind::Done) {
        m_readNext = true;
        scheduleRetry(context);
        return;
    }
    const bool isRepeated = !m_readNext && result.version <= m_version;
    m_version = result.version;
    if (finished.parsed.document == nullptr) {
        context.emit(write_log{{log_level::Error,
                                "the platform's configuration is invalid and not adopted",
                                {{"version", std::to_string(result.version)}}}});
        m_readNext = false;
        scheduleRetry(context);
        return;
    }
    guard.offer(context, finished.parsed, revision_guard::source::Platform);
    m_readNext = guard.needsAnotherRead();
    if (m_readNext || isRepeated)
        scheduleRetry(context);
    else
        m_backoff.succeed();
}

void platform_watch::onHostList(reduce_context &context, const platform_result &result)
{
    if (result.status != platform_result::status_kind::Done)
        return;
    auto parsed = host_list::parse(result.value);
    if (!parsed.ok()) {
        context.emit(write_log{{log_level::Warning,
                                "the platform's host list cannot be read",
                                {{"error", std::string(parsed.status().message())}}}});
        return;
    }
    m_hosts = *std::move(parsed);
    ++m_hostListReads;
}

void platform_watch::scheduleRetry(reduce_context &context)
{
    m_backoff.fail(context.now, m_settings.retryDelay, m_settings.maxRetryDelay, context.random);
}

} // namespace waxwing
