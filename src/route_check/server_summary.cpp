#include "route_check/server_summary.h"

#include <algorithm>
#include <vector>

namespace waxwing::route_check {

server_summary::server_summary(const check_context &context)
{
    if (!context.servers.has_value())
        return;
    for (const relay::registered_server &server : *context.servers) {
        if (server.leaving)
            continue;
        entry &counted = m_services[server.service];
        ++counted.servers;
        counted.slots += server.slots;
        if (!context.regions.has_value())
            continue;
        const auto region = context.regions->find(server.zone);
        if (region != context.regions->end())
            ++counted.serversByRegion[region->second];
    }
}

std::size_t server_summary::count(const service_id &service,
                                  std::span<const std::string> regions) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    if (regions.empty())
        return found->second.servers;
    std::size_t result = 0;
    for (const std::string &region : std::set<std::string>(regions.begin(), regions.end())) {
        const auto counted = found->second.serversByRegion.find(region);
        result += counted == found->second.serversByRegion.end() ? 0 : counted->second;
    }
    return result;
}

std::uint64_t server_summary::slots(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.slots;
}

bool server_summary::hasAny(std::span<const service_id> services, const std::string &region) const
{
    return std::any_of(services.begin(), services.end(), [&](const service_id &service) {
        return count(service, {&region, 1}) > 0;
    });
}

} // namespace waxwing::route_check
