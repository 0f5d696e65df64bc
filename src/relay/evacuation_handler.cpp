#include "relay/evacuation_handler.h"

#include <fmt/format.h>

#include <map>
#include <utility>

namespace waxwing::relay {

evacuation_handler::evacuation_handler(relay_state::parts &state, time_point now,
                                       relay_effect_list &effects)
    : m_parts(state), m_now(now), m_effects(effects)
{ }

std::set<service_id> evacuation_handler::apply(const store_update &update)
{
    return publish(update.isComplete ? applyList(update) : applyChanges(update));
}

evacuation_table::change_list evacuation_handler::applyList(const store_update &update)
{
    std::map<zone_id, std::uint64_t> listed;
    for (const store_object &object : update.objects) {
        if (const auto *evacuated = std::get_if<evacuated_zone>(&object.content))
            listed.emplace(evacuated->zone, object.revision);
        else
            logUnusable(object);
    }
    const std::uint64_t revision = m_parts.evacuationWatcher->revision();
    auto changes = m_parts.evacuations.replace(listed, revision, m_now);
    appendLog(m_effects, log_level::Info, "listed evacuations",
              {{"zones", fmt::to_string(listed.size())},
               {"kept", fmt::to_string(m_parts.evacuations.heldCount())},
               {"revision", fmt::to_string(revision)},
               {"era", fmt::to_string(m_parts.evacuationWatcher->era())}});
    return changes;
}

evacuation_table::change_list evacuation_handler::applyChanges(const store_update &update)
{
    evacuation_table::change_list changes;
    for (const store_object &object : update.objects) {
        evacuation_table::change_list change;
        if (const auto *evacuated = std::get_if<evacuated_zone>(&object.content))
            change = m_parts.evacuations.put(evacuated->zone, object.revision);
        else if (object.removed)
            change = m_parts.evacuations.remove({object.name}, object.revision);
        else
            logUnusable(object);
        changes.insert(changes.end(), change.begin(), change.end());
    }
    return changes;
}

void evacuation_handler::logUnusable(const store_object &object)
{
    const auto *unusable = std::get_if<unusable_object>(&object.content);
    appendLog(m_effects, log_level::Error, "ignored an evacuation that names no zone",
              {{"name", object.name},
               {"revision", fmt::to_string(object.revision)},
               {"reason", unusable == nullptr ? "" : unusable->reason}});
}

void evacuation_handler::onRestore(std::uint64_t era)
{
    if (era <= m_parts.evacuationsEra)
        return;
    m_parts.evacuationsEra = era;
    m_parts.evacuations.onRestore(m_now);
}

std::set<service_id> evacuation_handler::onTick()
{
    const auto step = m_parts.returning.nextStep();
    const auto ended = m_parts.evacuations.expire(m_now);
    if (ended.empty() && step.has_value() && m_now >= *step)
        updateZones();
    return publish(ended);
}

void evacuation_handler::updateZones()
{
    relay_requests &requests = m_parts.requests;
    requests.zones = std::make_shared<const zone_directory>(
        requests.zones->regions(), m_parts.evacuations.zones(), m_parts.returning.advance(m_now));
}

void evacuation_handler::returnZone(const zone_id &zone)
{
    m_parts.returning.onReturn(zone, m_now);
    m_parts.requests.leaves.onZoneReturned(zone, m_now);
}

std::set<service_id> evacuation_handler::publish(const evacuation_table::change_list &changes)
{
    if (changes.empty())
        return {};
    for (const evacuation_table::change &each : changes) {
        if (each.isEvacuated)
            m_parts.returning.onEvacuated(each.zone);
        else
            returnZone(each.zone);
        m_effects.emplace_back(count_metric{each.isEvacuated ? "relay_evacuations_started_total"
                                                             : "relay_evacuations_ended_total",
                                            1});
        appendLog(m_effects, log_level::Warning,
                  each.isEvacuated ? "a zone is evacuated" : "the evacuation of a zone ended",
                  {{"zone", each.zone.value},
                   {"revision", fmt::to_string(m_parts.evacuationWatcher->revision())},
                   {"era", fmt::to_string(m_parts.evacuationWatcher->era())}});
    }
    updateZones();
    return m_parts.requests.waitingServices();
}

} // namespace waxwing::relay
