#include "backends/held_snapshots.h"

#include <algorithm>

namespace waxwing {

bool held_snapshots::setFromReply(const service_id &service, const shard_id &shard,
                                  const std::vector<snapshot> &held, time_point now)
{
    bool added = false;
    entry &known = at(service, shard, added);
    known.repliedAt = now;
    if (!added && known.held == held)
        return false;
    known.held = held;
    return true;
}

bool held_snapshots::setFromHealth(const leaf_health::held_shard &reported,
                                   std::chrono::milliseconds replyOutweighs, time_point now)
{
    bool added = false;
    entry &known = at(reported.service, reported.shard, added);
    if (known.repliedAt.has_value() && now - *known.repliedAt < replyOutweighs)
        return false;
    if (!added && known.held == reported.held)
        return false;
    known.held = reported.held;
    return true;
}

bool held_snapshots::forgetBefore(const service_id &service, const shard_id &shard,
                                  const snapshot &oldest)
{
    return std::erase_if(m_entries,
                         [&](const entry &known) {
                             return known.shard == shard && known.service == service
                                 && std::all_of(known.held.begin(), known.held.end(),
                                                [&](const snapshot &at) { return at < oldest; });
                         })
        != 0;
}

snapshot_availability held_snapshots::snapshotAvailability(const service_id &service,
                                                           const shard_id &shard,
                                                           const snapshot &wanted) const
{
    const std::vector<snapshot> *held = find(service, shard);
    if (held == nullptr)
        return snapshot_availability::Unknown;
    return std::find(held->begin(), held->end(), wanted) != held->end()
        ? snapshot_availability::Held
        : snapshot_availability::NotHeld;
}

const std::vector<snapshot> *held_snapshots::find(const service_id &service,
                                                  const shard_id &shard) const
{
    for (const entry &known : m_entries)
        if (known.shard == shard && known.service == service)
            return &known.held;
    return nullptr;
}

held_snapshots::entry &held_snapshots::at(const service_id &service, const shard_id &shard,
                                          bool &added)
{
    for (entry &known : m_entries)
        if (known.shard == shard && known.service == service)
            return known;
    added = true;
    return m_entries.emplace_back(entry{service, shard, {}, std::nullopt});
}

} // namespace waxwing
