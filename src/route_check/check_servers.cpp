#include "route_check/route_checks.h"
#include "route_check/route_services.h"
#include "route_check/server_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

/// Regions by which the servers of the route are selected; empty for any, also if the regions of
/// zones are not known.
std::span<const std::string> selectedRegions(const relay::route &subject,
                                             const check_context &context)
{
    if (!context.regions.has_value())
        return {};
    return subject.allowedRegions;
}

void checkAttempts(const relay::route &subject, std::size_t index, const check_context &context,
                   const server_summary &servers, finding_list &findings)
{
    std::size_t affected = 0;
    std::size_t fewest = 0;
    service_id first;
    for (const service_id &service : usedServices(subject)) {
        const std::size_t count = servers.count(service, selectedRegions(subject, context));
        // Services without servers are reported by themselves.
        if (count == 0 || count >= subject.attempts)
            continue;
        if (affected++ == 0 || count < fewest) {
            fewest = count;
            first = service;
        }
    }
    if (affected == 0)
        return;
    const std::string others =
        affected == 1 ? "" : fmt::format(" ({} of its services have too few)", affected);
    findings.push_back({finding_code::AttemptsAboveServers,
                        {document_section::Routes, index, document_field::Attempts},
                        fmt::format("Route {} allows {} attempts, each at another server, but "
                                    "service {} has {} that may serve it{}.",
                                    subject.name, subject.attempts, first.value, fewest, others)});
}

/// Upper bound of the requests a second that the servers can serve, for any mix of the routes: all
/// slots of used services, divided by the slots that the cheapest request occupies.
double capacity(const relay::route_document &document, const check_context &context,
                const server_summary &servers)
{
    std::set<service_id> used;
    std::size_t slotsOfRequest = 0;
    for (const relay::route &each : document.routes()) {
        const std::size_t needed = each.isFanOut() ? each.shards.size() : 1;
        slotsOfRequest = slotsOfRequest == 0 ? needed : std::min(slotsOfRequest, needed);
        for (service_id &service : usedServices(each))
            used.insert(std::move(service));
    }
    double slots = 0;
    for (const service_id &service : used)
        slots += static_cast<double>(servers.slots(service));
    const std::chrono::duration<double> time = *context.processingTime;
    return slotsOfRequest == 0 ? 0 : slots / static_cast<double>(slotsOfRequest) / time.count();
}

void checkQuotas(const relay::route_document &document, const check_context &context,
                 const server_summary &servers, finding_list &findings)
{
    double total = 0;
    for (const organisation &each : document.organisations().all())
        total += each.ratePerSecond;
    const double served = capacity(document, context, servers);
    if (total <= served)
        return;
    findings.push_back(
        {finding_code::QuotasAboveCapacity,
         {document_section::Organisations},
         fmt::format("The quotas add up to {:.1f} requests a second, but the registered servers "
                     "serve at most {:.1f} with a processing time of {} ms.",
                     total, served, context.processingTime->count())});
}

} // namespace

void checkServers(const relay::route_document &document, const check_context &context,
                  finding_list &findings)
{
    if (!context.servers.has_value())
        return;
    const server_summary servers(context);
    std::set<service_id> used;
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        const relay::route &each = document.routes()[i];
        checkAttempts(each, i, context, servers, findings);
        for (service_id &service : usedServices(each))
            used.insert(std::move(service));
    }
    for (std::size_t i = 0; i < document.services().size(); ++i) {
        const service_id &id = document.services()[i].id;
        if (used.contains(id) && servers.count(id) == 0)
            findings.push_back({finding_code::ServiceWithoutServers,
                                {document_section::Services, i},
                                fmt::format("Service {} has no registered server that accepts "
                                            "requests.",
                                            id.value)});
    }
    if (context.processingTime.has_value())
        checkQuotas(document, context, servers, findings);
}

} // namespace waxwing::route_check
