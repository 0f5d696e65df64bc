#include "standins/held_versions.h"

namespace waxwing::standins {

std::vector<std::uint64_t> held_versions::of(const service_id &service) const
{
    const auto found = m_newest.find(service);
    if (found == m_newest.end())
        return {1};
    return {found->second - 1, found->second};
}

void held_versions::publish(const service_id &service)
{
    ++m_newest.try_emplace(service, 1).first->second;
}

} // namespace waxwing::standins
