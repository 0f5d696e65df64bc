#pragma once

#include "core/endpoint.h"
#include "distribution/distribution.h"
#include "distribution/retry_backoff.h"
#include "events/reduce_context.h"

#include <cstdint>
#include <map>
#include <optional>

namespace waxwing {

/// Fetches the configuration from peers that announced a higher revision. At most one fetch per
/// peer and `maxFetches` in total run concurrently.
class peer_fetches
{
public:
    explicit peer_fetches(const distribution_settings &settings);

    /// Records that the peer has the revision, so that `start` may fetch it.
    void requestRevision(const endpoint &peer, std::uint64_t revision);
    /// Starts the fetches that are due and drops peers without a higher revision than the current
    /// one.
    void start(reduce_context &context, std::uint64_t currentRevision);
    /// Ends a fetch; `obtained` is the revision that the peer sent, 0 if none. Returns false if
    /// the attempt is unknown.
    bool finish(reduce_context &context, attempt_id attempt, std::uint64_t obtained);
    /// When `start` is next due.
    std::optional<time_point> nextDeadline(std::uint64_t currentRevision) const;

private:
    struct peer_fetch
    {
        std::uint64_t revision = 0;
        std::optional<attempt_id> attempt;
        retry_backoff backoff;
    };

    std::size_t running() const;

    distribution_settings m_settings;
    std::map<endpoint, peer_fetch> m_peers;
};

} // namespace waxwing
