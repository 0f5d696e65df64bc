#include "entry/entry_dispatch.h"

namespace waxwing {

entry_dispatch::entry_dispatch(entry_state::parts &parts, reduce_context &context)
    : m_parts(parts), m_context(context)
{ }

void entry_dispatch::operator()(const tick &)
{
    if (!m_parts.isStarted)
        return;
    m_parts.members.onTick(m_context);
    m_parts.documents.onTick(m_context, m_parts.members);
    m_parts.departures.onTick(m_context, m_parts.backends, m_parts.members);
    auto environment = m_parts.queryEnvironment();
    m_parts.queries.onTick(m_context, environment);
    m_parts.commands.onTick(m_context);
    for (const auto &[server, connections] : m_parts.poller.onTick(m_context))
        m_parts.backends.setConnectionLimit(server, connections);
}

void entry_dispatch::operator()(const started &start)
{
    m_parts.random.seed(start.randomSeed);
    m_parts.isStarted = true;
    m_parts.members.start(m_context, start.self, start.seeds);
    m_parts.documents.start(m_context, start.seedPeers);
}

void entry_dispatch::operator()(const stop_requested &)
{
    if (!m_parts.stop.begin(m_context.now) || !m_parts.isStarted)
        return;
    m_parts.members.announceLeaving(m_context);
}

void entry_dispatch::operator()(const search_received &received)
{
    auto environment = m_parts.queryEnvironment();
    m_parts.queries.onSearch(m_context, environment, received);
}

void entry_dispatch::operator()(const command_received &received)
{
    auto environment = m_parts.commandEnvironment();
    m_parts.commands.onCommand(m_context, environment, received);
}

void entry_dispatch::operator()(const caller_gone &gone)
{
    auto environment = m_parts.queryEnvironment();
    m_parts.queries.onCallerGone(m_context, environment, gone.id);
    m_parts.commands.onCallerGone(m_context, gone.id);
}

void entry_dispatch::operator()(const leaf_search_finished &finished)
{
    auto environment = m_parts.queryEnvironment();
    m_parts.queries.onLeafSearch(m_context, environment, finished);
}

void entry_dispatch::operator()(const leaf_command_finished &finished)
{
    auto environment = m_parts.commandEnvironment();
    m_parts.commands.onLeafCommand(m_context, environment, finished);
}

void entry_dispatch::operator()(const leaf_health_reported &reported)
{
    m_parts.backends.onHealth(reported.server, reported.health, m_context.now);
}

void entry_dispatch::operator()(const forwarded_search_finished &finished)
{
    auto environment = m_parts.queryEnvironment();
    m_parts.queries.onForwarded(m_context, environment, finished);
}

void entry_dispatch::operator()(const forwarded_command_finished &finished)
{
    m_parts.commands.onForwarded(m_context, finished);
}

void entry_dispatch::operator()(const platform_finished &finished)
{
    if (m_parts.documents.onPlatform(m_context, finished)) {
        if (m_parts.documents.hostListReads() == m_parts.appliedHostLists)
            return;
        m_parts.appliedHostLists = m_parts.documents.hostListReads();
        m_parts.members.addSeeds(m_parts.documents.listedHosts());
        m_parts.departures.onPlatformList(m_context, m_parts.backends, m_parts.members,
                                          m_parts.documents.leavingServers());
        return;
    }
    auto environment = m_parts.commandEnvironment();
    m_parts.commands.onPlatform(m_context, environment, finished);
}

void entry_dispatch::operator()(const datagram_received &received)
{
    m_parts.members.onDatagram(m_context, received.from, received.message);
    if (received.message.configurationDigest != 0)
        m_parts.documents.onAnnouncement(m_context, received.message.sender,
                                         received.message.configurationDigest);
}

void entry_dispatch::operator()(const peer_state_fetched &fetched)
{
    if (m_parts.documents.onPeerState(m_context, fetched) && fetched.succeeded)
        m_parts.members.onPeerState(m_context, fetched.state);
}

} // namespace waxwing
