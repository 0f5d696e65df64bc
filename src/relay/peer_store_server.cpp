#include "relay/peer_store_server.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace waxwing::relay {

bool peer_store_server::isUpToDate(const kind_cache &state, time_point now) const
{
    return m_readsStore && state.cache.isComplete() && state.confirmedAt.has_value()
        && now - *state.confirmedAt < maxCacheAge;
}

void peer_store_server::onStoreAnswer(store_object_kind kind,
                                      const std::optional<store_update> &update,
                                      std::uint64_t revision, time_point now,
                                      relay_effect_list &effects)
{
    onSourceAnswer(kind, update, revision);
    m_caches[kind].confirmedAt = now;
    answerWaitingHosts(kind, now, effects);
}

void peer_store_server::onSourceAnswer(store_object_kind kind,
                                       const std::optional<store_update> &update,
                                       std::uint64_t revision)
{
    store_cache &cache = m_caches[kind].cache;
    if (update.has_value())
        cache.apply(*update, revision);
    else
        cache.advanceRevision(revision);
}

void peer_store_server::beginEra(store_object_kind kind, std::uint64_t era)
{
    kind_cache &state = m_caches[kind];
    if (era <= state.era)
        return;
    state.era = era;
    state.cache.clear();
    state.confirmedAt.reset();
}

void peer_store_server::onStoreFailure(store_object_kind kind, relay_effect_list &effects)
{
    // The refused hosts call another reader or the store.
    m_caches[kind].confirmedAt.reset();
    std::vector<request_id> refused;
    std::erase_if(m_waiting, [kind, &refused](const auto &entry) {
        if (entry.second.call.kind != kind)
            return false;
        refused.push_back({entry.first});
        return true;
    });
    if (!refused.empty())
        effects.push_back(
            answer_peer{std::move(refused), store_failure::Unavailable, false, m_caches[kind].era});
}

void peer_store_server::onPeerStoreRequest(const peer_request_received &asked, time_point now,
                                           relay_effect_list &effects)
{
    const kind_cache &state = m_caches[asked.call.kind];
    const auto *watch = std::get_if<watch_call>(&asked.call.how);
    const bool isBehind = watch != nullptr && watch->era > state.era;
    if (isBehind || !isUpToDate(state, now)) {
        effects.push_back(answer_peer{{asked.id}, store_failure::Unavailable, false, state.era});
        return;
    }
    if (watch == nullptr) {
        effects.push_back(
            answer_peer{{asked.id}, state.cache.list(), asked.call.acceptsCompression, state.era});
        return;
    }
    m_waiting[asked.id.value] = {asked.call, now + watch->wait};
    answerWaitingHosts(asked.call.kind, now, effects);
}

void peer_store_server::answerWaitingHosts(store_object_kind kind, time_point now,
                                           relay_effect_list &effects)
{
    const kind_cache &state = m_caches[kind];
    const store_cache &cache = state.cache;
    if (!cache.isComplete())
        return;
    std::map<std::tuple<std::uint64_t, std::uint64_t, bool>, std::vector<request_id>> groups;
    for (const auto &[id, waiting] : m_waiting) {
        const store_call &call = waiting.call;
        if (call.kind != kind)
            continue;
        const auto &watch = std::get<watch_call>(call.how);
        groups[{watch.era, watch.revision, call.acceptsCompression}].push_back({id});
    }
    // The hosts of a zone usually wait for the same revision. Grouping them means that a large
    // answer is built and formatted only once.
    for (auto &[key, ids] : groups) {
        const auto [era, revision, compressed] = key;
        auto changes = era == state.era ? cache.changesAfter(revision) : std::nullopt;
        if (changes.has_value() && changes->objects.empty()) {
            std::erase_if(
                ids, [this, now](request_id id) { return now < m_waiting.at(id.value).deadline; });
        }
        if (ids.empty())
            continue;
        for (const request_id id : ids)
            m_waiting.erase(id.value);
        if (changes.has_value())
            effects.push_back(
                answer_peer{std::move(ids), *std::move(changes), compressed, state.era});
        else
            effects.push_back(
                answer_peer{std::move(ids), store_failure::HistoryGone, false, state.era});
    }
}

void peer_store_server::onPeerDisconnected(request_id id)
{
    m_waiting.erase(id.value);
}

void peer_store_server::onTick(time_point now, relay_effect_list &effects)
{
    std::erase_if(m_waiting, [&](const auto &entry) {
        if (now < entry.second.deadline)
            return false;
        const kind_cache &state = m_caches[entry.second.call.kind];
        if (isUpToDate(state, now)) {
            store_answer unchanged;
            unchanged.revision = state.cache.revision();
            effects.push_back(answer_peer{{{entry.first}}, std::move(unchanged), false, state.era});
        } else {
            effects.push_back(
                answer_peer{{{entry.first}}, store_failure::Unavailable, false, state.era});
        }
        return true;
    });
}

std::optional<time_point> peer_store_server::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &[id, waiting] : m_waiting) {
        if (!earliest.has_value() || waiting.deadline < *earliest)
            earliest = waiting.deadline;
    }
    return earliest;
}

} // namespace waxwing::relay
