#include "standins/object_store.h"

#include <algorithm>

namespace waxwing::standins {
namespace {

/// Copies kept of each object, the newest included. Bounds memory in long runs.
constexpr std::size_t copiesKept = 16;

} // namespace

std::optional<stored_object> object_store::find(const key &id, bool stale) const
{
    const auto found = m_objects.find(id);
    if (found == m_objects.end())
        return std::nullopt;
    const auto &copies = found->second;
    return stale && copies.size() > 1 ? copies[copies.size() - 2] : copies.back();
}

std::optional<std::uint64_t> object_store::write(const key &id, write_condition condition,
                                                 nlohmann::json value)
{
    const auto found = m_objects.find(id);
    const std::uint64_t version = found == m_objects.end() ? 0 : found->second.back().version;
    if (version != condition.version)
        return std::nullopt;
    auto &copies = m_objects[id];
    copies.push_back({version + 1, std::move(value)});
    if (copies.size() > copiesKept)
        copies.pop_front();
    return version + 1;
}

bool object_store::restore(const key &id, std::uint64_t version)
{
    const auto found = m_objects.find(id);
    if (found == m_objects.end())
        return false;
    auto &copies = found->second;
    const auto copy = std::find_if(copies.begin(), copies.end(), [version](const auto &entry) {
        return entry.version == version;
    });
    if (copy == copies.end())
        return false;
    copies.erase(copy + 1, copies.end());
    return true;
}

std::map<std::string, std::uint64_t> object_store::list(const std::string &kind) const
{
    std::map<std::string, std::uint64_t> result;
    for (auto next = m_objects.lower_bound({kind, ""});
         next != m_objects.end() && next->first.first == kind; ++next)
        result.emplace(next->first.second, next->second.back().version);
    return result;
}

} // namespace waxwing::standins
