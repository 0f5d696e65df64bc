#include "relay/store_desk.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwing::relay {

void store_desk::setReadsStore(bool readsStore)
{
    if (m_readsStore == readsStore)
        return;
    m_readsStore = readsStore;
    for (auto &[kind, state] : m_kinds)
        state.copy.clear();
}

bool store_desk::isCurrent(const kind_state &state, time_point now) const
{
    return m_readsStore && state.copy.isComplete() && state.confirmedAt.has_value()
        && now - *state.confirmedAt < longestAge;
}

void store_desk::onStoreAnswer(followed_kind kind, const std::optional<store_update> &update,
                               std::uint64_t revision, time_point now, relay_effect_list &effects)
{
    if (!m_readsStore)
        return;
    kind_state &state = m_kinds[kind];
    state.confirmedAt = now;
    if (update.has_value())
        state.copy.apply(*update, revision);
    else
        state.copy.confirm(revision);
    answerWaiting(kind, now, effects);
}

void store_desk::onStoreFailure(followed_kind kind, relay_effect_list &effects)
{
    // Hosts that ask turn to another one, or to the store.
    m_kinds[kind].confirmedAt.reset();
    std::vector<request_id> refused;
    std::erase_if(m_waiting, [kind, &refused](const auto &entry) {
        if (entry.second.call.kind != kind)
            return false;
        refused.push_back({entry.first});
        return true;
    });
    if (!refused.empty())
        effects.push_back(answer_peer{std::move(refused), store_failure::Unavailable});
}

void store_desk::onAsked(const peer_request_received &asked, time_point now,
                         relay_effect_list &effects)
{
    const kind_state &state = m_kinds[asked.call.kind];
    if (!isCurrent(state, now)) {
        effects.push_back(answer_peer{{asked.id}, store_failure::Unavailable});
        return;
    }
    const auto *watch = std::get_if<watch_call>(&asked.call.how);
    if (watch == nullptr) {
        effects.push_back(answer_peer{{asked.id}, state.copy.list()});
        return;
    }
    m_waiting[asked.id.value] = {asked.call, now + watch->wait};
    answerWaiting(asked.call.kind, now, effects);
}

void store_desk::answerWaiting(followed_kind kind, time_point now, relay_effect_list &effects)
{
    const store_copy &copy = m_kinds[kind].copy;
    std::map<std::uint64_t, std::vector<request_id>> asked;
    for (const auto &[id, waiting] : m_waiting) {
        if (waiting.call.kind == kind)
            asked[std::get<watch_call>(waiting.call.how).revision].push_back({id});
    }
    // The hosts of a zone wait with the same revision. A large answer is made and formatted once,
    // not for each of them.
    for (auto &[revision, ids] : asked) {
        auto changes = copy.changesAfter(revision);
        if (changes.has_value() && changes->objects.empty()) {
            std::erase_if(
                ids, [this, now](request_id id) { return now < m_waiting.at(id.value).until; });
        }
        if (ids.empty())
            continue;
        for (const request_id id : ids)
            m_waiting.erase(id.value);
        if (changes.has_value())
            effects.push_back(answer_peer{std::move(ids), *std::move(changes)});
        else
            effects.push_back(answer_peer{std::move(ids), store_failure::HistoryGone});
    }
}

void store_desk::onGone(request_id id)
{
    m_waiting.erase(id.value);
}

void store_desk::onTick(time_point now, relay_effect_list &effects)
{
    std::erase_if(m_waiting, [&](const auto &entry) {
        if (now < entry.second.until)
            return false;
        const kind_state &state = m_kinds[entry.second.call.kind];
        if (isCurrent(state, now)) {
            store_answer unchanged;
            unchanged.revision = state.copy.revision();
            effects.push_back(answer_peer{{{entry.first}}, std::move(unchanged)});
        } else {
            effects.push_back(answer_peer{{{entry.first}}, store_failure::Unavailable});
        }
        return true;
    });
}

std::optional<time_point> store_desk::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &[id, waiting] : m_waiting) {
        if (!earliest.has_value() || waiting.until < *earliest)
            earliest = waiting.until;
    }
    return earliest;
}

} // namespace waxwing::relay
