#include "distribution/peer_fetches.h"

#include <algorithm>
#include <vector>

namespace waxwing {
namespace {

/// Limit of tracked peers. The others announce their revision again with their next datagram.
constexpr std::size_t maxPeers = 64;

} // namespace

peer_fetches::peer_fetches(const distribution_settings &settings) : m_settings(settings) { }

void peer_fetches::requestRevision(const endpoint &peer, std::uint64_t revision)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end())
        known->second.revision = std::max(known->second.revision, revision);
    else if (m_peers.size() < maxPeers)
        m_peers[peer].revision = revision;
}

void peer_fetches::start(reduce_context &context, std::uint64_t currentRevision)
{
    std::vector<endpoint> due;
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        const peer_fetch &fetch = each->second;
        if (!fetch.attempt && fetch.revision <= currentRevision) {
            each = m_peers.erase(each);
            continue;
        }
        if (!fetch.attempt && fetch.backoff.hasElapsed(context.now))
            due.push_back(each->first);
        ++each;
    }
    // Peers are chosen at random, so that hosts do not all send requests to the same one.
    for (std::size_t free =
             m_settings.maxFetches - std::min<std::size_t>(running(), m_settings.maxFetches);
         free > 0 && !due.empty(); --free) {
        const auto index = context.random(static_cast<std::uint32_t>(due.size()));
        const endpoint peer = due[index];
        due.erase(due.begin() + index);
        m_peers[peer].attempt = context.nextAttempt();
        context.emit(fetch_peer_state{*m_peers[peer].attempt, peer});
    }
}

bool peer_fetches::finish(reduce_context &context, attempt_id attempt, std::uint64_t obtained)
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto &each) {
        return each.second.attempt == attempt;
    });
    if (found == m_peers.end())
        return false;
    peer_fetch &fetch = found->second;
    fetch.attempt.reset();
    // A revision lower than the announced one counts as a failure and is retried after a delay.
    if (obtained > 0 && obtained >= fetch.revision)
        fetch.backoff.succeed();
    else
        fetch.backoff.fail(context.now, m_settings.retryDelay, m_settings.maxRetryDelay,
                           context.random);
    return true;
}

std::optional<time_point> peer_fetches::nextDeadline(std::uint64_t currentRevision) const
{
    if (running() >= m_settings.maxFetches)
        return std::nullopt;
    std::optional<time_point> next;
    for (const auto &[peer, fetch] : m_peers) {
        if (!fetch.attempt && fetch.revision > currentRevision)
            next = std::min(next.value_or(time_point::max()), fetch.backoff.until());
    }
    return next;
}

std::size_t peer_fetches::running() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(),
                      [](const auto &each) { return each.second.attempt.has_value(); }));
}

} // namespace waxwing
