#pragma once

#include "configuration/configuration.h"
#include "events/reduce_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace waxwing {

/// Holds the configuration in force on this host. Only a higher revision replaces it.
class revision_guard
{
public:
    /// Origin of a document.
    enum class source { Peer, Platform };

    /// Reports the platform as restored from a backup after `staleReadsBeforeReport` consecutive
    /// reads with an older revision.
    explicit revision_guard(std::uint32_t staleReadsBeforeReport);

    /// Adopts `offered` if its revision is higher. Otherwise reports a conflicting digest or an
    /// older revision on the platform.
    /// Returns whether it was adopted.
    bool offer(reduce_context &context, const configuration_copy &offered, source from);
    /// Reports a document with the current revision but another digest. A repeated report of the
    /// same digest is suppressed.
    void checkDigest(reduce_context &context, std::uint64_t revision, std::uint64_t digest,
                     const std::string &from);
    /// The configuration in force; its document is null if there is none.
    const configuration_copy &current() const { return m_current; }
    /// Revision in force, 0 if there is none.
    std::uint64_t revision() const;
    /// Whether the last platform read returned an older revision and more reads are needed to
    /// distinguish a stale read from a restored platform.
    bool needsAnotherRead() const;

private:
    void checkStaleRead(reduce_context &context, std::uint64_t platformRevision);

    std::uint32_t m_staleReadsBeforeReport;
    configuration_copy m_current;
    std::uint32_t m_staleReads = 0;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> m_reportedDigest;
};

} // namespace waxwing
