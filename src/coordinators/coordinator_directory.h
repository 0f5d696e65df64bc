#pragma once

#include "coordinators/coordinator_set.h"
#include "core/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace waxwing {

/// Coordinators as this host knows them: who they are, and which of them take requests.
///
/// Answers coordinators that are cut off, frozen or overloaded before the membership shows it. The
/// first request that one of them does not acknowledge keeps the following ones away from it.
class coordinator_directory
{
public:
    /// `repeatInterval` is the minimum time between two requests that are repeated although the
    /// coordinator may have run them; see `mayRepeat`.
    coordinator_directory(const coordinator_settings &settings, duration repeatInterval)
        : m_settings(settings), m_repeatInterval(repeatInterval)
    { }

    const coordinator_settings &settings() const { return m_settings; }
    void update(coordinator_set current) { m_current = std::move(current); }
    const coordinator_set &current() const { return m_current; }

    /// Chooses a coordinator for a fan-out that arrived in `zone`, apart from those for which
    /// `isExcluded` holds; empty if none is expected to take it.
    std::optional<member> pick(const zone_id &zone, const std::map<zone_id, std::string> &regions,
                               const std::function<bool(const host_id &)> &isExcluded,
                               random_engine &random, time_point now) const;

    /// Records that the coordinator took a request.
    void onTaken(const host_id &coordinator);
    /// Records that the coordinator did not take a request. It is not chosen for `avoidedTime`,
    /// which doubles with each further failure.
    void onNotTaken(const host_id &coordinator, time_point now);
    /// Whether the coordinator is known to acknowledge requests. Hosts of older builds do not.
    bool acknowledges(const host_id &coordinator) const
    {
        return m_acknowledging.count(coordinator) > 0;
    }
    /// Whether a request may be sent to servers although a coordinator that did not acknowledge it
    /// may do so too. Takes the permission if there is one. Limits what slow coordinators could
    /// cost the servers to one repeated request per host and interval.
    bool mayRepeat(time_point now);

private:
    /// Failures of a coordinator since it last took a request.
    struct avoidance
    {
        time_point until;
        duration next{};
    };

    coordinator_settings m_settings;
    duration m_repeatInterval;
    coordinator_set m_current;
    std::set<host_id> m_acknowledging;
    std::map<host_id, avoidance> m_avoided;
    time_point m_nextRepeat{};
};

} // namespace waxwing
