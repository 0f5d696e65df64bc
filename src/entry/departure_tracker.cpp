#include "entry/departure_tracker.h"

#include "membership/urgent_facts.h"

#include <algorithm>

namespace waxwing {

void departure_tracker::onPlatformList(reduce_context &context, backend_pool &backends,
                                       membership &members, const std::vector<server_id> &listed)
{
    for (const auto &server : listed)
        m_departures[server];
    std::vector<server_id> changed;
    for (auto &[server, state] : m_departures) {
        const bool isListed = std::find(listed.begin(), listed.end(), server) != listed.end();
        if (state.listed != isListed)
            changed.push_back(server);
        state.listed = isListed;
    }
    for (const auto &server : changed)
        update(context, backends, members, server);
}

void departure_tracker::onSelfReports(reduce_context &context, backend_pool &backends,
                                      membership &members,
                                      const std::vector<draining_report> &reports)
{
    for (const auto &report : reports) {
        departure &state = m_departures[report.server];
        if (state.reported == report.draining)
            continue;
        state.reported = report.draining;
        update(context, backends, members, report.server);
    }
}

void departure_tracker::onFact(reduce_context &context, backend_pool &backends,
                               const fact &received)
{
    const server_id server{received.subject};
    departure &state = m_departures[server];
    const time_point until = context.now + received.validFor;
    state.peerReportExpiresAt = std::max(state.peerReportExpiresAt.value_or(until), until);
    backends.setLeaving(server, true);
}

void departure_tracker::onTick(reduce_context &context, backend_pool &backends, membership &members)
{
    std::vector<server_id> due;
    for (const auto &[server, state] : m_departures) {
        const bool peerReportExpired =
            state.peerReportExpiresAt.has_value() && *state.peerReportExpiresAt <= context.now;
        const bool renewal = state.renewAt.has_value() && *state.renewAt <= context.now;
        if (peerReportExpired || renewal)
            due.push_back(server);
    }
    for (const auto &server : due)
        update(context, backends, members, server);
}

std::optional<time_point> departure_tracker::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &[server, state] : m_departures) {
        for (const auto &at : {state.peerReportExpiresAt, state.renewAt})
            if (at.has_value() && (!earliest.has_value() || *at < *earliest))
                earliest = at;
    }
    return earliest;
}

void departure_tracker::reapply(backend_pool &backends) const
{
    for (const auto &[server, state] : m_departures)
        backends.setLeaving(server, true);
}

void departure_tracker::update(reduce_context &context, backend_pool &backends, membership &members,
                               const server_id &server)
{
    departure &state = m_departures[server];
    if (state.peerReportExpiresAt.has_value() && *state.peerReportExpiresAt <= context.now)
        state.peerReportExpiresAt.reset();
    if (!state.isObserved())
        state.renewAt.reset();
    const bool publish =
        state.isObserved() && (!state.renewAt.has_value() || *state.renewAt <= context.now);
    if (publish) {
        urgent_facts::publish(context, members, fact_kind::ServerLeaving, server.value, 1,
                              publishedValidity);
        state.renewAt = context.now + publishedValidity / 2;
    }
    const bool leaving = state.isObserved() || state.peerReportExpiresAt.has_value();
    backends.setLeaving(server, leaving);
    if (!leaving)
        m_departures.erase(server);
}

} // namespace waxwing
