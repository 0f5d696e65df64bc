#include "relay/relay_context.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

/// Returns a number in [0, 1) that spreads consecutive requests evenly: the fractional part of a
/// multiple of the golden ratio.
double drawOf(request_id request)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15;
    constexpr int unusedBits = 11;
    return static_cast<double>((request.value * goldenRatio) >> unusedBits) * 0x1p-53;
}

} // namespace

relay_requests::relay_requests(const relay_settings &values, zone_latencies zoneLatencies)
    : settings(values), zones(std::make_shared<const zone_directory>(values.regions)),
      leaves(values.leaves, std::move(zoneLatencies)), contact(values.contact),
      helpers(values.forwarding), coordinators(values.coordinators, values.extras.window),
      hedgeRate(values.hedges), quarantine(values.quarantine)
{ }

std::size_t relay_requests::budgetHosts(const service_id &service) const
{
    return fanOutShare.has_value() && fanOutServices.count(service) > 0 ? fanOutShare->budgetHosts
                                                                        : hosts;
}

extra_request_budget &relay_requests::budgetOf(const service_id &service)
{
    const auto [entry, isNew] = budgets.try_emplace(service, settings.extras);
    if (isNew)
        entry->second.setHosts(budgetHosts(service));
    return entry->second;
}

placement relay_requests::placementOf(const pending_request &request) const
{
    placement::region_list organisationRegions;
    if (request.customer != nullptr)
        organisationRegions = request.customer->allowedRegions;
    return {zones, request.target->allowedRegions, organisationRegions, drawOf(request.id)};
}

std::optional<waiting_part> relay_requests::nextWaiting(const service_id &service,
                                                        const std::vector<placement> &full) const
{
    if (full.empty())
        return waiting.first(service);
    return waiting.first(service, [&](const waiting_part &part) {
        const auto pending = inProgress.find(part.request.value);
        return pending != inProgress.end()
            && std::find(full.begin(), full.end(), placementOf(*pending->second)) != full.end();
    });
}

std::size_t relay_requests::countAhead(const pending_request &request,
                                       const service_id &service) const
{
    const placement where = placementOf(request);
    if (!where.hasRegions())
        return waiting.countAhead(service, request.target->rank, waitingCustomer(request));
    const auto isElsewhere = [&](const waiting_part &part) {
        const auto pending = inProgress.find(part.request.value);
        return pending != inProgress.end() && !where.overlaps(placementOf(*pending->second));
    };
    return waiting.countAhead(service, request.target->rank, waitingCustomer(request), isElsewhere);
}

std::set<service_id> relay_requests::waitingServices() const
{
    std::set<service_id> services;
    for (const auto &[id, request] : inProgress) {
        for (const relay_part &part : request->parts) {
            if (part.step == relay_part::step_kind::Waiting)
                services.insert(part.service);
        }
    }
    return services;
}

void relay_requests::scheduleTurn(const service_id &service, time_point now)
{
    const auto at = leaves.nextTurnAt(service, now);
    if (!at.has_value())
        return;
    const auto [known, isNew] = nextTurns.try_emplace(service, *at);
    if (!isNew && known->second <= *at)
        return;
    known->second = *at;
    turns.emplace(*at, service);
}

waiting_customer waitingCustomer(const pending_request &request)
{
    const organisation *customer = request.customer;
    // Callers without an organisation do not go before any organisation.
    if (customer == nullptr)
        return {request.document->organisations().leastUrgentRank(), {}, 1};
    return {customer->rank, customer->id, customer->hasQuota() ? customer->ratePerSecond : 1};
}

waiting_part queueEntry(const pending_request &request, std::size_t index)
{
    return {request.target->rank, request.queueDeadline, request.id, index,
            waitingCustomer(request)};
}

void removeFromQueue(relay_requests &state, const pending_request &request, std::size_t index)
{
    const relay_part &part = request.parts[index];
    if (part.step == relay_part::step_kind::Waiting)
        state.waiting.remove(part.service, queueEntry(request, index));
}

void serveFromQueue(relay_requests &state, const pending_request &request, std::size_t index)
{
    const relay_part &part = request.parts[index];
    if (part.step == relay_part::step_kind::Waiting)
        state.waiting.serve(part.service, queueEntry(request, index));
}

} // namespace waxwing::relay
