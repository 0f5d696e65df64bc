#include "entry/health_poller.h"

namespace waxwing {
namespace {
/// Servers of the services that `self` holds, with the connection limit of each.
std::map<server_id, std::uint32_t>
heldServers(const configuration &document, const holder_assignment &holders, const host_id &self)
{
    std::map<server_id, std::uint32_t> held;
    for (const auto &service : document.services) {
        if (!holders.isHolder(service.id, self))
            continue;
        for (const auto &partitioning : service.partitionings)
            for (const auto &shard : partitioning.shards)
                for (const auto &replica : shard.replicas)
                    held.try_emplace(replica, holders.connectionsPerHolder(replica));
    }
    return held;
}

} // namespace

health_poller::health_poller(health_poller_settings settings) : m_settings(settings) { }

std::map<server_id, std::uint32_t> health_poller::assign(reduce_context &context,
                                                         const configuration &document,
                                                         const holder_assignment &holders,
                                                         const host_id &self)
{
    std::map<server_id, std::uint32_t> changed;
    const auto held = heldServers(document, holders, self);
    scheduleReleases(context.now, held);
    for (const auto &[id, connections] : held) {
        const backend_server *server = document.findServer(id);
        if (server == nullptr)
            continue;
        auto [found, isNew] = m_targets.try_emplace(id);
        target &entry = found->second;
        const bool moved = !isNew && entry.address != server->address;
        if (moved)
            context.emit(limit_connections{entry.address, 0});
        if (isNew) {
            // A new server is polled immediately because its snapshots are unknown.
            entry.nextPoll = context.now;
            m_schedule.emplace(entry.nextPoll, id);
        }
        if (isNew || moved || entry.connections != connections) {
            context.emit(limit_connections{server->address, connections});
            changed[id] = connections;
        }
        entry.address = server->address;
        entry.connections = connections;
    }
    return changed;
}

void health_poller::scheduleReleases(time_point now, const std::map<server_id, std::uint32_t> &held)
{
    for (auto &[id, entry] : m_targets) {
        const bool isHeld = held.count(id) != 0;
        if (isHeld && entry.releaseAt.has_value()) {
            m_releases.erase({*entry.releaseAt, id});
            entry.releaseAt.reset();
        } else if (!isHeld && !entry.releaseAt.has_value()) {
            entry.releaseAt = now + m_settings.releaseDelay;
            m_releases.emplace(*entry.releaseAt, id);
        }
    }
}

std::map<server_id, std::uint32_t> health_poller::releaseDue(reduce_context &context)
{
    std::map<server_id, std::uint32_t> changed;
    while (!m_releases.empty() && m_releases.begin()->first <= context.now) {
        const server_id id = m_releases.begin()->second;
        m_releases.erase(m_releases.begin());
        const target &entry = m_targets.at(id);
        context.emit(limit_connections{entry.address, 0});
        changed[id] = 0;
        m_schedule.erase({entry.nextPoll, id});
        m_targets.erase(id);
    }
    return changed;
}

std::map<server_id, std::uint32_t> health_poller::onTick(reduce_context &context)
{
    while (!m_schedule.empty() && m_schedule.begin()->first <= context.now) {
        const server_id id = m_schedule.begin()->second;
        m_schedule.erase(m_schedule.begin());
        target &entry = m_targets.at(id);
        context.emit(poll_health{id, entry.address});
        entry.nextPoll = context.now + jittered(context);
        m_schedule.emplace(entry.nextPoll, id);
    }
    return releaseDue(context);
}

std::optional<time_point> health_poller::nextDeadline() const
{
    std::optional<time_point> earliest;
    if (!m_schedule.empty())
        earliest = m_schedule.begin()->first;
    if (!m_releases.empty() && (!earliest.has_value() || m_releases.begin()->first < *earliest))
        earliest = m_releases.begin()->first;
    return earliest;
}

duration health_poller::jittered(reduce_context &context) const
{
    const double spread = static_cast<double>(context.random()) / random_engine::max() * 2 - 1;
    const std::chrono::duration<double, std::milli> period = m_settings.period;
    return std::chrono::duration_cast<duration>(period * (1 + spread * m_settings.jitter));
}

} // namespace waxwing
