#include "distribution/platform_watch.h"

#include <algorithm>
#include <utility>

namespace waxwing {

platform_watch::platform_watch(const distribution_settings &settings) : m_settings(settings) { }

void platform_watch::start(reduce_context &context, bool watching, bool starting)
{
    if ((watching || starting) && !m_attempt && m_pause.hasElapsed(context.now)) {
        platform_call call;
        call.method =
            m_readNext ? platform_call::method_kind::Get : platform_call::method_kind::Watch;
        call.kind = "configuration";
        call.name = "current";
        call.version = m_version;
        call.timeout = m_readNext ? m_settings.callTimeout : m_settings.watchTimeout;
        m_attempt = context.nextAttempt();
        context.emit(call_platform{*m_attempt, std::move(call)});
    }
    if (watching && !m_listAttempt && context.now >= m_nextList) {
        platform_call call;
        call.method = platform_call::method_kind::ListHosts;
        call.timeout = m_settings.callTimeout;
        m_listAttempt = context.nextAttempt();
        m_nextList = context.now + m_settings.hostListPeriod;
        context.emit(call_platform{*m_listAttempt, std::move(call)});
    }
}

bool platform_watch::finish(reduce_context &context, const platform_finished &finished,
                            revision_guard &guard)
{
    if (m_attempt == finished.attempt) {
        m_attempt.reset();
        onConfiguration(context, finished, guard);
        return true;
    }
    if (m_listAttempt == finished.attempt) {
        m_listAttempt.reset();
        onHostList(context, finished.result);
        return true;
    }
    return false;
}

std::optional<time_point> platform_watch::nextDeadline(bool watching, bool starting) const
{
    std::optional<time_point> next;
    if ((watching || starting) && !m_attempt)
        next = m_pause.until();
    if (watching && !m_listAttempt)
        next = std::min(next.value_or(time_point::max()), m_nextList);
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
        m_pause.succeed();
        return;
    }
    if (result.status != platform_result::status_kind::Done) {
        m_readNext = true;
        pause(context);
        return;
    }
    const bool isRepeated = !m_readNext && result.version <= m_version;
    m_version = result.version;
    if (finished.parsed.document == nullptr) {
        context.emit(write_log{{log_level::Error,
                                "the platform's configuration is invalid and not adopted",
                                {{"version", std::to_string(result.version)}}}});
        m_readNext = false;
        pause(context);
        return;
    }
    guard.offer(context, finished.parsed, revision_guard::source::Platform);
    m_readNext = guard.needsAnotherRead();
    if (m_readNext || isRepeated)
        pause(context);
    else
        m_pause.succeed();
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

void platform_watch::pause(reduce_context &context)
{
    m_pause.fail(context.now, m_settings.retryDelay, m_settings.maxRetryDelay, context.random);
}

} // namespace waxwing
