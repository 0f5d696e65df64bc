#include "backends/backend_pool.h"

#include "backends/server_record.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>

namespace waxwing {

/// Servers of the configuration. The map is used for look-ups only; iteration in hash order would
/// not be deterministic.
struct backend_pool::state
{
    /// Number of configured and of ejected servers of one zone.
    struct zone_counts
    {
        std::size_t servers = 0;
        std::size_t ejected = 0;
    };

    /// A server that may be chosen; points into the list of replicas and the state.
    struct candidate
    {
        const server_id *id = nullptr;
        const server_record *record = nullptr;
    };

    /// Usable replicas of a shard. Replicas beyond `capacity` are ignored; validated documents have
    /// only a few replicas per shard.
    struct candidate_list
    {
        static constexpr std::size_t capacity = 16;
        candidate entries[capacity];
        std::size_t count = 0;

        void add(const candidate &found)
        {
            if (count < capacity)
                entries[count++] = found;
        }
        /// Removes entries that do not satisfy `keep`, unless no entry satisfies it.
        template<typename Predicate>
        void prefer(Predicate keep)
        {
            if (std::any_of(entries, entries + count, keep)) {
                auto *end = std::stable_partition(entries, entries + count, keep);
                count = static_cast<std::size_t>(end - entries);
            }
        }
    };

    backend_pool_settings settings;
    zone_id localZone;
    absl::flat_hash_map<server_id, std::unique_ptr<server_record>, std::hash<server_id>> servers;
    std::map<zone_id, zone_counts> zones;
    std::vector<wall_time> departures;
    std::uint64_t version = 1;
    std::vector<draining_report> reports;

    server_record *find(const server_id &id) const
    {
        const auto found = servers.find(id);
        return found == servers.end() ? nullptr : found->second.get();
    }

    candidate_list candidates(const service_id &service, const shard_id &shard,
                              const std::vector<server_id> &replicas,
                              const std::vector<server_id> &excluded,
                              const std::optional<snapshot> &needed, wall_time wall) const;
    double score(const server_record &record, time_point now) const;
    void reportDraining(const server_id &server, server_record &record, bool draining);
    void ejectWithinShare(server_record &record, time_point now);
};

backend_pool::state::candidate_list
backend_pool::state::candidates(const service_id &service, const shard_id &shard,
                                const std::vector<server_id> &replicas,
                                const std::vector<server_id> &excluded,
                                const std::optional<snapshot> &needed, wall_time wall) const
{
    candidate_list usable;
    bool anyHeld = false;
    for (const server_id &id : replicas) {
        const server_record *record = find(id);
        if (record == nullptr || record->isLeaving(wall)
            || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        if (needed.has_value()) {
            const auto known = record->held.snapshotAvailability(service, shard, *needed);
            if (known == snapshot_availability::NotHeld)
                continue;
            anyHeld = anyHeld || known == snapshot_availability::Held;
        }
        usable.add({&id, record});
    }
    if (anyHeld)
        usable.prefer([&](const candidate &c) {
            return c.record->held.snapshotAvailability(service, shard, *needed)
                == snapshot_availability::Held;
        });
    return usable;
}

double backend_pool::state::score(const server_record &record, time_point now) const
{
    const bool local = record.configured().zone == localZone;
    return record.expectedWait(now) * (local ? 1 : settings.otherZoneFactor);
}

void backend_pool::state::reportDraining(const server_id &server, server_record &record,
                                         bool draining)
{
    if (record.reportedDraining == draining)
        return;
    record.reportedDraining = draining;
    if (draining) {
        record.leaving = true;
        ++version;
    }
    reports.push_back({server, draining});
}

void backend_pool::state::ejectWithinShare(server_record &record, time_point now)
{
    zone_counts &zone = zones[record.configured().zone];
    const bool isNew = !record.isEjected();
    // If a whole zone fails, the fault may be on our side, so only a share of its servers is
    // ejected. The expected wait of the others rises with each failure. Ejecting one server is
    // always allowed: in a zone with one server the two faults can't be distinguished, and requests
    // to the server would wait for their hedge.
    const auto allowed = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(zone.servers) * settings.maxEjectedShare));
    if (isNew && zone.ejected + 1 > allowed)
        return;
    record.eject(now);
    if (isNew) {
        ++zone.ejected;
        ++version;
    }
}

backend_pool::backend_pool(backend_pool_settings settings, zone_id localZone)
    : m_state(std::make_unique<state>())
{
    m_state->settings = settings;
    m_state->localZone = std::move(localZone);
}

backend_pool::backend_pool(backend_pool &&) noexcept = default;
backend_pool &backend_pool::operator=(backend_pool &&) noexcept = default;
backend_pool::~backend_pool() = default;

void backend_pool::configure(const configuration &document, time_point now)
{
    decltype(m_state->servers) kept;
    m_state->zones.clear();
    m_state->departures.clear();
    for (const backend_server &server : document.servers) {
        auto old = m_state->servers.find(server.id);
        std::unique_ptr<server_record> record;
        // A different address means a different process, so its old state does not apply.
        if (old != m_state->servers.end() && old->second->configured().address == server.address) {
            record = std::move(old->second);
            record->configure(server);
        } else {
            record = std::make_unique<server_record>(m_state->settings, server, now);
        }
        auto &zone = m_state->zones[server.zone];
        ++zone.servers;
        zone.ejected += record->isEjected() ? 1 : 0;
        if (server.leavesAt.has_value())
            m_state->departures.push_back(*server.leavesAt);
        kept.emplace(server.id, std::move(record));
    }
    std::sort(m_state->departures.begin(), m_state->departures.end());
    m_state->servers = std::move(kept);
    ++m_state->version;
}

void backend_pool::setLeaving(const server_id &server, bool leaving)
{
    server_record *record = m_state->find(server);
    if (record == nullptr || record->leaving == leaving)
        return;
    record->leaving = leaving;
    ++m_state->version;
}

bool backend_pool::isLeaving(const server_id &server, wall_time wall) const
{
    const server_record *record = m_state->find(server);
    return record == nullptr || record->isLeaving(wall);
}

void backend_pool::onHealth(const server_id &server, const leaf_health &health, time_point now)
{
    server_record *record = m_state->find(server);
    if (record == nullptr)
        return;
    const auto window = m_state->settings.replyOutweighsHealth;
    // A draining server refuses requests, so a recent reply means that the report is stale.
    if (!record->answeredWithin(window, now))
        m_state->reportDraining(server, *record, health.draining);
    record->starting = health.starting && !record->answeredWithin(window, now);
    bool changed = false;
    for (const auto &reported : health.shards)
        changed = record->held.setFromHealth(reported, window, now) || changed;
    if (changed)
        ++m_state->version;
}

std::optional<server_id> backend_pool::choose(const service_id &service, const shard_id &shard,
                                              const std::vector<server_id> &replicas,
                                              const std::vector<server_id> &excluded,
                                              std::optional<snapshot> needed, time_point now,
                                              wall_time wall, random_engine &random) const
{
    auto usable = m_state->candidates(service, shard, replicas, excluded, needed, wall);
    for (std::size_t i = 0; i < usable.count; ++i) {
        const state::candidate &found = usable.entries[i];
        if (found.record->isTrialDue(now) && !found.record->isFull())
            return *found.id;
    }
    usable.prefer([](const state::candidate &c) { return !c.record->isEjected(); });
    usable.prefer([now](const state::candidate &c) { return !c.record->isStalled(now); });
    usable.prefer([](const state::candidate &c) { return !c.record->isFull(); });
    if (usable.count == 0 || usable.entries[0].record->isFull())
        return std::nullopt;
    if (usable.count == 1)
        return *usable.entries[0].id;
    const auto count = static_cast<std::uint32_t>(usable.count);
    const std::uint32_t first = random(count);
    const std::uint32_t second = (first + 1 + random(count - 1)) % count;
    const state::candidate &a = usable.entries[first];
    const state::candidate &b = usable.entries[second];
    return m_state->score(*b.record, now) < m_state->score(*a.record, now) ? *b.id : *a.id;
}

bool backend_pool::mayChooseLater(const service_id &service, const shard_id &shard,
                                  const std::vector<server_id> &replicas,
                                  const std::vector<server_id> &excluded,
                                  std::optional<snapshot> needed, wall_time wall) const
{
    return m_state->candidates(service, shard, replicas, excluded, needed, wall).count != 0;
}

void backend_pool::onSent(const server_id &server, time_point now)
{
    if (server_record *record = m_state->find(server))
        record->onSent(now);
}

void backend_pool::onAnswer(const server_id &server, duration latency, time_point now)
{
    server_record *record = m_state->find(server);
    if (record == nullptr || !record->onAnswer(latency, now))
        return;
    --m_state->zones[record->configured().zone].ejected;
    ++m_state->version;
}

void backend_pool::onFailure(const server_id &server, const leaf_failure &failure, time_point now)
{
    server_record *record = m_state->find(server);
    if (record == nullptr)
        return;
    if (failure.error == leaf_error::Draining)
        m_state->reportDraining(server, *record, true);
    if (record->onFailure(failure, now))
        m_state->ejectWithinShare(*record, now);
}

void backend_pool::onAbandoned(const server_id &server, time_point)
{
    if (server_record *record = m_state->find(server))
        record->onAbandoned();
}

void backend_pool::onUnanswered(const server_id &server, duration elapsed, time_point now)
{
    server_record *record = m_state->find(server);
    if (record != nullptr && record->onUnanswered(elapsed, now))
        m_state->ejectWithinShare(*record, now);
}

void backend_pool::onSnapshotsReported(const server_id &server, const service_id &service,
                                       const shard_id &shard, const std::vector<snapshot> &held,
                                       time_point now)
{
    server_record *record = m_state->find(server);
    if (record != nullptr && record->held.setFromReply(service, shard, held, now))
        ++m_state->version;
}

void backend_pool::forgetSnapshotsBefore(const server_id &server, const service_id &service,
                                         const shard_id &shard, const snapshot &oldest)
{
    server_record *record = m_state->find(server);
    if (record != nullptr && record->held.forgetBefore(service, shard, oldest))
        ++m_state->version;
}

void backend_pool::setConnectionLimit(const server_id &server, std::uint32_t connections)
{
    if (server_record *record = m_state->find(server))
        record->setConnections(connections);
}

snapshot_availability backend_pool::snapshotAvailability(const server_id &server,
                                                         const service_id &service,
                                                         const shard_id &shard,
                                                         const snapshot &wanted) const
{
    const server_record *record = m_state->find(server);
    return record == nullptr ? snapshot_availability::NotHeld
                             : record->held.snapshotAvailability(service, shard, wanted);
}

const std::vector<snapshot> &backend_pool::reportedSnapshots(const server_id &server,
                                                             const service_id &service,
                                                             const shard_id &shard) const
{
    static const std::vector<snapshot> none;
    const server_record *record = m_state->find(server);
    const auto *held = record == nullptr ? nullptr : record->held.find(service, shard);
    return held == nullptr ? none : *held;
}

bool backend_pool::isAvailable(const server_id &server, wall_time wall) const
{
    return !isLeaving(server, wall);
}

bool backend_pool::isEjected(const server_id &server, time_point) const
{
    const server_record *record = m_state->find(server);
    return record != nullptr && record->isEjected();
}

bool backend_pool::isTrialDue(const server_id &server, time_point now) const
{
    const server_record *record = m_state->find(server);
    return record != nullptr && record->isTrialDue(now);
}

bool backend_pool::isStalled(const server_id &server, time_point now) const
{
    const server_record *record = m_state->find(server);
    return record != nullptr && record->isStalled(now);
}

std::uint64_t backend_pool::knowledgeVersion() const
{
    return m_state->version;
}

std::optional<wall_time> backend_pool::nextDeparture(wall_time wall) const
{
    const auto next =
        std::upper_bound(m_state->departures.begin(), m_state->departures.end(), wall);
    if (next == m_state->departures.end())
        return std::nullopt;
    return *next;
}

const endpoint *backend_pool::addressOf(const server_id &server) const
{
    const server_record *record = m_state->find(server);
    return record == nullptr ? nullptr : &record->configured().address;
}

const zone_id *backend_pool::zoneOf(const server_id &server) const
{
    const server_record *record = m_state->find(server);
    return record == nullptr ? nullptr : &record->configured().zone;
}

std::vector<draining_report> backend_pool::takeDrainingReports()
{
    return std::exchange(m_state->reports, {});
}

} // namespace waxwing
