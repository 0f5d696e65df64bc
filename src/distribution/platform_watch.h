#pragma once

#include "distribution/distribution.h"
#include "distribution/host_list.h"
#include "distribution/retry_backoff.h"
#include "distribution/revision_guard.h"
#include "events/event.h"
#include "events/reduce_context.h"

#include <cstdint>
#include <optional>

namespace waxwing {

/// Reads and watches the configuration on the platform, and reads the platform's host list.
class platform_watch
{
public:
    explicit platform_watch(const distribution_settings &settings);

    /// Starts the calls that are due. `watching` is true if this host is a watcher, `starting` if
    /// it still needs its first configuration.
    void start(reduce_context &context, bool watching, bool starting);
    /// Handles the end of a call. Returns false if the attempt is unknown.
    bool finish(reduce_context &context, const platform_finished &finished, revision_guard &guard);
    /// When `start` is next due.
    std::optional<time_point> nextDeadline(bool watching, bool starting) const;
    /// The host list that was read last; empty before the first read.
    const host_list &hosts() const { return m_hosts; }
    /// Number of host lists read so far.
    std::uint64_t hostListReads() const { return m_hostListReads; }

private:
    void onConfiguration(reduce_context &context, const platform_finished &finished,
                         revision_guard &guard);
    void onHostList(reduce_context &context, const platform_result &result);
    void scheduleRetry(reduce_context &context);

    distribution_settings m_settings;
    std::optional<attempt_id> m_configurationAttempt;
    retry_backoff m_backoff;
    /// Version of the configuration object in the last response.
    std::uint64_t m_version = 0;
    /// Whether the next call reads rather than watches.
    bool m_readNext = true;
    std::optional<attempt_id> m_hostListAttempt;
    time_point m_nextHostListRead = time_point::min();
    host_list m_hosts;
    std::uint64_t m_hostListReads = 0;
};

} // namespace waxwing
