#include "distribution/distribution.h"

#include "distribution/peer_fetches.h"
#include "distribution/platform_watch.h"
#include "distribution/revision_guard.h"
#include "distribution/watcher_selection.h"

#include <algorithm>

namespace waxwing {

/// Private state of `distribution`.
struct distribution::state
{
    explicit state(const distribution_settings &chosen)
        : settings(chosen), guard(chosen.staleReadsBeforeReport), fetches(chosen), platform(chosen)
    { }

    /// Whether this host reads the platform because no peer has sent a configuration.
    bool needsPlatformFallback(time_point now) const
    {
        return guard.current().document == nullptr && now >= platformFallbackAt;
    }

    /// Starts the calls that are due.
    void startDueCalls(reduce_context &context)
    {
        lastEvent = context.now;
        fetches.start(context, guard.revision());
        platform.start(context, watching, needsPlatformFallback(context.now));
    }

    distribution_settings settings;
    revision_guard guard;
    peer_fetches fetches;
    platform_watch platform;
    bool isStarted = false;
    bool watching = false;
    std::optional<std::uint64_t> checkedMembersVersion;
    time_point lastEvent;
    time_point platformFallbackAt;
    time_point nextRoleCheck;
};

distribution::distribution(distribution_settings settings)
    : m_state(std::make_unique<state>(settings))
{ }

distribution::distribution(distribution &&) noexcept = default;
distribution &distribution::operator=(distribution &&) noexcept = default;
distribution::~distribution() = default;

void distribution::start(reduce_context &context, const std::vector<endpoint> &seedPeers)
{
    m_state->isStarted = true;
    m_state->platformFallbackAt = context.now + m_state->settings.platformFallbackDelay;
    m_state->nextRoleCheck = context.now;
    for (const endpoint &peer : seedPeers)
        m_state->fetches.requestRevision(peer, 1);
    m_state->startDueCalls(context);
}

void distribution::onAnnouncement(reduce_context &context, const member &peer, std::uint64_t digest)
{
    m_state->guard.checkDigest(context, peer.configurationRevision, digest, peer.host.value);
    if (peer.configurationRevision <= m_state->guard.revision())
        return;
    m_state->fetches.requestRevision(peer.peer, peer.configurationRevision);
    m_state->startDueCalls(context);
}

bool distribution::onPeerState(reduce_context &context, const peer_state_fetched &fetched)
{
    const configuration_copy &offered = fetched.parsed;
    const bool isUsable = fetched.succeeded && offered.document != nullptr;
    const std::uint64_t obtained = isUsable ? offered.document->revision : 0;
    if (!m_state->fetches.finish(context, fetched.attempt, obtained))
        return false;
    if (isUsable)
        m_state->guard.offer(context, offered, revision_guard::source::Peer);
    else if (fetched.succeeded && !fetched.state.configurationText.empty())
        context.emit(write_log{
            {log_level::Error, "the configuration of a peer is invalid and not adopted", {}}});
    m_state->startDueCalls(context);
    return true;
}

bool distribution::onPlatform(reduce_context &context, const platform_finished &finished)
{
    if (!m_state->platform.finish(context, finished, m_state->guard))
        return false;
    m_state->startDueCalls(context);
    return true;
}

void distribution::onTick(reduce_context &context, const membership &members)
{
    if (!m_state->isStarted)
        return;
    m_state->nextRoleCheck = context.now + m_state->settings.roleCheckPeriod;
    if (m_state->checkedMembersVersion != members.activeVersion()) {
        m_state->checkedMembersVersion = members.activeVersion();
        m_state->watching = isWatcher(members.activeMembers(), members.self().host,
                                      m_state->settings.watchersPerZone);
    }
    m_state->startDueCalls(context);
}

std::optional<time_point> distribution::nextDeadline() const
{
    if (!m_state->isStarted)
        return std::nullopt;
    time_point next = m_state->nextRoleCheck;
    if (const auto due = m_state->fetches.nextDeadline(m_state->guard.revision()))
        next = std::min(next, *due);
    const bool starting = m_state->needsPlatformFallback(m_state->lastEvent);
    if (const auto due = m_state->platform.nextDeadline(m_state->watching, starting))
        next = std::min(next, *due);
    return next;
}

const configuration_copy &distribution::current() const
{
    return m_state->guard.current();
}

const std::vector<server_id> &distribution::leavingServers() const
{
    return m_state->platform.hosts().leavingServers;
}

const std::vector<endpoint> &distribution::listedHosts() const
{
    return m_state->platform.hosts().entryHosts;
}

std::uint64_t distribution::hostListReads() const
{
    return m_state->platform.hostListReads();
}

} // namespace waxwing
