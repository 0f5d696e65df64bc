#include "relay/leaf_pool.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwing::relay {
namespace {

/// Weight of this host's requests in progress per slot in the expected time of a server. Below 1,
/// since the measured slowness already includes the queue of the server.
constexpr double queueWeight = 0.5;
/// Connection limit of servers whose service is not in the document.
constexpr std::uint32_t defaultConnectionLimit = 16;

} // namespace

/// Rating of a server for a request.
struct leaf_pool::rating
{
    server_candidate candidate;
    duration expected{};
    /// Whether the server is at its limit of requests in progress or has to wait for its turn.
    bool isFull = false;
};

std::uint64_t observationKey(const registered_server &entry)
{
    return stableHash(entry.id.value, static_cast<std::uint64_t>(entry.startedAt));
}

leaf_pool::leaf_pool(leaf_pool_settings settings, zone_latencies zoneLatencies)
    : m_settings(settings), m_choice(settings.choice), m_zoneLatencies(std::move(zoneLatencies))
{ }

std::optional<endpoint> leaf_pool::put(registered_server entry, time_point now)
{
    const auto known = m_servers.find(entry.id);
    if (known == m_servers.end()) {
        auto created = std::make_shared<leaf>(m_settings.leaves, std::move(entry), now);
        created->setHosts(hostsOf(*created), now);
        configureCold(*created, now);
        const auto departed = m_departed.find(created->entry().id);
        if (departed != m_departed.end() && departed->second == created->entry().startedAt)
            created->onLeaving();
        m_services[created->entry().service].push_back(created);
        updateObservationKey(std::nullopt, created);
        m_servers.emplace(created->entry().id, std::move(created));
        return std::nullopt;
    }
    const std::shared_ptr<leaf> server = known->second;
    const endpoint before = server->entry().address;
    if (server->entry().service != entry.service) {
        removeFromService(server);
        m_services[entry.service].push_back(server);
    }
    const std::uint64_t keyBefore = observationKey(server->entry());
    if (server->entry().startedAt != entry.startedAt && !server->isLeaving())
        m_ended.push_back(keyBefore);
    server->update(std::move(entry), now);
    updateObservationKey(keyBefore, server);
    configureCold(*server, now);
    return before == server->entry().address ? std::nullopt : std::optional<endpoint>(before);
}

void leaf_pool::markUnlisted(const server_id &server, time_point now)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || known->second->unlistedSince.has_value())
        return;
    known->second->unlistedSince = now;
    if (!known->second->isLeaving())
        m_ended.push_back(observationKey(known->second->entry()));
    updateNextRemoval();
}

std::vector<std::uint64_t> leaf_pool::takeEnded()
{
    return std::exchange(m_ended, {});
}

std::vector<endpoint> leaf_pool::removeUnlisted(time_point now)
{
    std::vector<endpoint> addresses;
    if (!m_removalAt.has_value() || now < *m_removalAt)
        return addresses;
    for (auto position = m_servers.begin(); position != m_servers.end();) {
        const auto since = position->second->unlistedSince;
        if (!since.has_value() || now - *since < m_settings.unlistedGracePeriod) {
            ++position;
            continue;
        }
        addresses.push_back(position->second->entry().address);
        rememberDeparture(*position->second);
        removeFromService(position->second);
        m_observed.erase(observationKey(position->second->entry()));
        position = m_servers.erase(position);
    }
    updateNextRemoval();
    return addresses;
}

void leaf_pool::updateObservationKey(std::optional<std::uint64_t> before,
                                     const std::shared_ptr<leaf> &server)
{
    if (!m_settings.sharesObservations)
        return;
    if (before.has_value())
        m_observed.erase(*before);
    m_observed[observationKey(server->entry())] = server;
}

std::shared_ptr<leaf> leaf_pool::findObserved(std::uint64_t key) const
{
    const auto known = m_observed.find(key);
    return known == m_observed.end() ? nullptr : known->second;
}

void leaf_pool::rememberDeparture(const leaf &server)
{
    if (!server.isLeaving())
        return;
    if (m_departed.size() >= maxDeparted)
        m_departed.clear();
    m_departed[server.entry().id] = server.entry().startedAt;
}

void leaf_pool::updateNextRemoval()
{
    std::optional<time_point> earliest;
    for (const auto &[id, server] : m_servers) {
        if (server->unlistedSince.has_value()
            && (!earliest.has_value() || *server->unlistedSince < *earliest))
            earliest = *server->unlistedSince;
    }
    if (earliest.has_value())
        *earliest += m_settings.unlistedGracePeriod;
    m_removalAt = earliest;
}

void leaf_pool::setConnections(std::size_t hosts, std::map<service_id, std::uint32_t> limits,
                               time_point now)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
    m_connectionLimits = std::move(limits);
    for (const auto &[id, server] : m_servers) {
        server->setHosts(hostsOf(*server), now);
        configureCold(*server, now);
    }
}

void leaf_pool::setShares(std::map<service_id, coordinator_share> shares, time_point now)
{
    if (shares == m_shares)
        return;
    m_shares = std::move(shares);
    for (const auto &[id, server] : m_servers) {
        server->setHosts(hostsOf(*server), now);
        configureCold(*server, now);
    }
}

std::size_t leaf_pool::hostsOf(const leaf &server) const
{
    const auto share = m_shares.find(server.entry().service);
    return share == m_shares.end() ? m_hosts : share->second.limitHosts;
}

void leaf_pool::configureCold(leaf &server, time_point now) const
{
    const auto rate = m_coldRates.find(server.entry().service);
    server.cold().configure(rate == m_coldRates.end() ? cold_rate{} : rate->second,
                            std::max(hostsOf(server), m_leastColdHosts), m_turnPhase, now);
}

void leaf_pool::setLeastColdHosts(std::size_t hosts, time_point now)
{
    m_leastColdHosts = hosts;
    for (const auto &[id, server] : m_servers)
        configureCold(*server, now);
}

void leaf_pool::setColdRates(std::map<service_id, cold_rate> rates, double phase, time_point now)
{
    m_coldRates = std::move(rates);
    m_turnPhase = phase;
    for (const auto &[id, server] : m_servers)
        configureCold(*server, now);
}

void leaf_pool::onZoneReturned(const zone_id &zone, time_point now)
{
    for (const auto &[id, server] : m_servers) {
        if (server->entry().zone == zone)
            server->cold().onSuspected(now);
    }
}

void leaf_pool::removeFromService(const std::shared_ptr<leaf> &server)
{
    const auto service = m_services.find(server->entry().service);
    if (service == m_services.end())
        return;
    std::erase(service->second, server);
    if (service->second.empty())
        m_services.erase(service);
}

std::size_t leaf_pool::requestLimit(const leaf &candidate) const
{
    if (const auto own = m_shares.find(candidate.entry().service); own != m_shares.end())
        return std::max<std::size_t>(1, std::min(own->second.connections, candidate.limit()));
    const auto stated = m_connectionLimits.find(candidate.entry().service);
    const std::uint32_t connections =
        stated == m_connectionLimits.end() ? defaultConnectionLimit : stated->second;
    const double share =
        m_settings.usedConnectionFraction * connections / static_cast<double>(m_hosts);
    return std::max<std::size_t>(1, std::min(static_cast<std::size_t>(share), candidate.limit()));
}

duration leaf_pool::trafficCost(const zone_id &zone) const
{
    switch (m_zoneLatencies.locality(zone)) {
    case zone_locality::SameZone:
        return duration::zero();
    case zone_locality::SameRegion:
        return m_settings.otherZoneCost;
    case zone_locality::OtherRegion:
        break;
    }
    return m_settings.otherRegionCost;
}

std::optional<leaf_pool::rating> leaf_pool::rate(const std::shared_ptr<leaf> &candidate,
                                                 duration processingTime, time_point now) const
{
    using state_kind = server_candidate::state_kind;
    const registered_server &entry = candidate->entry();
    if (!candidate->isUsable(now))
        return std::nullopt;
    const double load =
        static_cast<double>(candidate->inFlight()) / std::max<std::uint32_t>(entry.slots, 1);
    const auto timeAtServer =
        std::chrono::duration_cast<duration>(processingTime * candidate->slowness(now));
    rating result;
    server_candidate &rated = result.candidate;
    rated.queueCost = std::chrono::duration_cast<duration>(timeAtServer * queueWeight * load);
    result.expected = m_zoneLatencies.roundTrip(entry.zone) + timeAtServer + rated.queueCost;
    rated.trafficCost = trafficCost(entry.zone);
    // A host that uses one of the other regions has recent answers of its servers, with their
    // limits and pauses.
    if (m_zoneLatencies.locality(entry.zone) == zone_locality::OtherRegion)
        rated.separateZone = entry.zone.value;
    rated.cost = result.expected - rated.queueCost + rated.trafficCost
        + std::chrono::duration_cast<duration>(m_settings.leaves.failureCost
                                               * candidate->errorShare(now));
    // What other hosts observed changes the order only, not the time after which a request counts
    // as overdue.
    if (!candidate->observations().isEmpty())
        rated.cost += std::chrono::duration_cast<duration>(
            processingTime * (candidate->sharedSlowness(now) - candidate->slowness(now)));
    rated.ownRequests = candidate->ownRequests(now);
    rated.slots = entry.slots;
    rated.report = candidate->loadReport(now);
    if (candidate->unlistedSince.has_value())
        rated.state = state_kind::Unlisted;
    else if (candidate->isStalled(now) || candidate->isBackingOff(now))
        rated.state = state_kind::Degraded;
    result.isFull = candidate->inFlight() >= requestLimit(*candidate) || !candidate->hasTurn(now);
    return result;
}

leaf_choice leaf_pool::choose(const service_id &service, const placement &where,
                              const leaf_list &tried, duration processingTime,
                              random_engine &random, time_point now) const
{
    leaf_choice best;
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return best;
    leaf_list servers;
    std::vector<duration> expected;
    std::vector<server_candidate> candidates;
    for (const std::shared_ptr<leaf> &candidate : known->second) {
        if (!where.allows(candidate->entry().zone)
            || std::find(tried.begin(), tried.end(), candidate) != tried.end())
            continue;
        std::optional<rating> rated = rate(candidate, processingTime, now);
        if (!rated.has_value())
            continue;
        if (rated->isFull) {
            best.result = leaf_choice::result_kind::Full;
            continue;
        }
        if (rated->candidate.state == server_candidate::state_kind::Healthy
            && where.prefersOthers(candidate->entry().zone))
            rated->candidate.state = server_candidate::state_kind::Degraded;
        servers.push_back(candidate);
        expected.push_back(rated->expected);
        candidates.push_back(rated->candidate);
    }
    const auto chosen = m_choice.choose(candidates, processingTime, random);
    if (!chosen.has_value())
        return best;
    const std::shared_ptr<leaf> &server = servers[chosen->index];
    server->onChosen(chosen->ownRequests - static_cast<double>(server->inFlight()), chosen->weight,
                     now);
    return {leaf_choice::result_kind::Found, server, expected[chosen->index],
            candidates[chosen->index].state == server_candidate::state_kind::Healthy};
}

bool leaf_pool::isServed(const service_id &service, const placement &where, time_point now) const
{
    const auto known = m_services.find(service);
    return known != m_services.end()
        && std::any_of(known->second.begin(), known->second.end(),
                       [&where, now](const std::shared_ptr<leaf> &each) {
                           return where.allows(each->entry().zone) && each->isUsable(now);
                       });
}

std::size_t leaf_pool::roomUntil(const service_id &service, const placement &where,
                                 duration processingTime, time_point now, time_point until) const
{
    double room = 0;
    bool hasUnlimited = false;
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return 0;
    for (const std::shared_ptr<leaf> &each : known->second) {
        if (!where.allows(each->entry().zone))
            continue;
        const bool isLimited = each->isLimited(now);
        if (!isLimited || each->isUsable(now))
            room += each->roomUntil(processingTime, now, until);
        hasUnlimited = hasUnlimited || (!isLimited && each->isUsable(now));
    }
    return static_cast<std::size_t>(std::ceil(room)) + (hasUnlimited ? 1 : 0);
}

std::optional<time_point> leaf_pool::nextTurnAt(const service_id &service, time_point now) const
{
    std::optional<time_point> earliest;
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return earliest;
    for (const std::shared_ptr<leaf> &each : known->second) {
        if (!each->isUsable(now) || each->hasTurn(now))
            continue;
        const time_point at = each->turnAt(now);
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

std::optional<time_point> leaf_pool::usableAt(const service_id &service, const placement &where,
                                              time_point now) const
{
    std::optional<time_point> earliest;
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return earliest;
    for (const std::shared_ptr<leaf> &each : known->second) {
        if (!where.allows(each->entry().zone))
            continue;
        const bool isReady = each->isUsable(now) && each->hasTurn(now);
        const auto at = isReady ? std::nullopt : each->usableAt(now);
        if (at.has_value())
            earliest = std::min(earliest.value_or(*at), *at);
    }
    return earliest;
}

bool leaf_pool::isCutOff(const service_id &service, const placement &where) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return false;
    bool hasFailed = false;
    for (const std::shared_ptr<leaf> &each : known->second) {
        if (each->isLeaving() || !where.allows(each->entry().zone))
            continue;
        if (!each->isOnTrial())
            return false;
        hasFailed = true;
    }
    return hasFailed;
}

std::vector<server_id> leaf_pool::stalledServers(time_point now) const
{
    std::vector<server_id> result;
    for (const auto &[id, server] : m_servers) {
        if (server->isStalled(now))
            result.push_back(id);
    }
    return result;
}

std::vector<server_id> leaf_pool::ids() const
{
    std::vector<server_id> result;
    result.reserve(m_servers.size());
    for (const auto &[id, server] : m_servers)
        result.push_back(id);
    return result;
}

} // namespace waxwing::relay
