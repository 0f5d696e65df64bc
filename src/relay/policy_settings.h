#pragma once

namespace waxwing::relay {

/// Switches of the mechanisms that decide how requests are served. All are on; operators need not
/// touch them. Measurements switch off one at a time to show what it is worth.
struct policy_settings
{
    /// Second attempts for parts that are late.
    bool hedging = true;
    /// Hedges that count as needed retries, because the answer misses its coverage without them.
    bool neededHedges = true;
    /// Parts that failed are tried again later if no budget or server is available at once.
    bool deferredParts = true;
    /// Longer waits for a server once other parts of the request were sent.
    bool extendedWaits = true;
    /// Answers without late parts just before the latency goal.
    bool partialAnswers = true;
    /// Requests are forwarded whole while this host reaches too few servers.
    bool forwarding = true;
    /// Early refusals count only what servers can finish in time.
    bool timedRoom = true;

    bool operator==(const policy_settings &) const = default;
};

} // namespace waxwing::relay
