#include "entry/health_poller.h"

namespace waxwing {
namespace {

/// Servers of the services that `self` holds, with the connections that it may use to each.
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
    removeMissing(context, held, changed);
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
            // A new server is polled at once: its snapshots are not known yet.
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

void health_poller::removeMissing(reduce_context &context,
                                  const std::map<server_id, std::uint32_t> &held,
                                  std::map<server_id, std::uint32_t> &changed)
{
    for (auto entry = m_targets.begin(); entry != m_targets.end();) {
        if (held.count(entry->first) != 0) {
            ++entry;
            continue;
        }
        context.emit(limit_connections{entry->second.address, 0});
        changed[entry->first] = 0;
        m_schedule.erase({entry->second.nextPoll, entry->first});
        entry = m_targets.erase(entry);
    }
}

void health_poller::onTick(reduce_context &context)
{
    while (!m_schedule.empty() && m_schedule.begin()->first <= context.now) {
        const server_id id = m_schedule.begin()->second;
        m_schedule.erase(m_schedule.begin());
        target &entry = m_targets.at(id);
        context.emit(poll_health{id, entry.address});
        entry.nextPoll = context.now + jittered(context);
        m_schedule.emplace(entry.nextPoll, id);
    }
}

std::optional<time_point> health_poller::nextDeadline() const
{
    if (m_schedule.empty())
        return std::nullopt;
    return m_schedule.begin()->first;
}

duration health_poller::jittered(reduce_context &context) const
{
    const double spread = static_cast<double>(context.random()) / random_engine::max() * 2 - 1;
    const std::chrono::duration<double, std::milli> period = m_settings.period;
    return std::chrono::duration_cast<duration>(period * (1 + spread * m_settings.jitter));
}

} // namespace waxwing
