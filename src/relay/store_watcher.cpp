#include "relay/store_watcher.h"

#include <algorithm>
#include <utility>

namespace waxwing::relay {
namespace {

/// Wait time of a watch for evacuations at the store. A host that is cut off from the store notices
/// 1.5 s after this time, then asks another host, and evacuations must be in force within 5 s.
constexpr std::chrono::milliseconds evacuationWatchTimeout{2500};

/// Name of the last object that has one, after which a list continues. An object whose name cannot
/// be read has none.
std::string lastName(const std::vector<store_object> &objects, const std::string &otherwise = {})
{
    const auto last = std::find_if(objects.rbegin(), objects.rend(),
                                   [](const store_object &each) { return !each.name.empty(); });
    return last == objects.rend() ? otherwise : last->name;
}

} // namespace

store_watcher::store_watcher(store_object_kind kind, store_watcher_settings settings)
    : m_kind(kind), m_settings(settings)
{ }

void store_watcher::start(time_point now)
{
    m_nextCallAt = now;
}

void store_watcher::setRole(store_role role, time_point now)
{
    // Other hosts are refused until the store has confirmed that this host is up to date. A call to
    // another host is abandoned; its answer is ignored because of its number.
    if (role.readsStore && !m_role.readsStore && m_hasListed && !m_callsStore) {
        m_confirmsAtOnce = true;
        m_callInProgress = false;
        m_nextCallAt = now;
    }
    m_role = std::move(role);
}

void store_watcher::discardPages()
{
    m_pages.clear();
    m_pagesRevision.reset();
}

std::optional<endpoint> store_watcher::chooseSource(time_point now) const
{
    if (m_role.readsStore)
        return chooseFallback();
    if (m_role.sources.empty() || now < m_directReadUntil)
        return std::nullopt;
    if (!m_hasListed && m_failures == 0)
        return std::nullopt;
    std::vector<endpoint> responsive;
    for (const endpoint &each : m_role.sources) {
        const auto unresponsive = m_unresponsiveUntil.find(each);
        if (unresponsive == m_unresponsiveUntil.end() || now >= unresponsive->second)
            responsive.push_back(each);
    }
    if (responsive.empty() && now >= m_nextDirectReadAt)
        return std::nullopt;
    const std::vector<endpoint> &sources = responsive.empty() ? m_role.sources : responsive;
    return sources[m_sourceCalls % sources.size()];
}

std::optional<endpoint> store_watcher::chooseFallback() const
{
    if (m_kind != store_object_kind::Evacuations || !m_mayAskFallback || m_role.fallbacks.empty())
        return std::nullopt;
    return m_role.fallbacks[m_sourceCalls % m_role.fallbacks.size()];
}

void store_watcher::onTick(time_point now, relay_effect_list &effects)
{
    if (m_callInProgress || !m_nextCallAt.has_value() || now < *m_nextCallAt)
        return;
    m_callInProgress = true;
    store_call call = createCall(now);
    m_callsStore = !call.source.has_value();
    effects.push_back(call_store{std::move(call)});
    m_nextCallAt.reset();
}

store_call store_watcher::createCall(time_point now)
{
    store_call call{m_kind, ++m_lastCallNumber, {}, chooseSource(now)};
    // If no source responds, the store is read for as long as if every source refuses.
    if (!m_role.readsStore && m_hasListed && !call.source.has_value() && now >= m_directReadUntil)
        startDirectRead(now);
    if (m_needsList) {
        // After a missed history only a list of the current objects helps.
        // The few evacuations are listed from current data: a host is not ready before it knows
        // those in force, and its first watch comes a second later.
        const bool mayBeStale =
            !m_hasListed && !call.source.has_value() && m_kind != store_object_kind::Evacuations;
        call.how = list_call{lastName(m_pages), mayBeStale};
    } else if (m_role.readsStore) {
        // A watch that the store lost ends only after its full wait time. While the store fails, a
        // watch without wait time detects its recovery sooner.
        const bool returnsAtOnce = m_failures > 0 || m_confirmsAtOnce;
        const auto longest = m_kind == store_object_kind::Evacuations ? evacuationWatchTimeout
                                                                      : m_settings.watchTimeout;
        call.how =
            watch_call{m_revision, returnsAtOnce ? std::chrono::milliseconds(0) : longest, m_era};
        m_confirmsAtOnce = false;
    } else {
        // A host is not ready before it knows the evacuations in force.
        const bool returnsAtOnce = m_kind == store_object_kind::Evacuations && !m_isConfirmed;
        call.how = watch_call{
            m_revision, returnsAtOnce ? std::chrono::milliseconds(0) : m_settings.peerWatchTimeout,
            m_era};
    }
    return call;
}

std::optional<store_update> store_watcher::onCallFinished(const store_call_ended &ended,
                                                          time_point now, random_engine &random)
{
    if (!m_callInProgress || ended.call.number != m_lastCallNumber)
        return std::nullopt;
    m_callInProgress = false;
    m_callsStore = false;
    const bool wasFallback = m_role.readsStore && ended.call.source.has_value();
    m_mayAskFallback = false;
    if (ended.call.source.has_value())
        ++m_sourceCalls;
    const std::uint64_t era = ended.era.value_or(0);
    const bool isLater = era > m_era;
    if (isLater)
        beginEra(era);
    if (const auto *failure = std::get_if<store_failure>(&ended.outcome)) {
        onFailure(ended.call, *failure, now, random);
        return std::nullopt;
    }
    if (era < m_era || isOlderCopy(ended)) {
        onFailure(ended.call, store_failure::Unavailable, now, random);
        return std::nullopt;
    }
    m_refusals = 0;
    m_failures = wasFallback ? m_failures : 0;
    const auto *list = std::get_if<list_call>(&ended.call.how);
    // The first page of a list is complete by itself; anything else continues the earlier era.
    if (isLater && (list == nullptr || !list->after.empty())) {
        m_nextCallAt = now;
        return std::nullopt;
    }
    const auto &answer = std::get<store_answer>(ended.outcome);
    if (list != nullptr && answer.more && lastName(answer.objects, list->after) == list->after) {
        // The next call would return the same page again.
        onFailure(ended.call, store_failure::Malformed, now, random);
        return std::nullopt;
    }
    return onResponse(ended.call, answer, now);
}

bool store_watcher::isOlderCopy(const store_call_ended &ended) const
{
    const auto *answer = std::get_if<store_answer>(&ended.outcome);
    return m_hasListed && ended.call.source.has_value() && answer != nullptr
        && std::holds_alternative<list_call>(ended.call.how) && answer->revision < m_revision;
}

void store_watcher::onFailure(const store_call &call, store_failure reason, time_point now,
                              random_engine &random)
{
    if (call.source.has_value())
        onSourceFailure(*call.source, reason, now);
    else
        onStoreFailure(reason, now, random);
}

void store_watcher::beginEra(std::uint64_t era)
{
    m_era = era;
    m_revision = 0;
    m_needsList = true;
    discardPages();
}

void store_watcher::onEra(std::uint64_t era, time_point now)
{
    if (era <= m_era)
        return;
    const bool isFirstPage = !m_hasListed && m_pages.empty();
    beginEra(era);
    // The first page is checked when it arrives.
    if (isFirstPage)
        return;
    // The answer to a call in progress is ignored because of its number.
    m_callInProgress = false;
    m_callsStore = false;
    m_nextCallAt = now;
}

std::optional<store_update> store_watcher::onResponse(const store_call &call,
                                                      const store_answer &answer, time_point now)
{
    m_nextCallAt = now;
    if (std::holds_alternative<list_call>(call.how)) {
        m_pages.insert(m_pages.end(), answer.objects.begin(), answer.objects.end());
        // The objects of a page can change before the next page is read, so the watch starts at the
        // oldest page.
        m_pagesRevision = std::min(m_pagesRevision.value_or(answer.revision), answer.revision);
        if (answer.more)
            return std::nullopt;
        m_revision = *m_pagesRevision;
        if (!m_hasListed) {
            // The first list may be old, and other hosts are refused until this one is up to date.
            m_confirmsAtOnce = true;
            m_nextCallAt = now + m_settings.firstWatchDelay;
        }
        m_needsList = false;
        m_isConfirmed = m_isConfirmed || !std::get<list_call>(call.how).mayBeStale;
        m_hasListed = true;
        m_pagesRevision.reset();
        return store_update{true, std::exchange(m_pages, {})};
    }
    m_revision = std::max(m_revision, answer.revision);
    m_isConfirmed = true;
    if (answer.objects.empty())
        return std::nullopt;
    // Only calls to the store cost anything, and changes from a reader are already batched.
    if (!call.source.has_value())
        m_nextCallAt =
            now + (m_role.readsStore ? m_settings.batchDelay : m_settings.substituteBatchDelay);
    return store_update{false, answer.objects};
}

void store_watcher::onSourceFailure(const endpoint &source, store_failure reason, time_point now)
{
    discardPages();
    m_nextCallAt = now;
    if (reason == store_failure::HistoryGone || reason == store_failure::Malformed)
        m_needsList = true;
    if (reason == store_failure::NoAnswer || reason == store_failure::Unreachable)
        m_unresponsiveUntil[source] = now + m_settings.directReadPeriod;
    if (reason != store_failure::Unavailable)
        return;
    m_nextCallAt = now + m_settings.refusedRetryDelay;
    if (++m_refusals >= m_settings.refusalsBeforeDirectRead && now >= m_nextDirectReadAt)
        startDirectRead(now);
}

void store_watcher::startDirectRead(time_point now)
{
    m_refusals = 0;
    m_directReadUntil = now + m_settings.directReadPeriod;
    m_nextDirectReadAt = m_directReadUntil;
    m_nextCallAt = now;
}

void store_watcher::endDirectRead(time_point now)
{
    // The readers detect when the store recovers, and calls to them cost nothing.
    m_directReadUntil = now;
    m_nextDirectReadAt = now + m_settings.directReadPeriod;
    m_nextCallAt = now + m_settings.refusedRetryDelay;
}

void store_watcher::onStoreFailure(store_failure reason, time_point now, random_engine &random)
{
    discardPages();
    if (reason == store_failure::HistoryGone) {
        m_needsList = true;
        m_nextCallAt = now;
        return;
    }
    if (reason == store_failure::Malformed)
        m_needsList = true;
    duration wait = m_settings.initialRetryDelay;
    for (std::uint32_t i = 0; i < m_failures && wait < m_settings.maxRetryDelay; ++i)
        wait *= 2;
    if (reason == store_failure::TooManyCalls)
        wait = m_settings.maxRetryDelay;
    wait = std::min<duration>(wait, m_settings.maxRetryDelay);
    ++m_failures;
    m_mayAskFallback = true;
    // Jitter prevents hosts that lost the store at the same time from retrying at the same time.
    const auto range = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wait).count() / 2 + 1);
    m_nextCallAt = now + wait / 2 + std::chrono::microseconds(random(range));
    if (!m_role.readsStore && !m_role.sources.empty())
        endDirectRead(now);
}

} // namespace waxwing::relay
