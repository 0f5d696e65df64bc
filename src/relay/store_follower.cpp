#include "relay/store_follower.h"

#include <algorithm>
#include <utility>

namespace waxwing::relay {

store_follower::store_follower(followed_kind kind, store_follower_settings settings)
    : m_kind(kind), m_settings(settings)
{ }

void store_follower::start(time_point now)
{
    m_dueAt = now + m_settings.firstCallDelay;
}

void store_follower::setRole(store_role role, time_point now)
{
    // A host that begins to read the store needs all objects for those that ask it.
    if (role.readsStore && !m_role.readsStore) {
        m_mustList = true;
        m_pages.clear();
        if (!m_isCalling && m_dueAt.has_value())
            m_dueAt = std::max(now, *m_dueAt);
    }
    m_role = std::move(role);
}

std::optional<endpoint> store_follower::sourceAt(time_point now) const
{
    if (m_role.readsStore || m_role.sources.empty() || now < m_directUntil)
        return std::nullopt;
    std::vector<endpoint> answering;
    for (const endpoint &each : m_role.sources) {
        const auto silent = m_silentUntil.find(each);
        if (silent == m_silentUntil.end() || now >= silent->second)
            answering.push_back(each);
    }
    if (answering.empty() && now >= m_nextDirect)
        return std::nullopt;
    const std::vector<endpoint> &sources = answering.empty() ? m_role.sources : answering;
    return sources[m_turn % sources.size()];
}

void store_follower::onTick(time_point now, relay_effect_list &effects)
{
    if (m_isCalling || !m_dueAt.has_value() || now < *m_dueAt)
        return;
    m_dueAt.reset();
    if (!m_hasAsked && sourceAt(now).has_value()) {
        m_hasAsked = true;
        m_dueAt = now + m_settings.firstQuestionDelay;
        return;
    }
    m_isCalling = true;
    store_call call{m_kind, ++m_number, {}, sourceAt(now)};
    // With every host silent the store is read for as long as with every host refusing.
    if (!m_role.readsStore && !call.source.has_value() && now >= m_directUntil)
        readDirectly(now);
    m_dueAt.reset();
    if (m_mustList)
        call.how = list_call{m_pages.empty() ? std::string() : m_pages.back().name};
    else if (m_role.readsStore)
        // A call that the store lost ends with its longest wait. While the store fails, a short
        // call finds out that it is back.
        call.how = watch_call{m_revision,
                              m_failures > 0 ? std::chrono::milliseconds(0) : m_settings.watchWait};
    else
        call.how = watch_call{m_revision, m_settings.peerWait};
    effects.push_back(call_store{std::move(call)});
}

std::optional<store_update> store_follower::onCalled(const store_call_ended &ended, time_point now,
                                                     random_engine &random)
{
    if (!m_isCalling || ended.call.number != m_number)
        return std::nullopt;
    m_isCalling = false;
    if (ended.call.source.has_value())
        ++m_turn;
    if (const auto *failure = std::get_if<store_failure>(&ended.outcome)) {
        if (ended.call.source.has_value())
            onSourceFailure(*ended.call.source, *failure, now);
        else
            onFailure(*failure, now, random);
        return std::nullopt;
    }
    m_refusals = 0;
    m_failures = 0;
    return onAnswer(ended.call, std::get<store_answer>(ended.outcome), now);
}

std::optional<store_update> store_follower::onAnswer(const store_call &call,
                                                     const store_answer &answer, time_point now)
{
    m_dueAt = now;
    if (std::holds_alternative<list_call>(call.how)) {
        m_pages.insert(m_pages.end(), answer.objects.begin(), answer.objects.end());
        if (answer.more && !answer.objects.empty())
            return std::nullopt;
        m_mustList = false;
        m_hasListed = true;
        m_revision = answer.revision;
        return store_update{true, std::exchange(m_pages, {})};
    }
    m_revision = std::max(m_revision, answer.revision);
    if (answer.objects.empty())
        return std::nullopt;
    // Only calls to the store cost anything, and what a reader passes on is batched already.
    if (!call.source.has_value())
        m_dueAt = now + m_settings.batchTime;
    return store_update{false, answer.objects};
}

void store_follower::onSourceFailure(const endpoint &source, store_failure reason, time_point now)
{
    m_pages.clear();
    m_dueAt = now;
    if (reason == store_failure::HistoryGone || reason == store_failure::Malformed)
        m_mustList = true;
    if (reason == store_failure::NoAnswer || reason == store_failure::Unreachable)
        m_silentUntil[source] = now + m_settings.directTime;
    if (reason != store_failure::Unavailable)
        return;
    m_dueAt = now + m_settings.refusedRetry;
    if (++m_refusals >= m_settings.refusalsToRead && now >= m_nextDirect)
        readDirectly(now);
}

void store_follower::readDirectly(time_point now)
{
    m_refusals = 0;
    m_directUntil = now + m_settings.directTime;
    m_nextDirect = m_directUntil;
    m_dueAt = now;
}

void store_follower::onDirectFailure(time_point now)
{
    // The hosts that read the store notice when it is back; asking them costs nothing.
    m_directUntil = now;
    m_nextDirect = now + m_settings.directTime;
    m_dueAt = now + m_settings.refusedRetry;
}

void store_follower::onFailure(store_failure reason, time_point now, random_engine &random)
{
    m_pages.clear();
    if (reason == store_failure::HistoryGone) {
        m_mustList = true;
        m_dueAt = now;
        return;
    }
    if (reason == store_failure::Malformed)
        m_mustList = true;
    duration wait = m_settings.firstRetry;
    for (std::uint32_t i = 0; i < m_failures && wait < m_settings.longestRetry; ++i)
        wait *= 2;
    if (reason == store_failure::TooManyCalls)
        wait = m_settings.longestRetry;
    wait = std::min<duration>(wait, m_settings.longestRetry);
    ++m_failures;
    // A random part keeps hosts that lost the store together from calling it together.
    const auto range = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wait).count() / 2 + 1);
    m_dueAt = now + wait / 2 + std::chrono::microseconds(random(range));
    if (!m_role.readsStore && !m_role.sources.empty())
        onDirectFailure(now);
}

} // namespace waxwing::relay
