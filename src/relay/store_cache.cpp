#include "relay/store_cache.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace waxwing::relay {

void store_cache::apply(const store_update &update, std::uint64_t revision)
{
    if (update.isComplete) {
        clear();
        m_isComplete = true;
        m_oldestRevision = revision;
        for (const store_object &object : update.objects)
            m_objects[object.name] = object;
    }
    for (const store_object &object : update.objects) {
        if (update.isComplete)
            break;
        if (object.removed)
            m_objects.erase(object.name);
        else
            m_objects[object.name] = object;
        m_changes.push_back(object);
    }
    while (m_changes.size() > maxChanges) {
        m_oldestRevision = std::max(m_oldestRevision, m_changes.front().revision);
        m_changes.pop_front();
    }
    advanceRevision(revision);
}

void store_cache::advanceRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

void store_cache::clear()
{
    m_isComplete = false;
    m_revision = 0;
    m_oldestRevision = 0;
    m_objects.clear();
    m_changes.clear();
}

store_answer store_cache::list() const
{
    store_answer answer;
    answer.revision = m_revision;
    for (const auto &[name, object] : m_objects)
        answer.objects.push_back(object);
    return answer;
}

std::optional<store_answer> store_cache::changesAfter(std::uint64_t revision) const
{
    if (revision < m_oldestRevision)
        return std::nullopt;
    store_answer answer;
    answer.revision = m_revision;
    std::set<std::string_view> newest;
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        if (change->revision > revision && newest.insert(change->name).second)
            answer.objects.push_back(*change);
    }
    std::reverse(answer.objects.begin(), answer.objects.end());
    return answer;
}

} // namespace waxwing::relay
