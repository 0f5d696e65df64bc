#include "distribution/revision_guard.h"

namespace waxwing {

revision_guard::revision_guard(std::uint32_t staleReadsBeforeReport)
    : m_staleReadsBeforeReport(staleReadsBeforeReport)
{ }

bool revision_guard::offer(reduce_context &context, const configuration_copy &offered, source from)
{
    if (offered.document == nullptr)
        return false;
    const bool isPlatform = from == source::Platform;
    const std::uint64_t offeredRevision = offered.document->revision;
    const bool isNewer = m_current.document == nullptr || offeredRevision > revision();
    if (!isNewer) {
        checkDigest(context, offeredRevision, offered.digest, isPlatform ? "platform" : "peer");
        if (isPlatform)
            checkStaleRead(context, offeredRevision);
        return false;
    }
    m_current = offered;
    if (isPlatform)
        m_staleReads = 0;
    context.emit(write_log{{log_level::Info,
                            "configuration adopted",
                            {{"revision", std::to_string(offeredRevision)},
                             {"source", isPlatform ? "platform" : "peer"}}}});
    context.emit(count_metric{"configurations_adopted_total"});
    return true;
}

void revision_guard::checkDigest(reduce_context &context, std::uint64_t otherRevision,
                                 std::uint64_t digest, const std::string &from)
{
    if (m_current.document == nullptr || otherRevision != revision() || digest == m_current.digest)
        return;
    const std::pair reported(otherRevision, digest);
    if (m_reportedDigest == reported)
        return;
    m_reportedDigest = reported;
    context.emit(write_log{{log_level::Error,
                            "two configurations have the same revision; the first is kept",
                            {{"revision", std::to_string(otherRevision)},
                             {"digest", std::to_string(m_current.digest)},
                             {"other_digest", std::to_string(digest)},
                             {"source", from}}}});
    context.emit(count_metric{"configuration_digest_conflicts_total"});
}

std::uint64_t revision_guard::revision() const
{
    return m_current.document != nullptr ? m_current.document->revision : 0;
}

bool revision_guard::needsAnotherRead() const
{
    return m_staleReads > 0 && m_staleReads < m_staleReadsBeforeReport;
}

void revision_guard::checkStaleRead(reduce_context &context, std::uint64_t platformRevision)
{
    if (platformRevision >= revision()) {
        m_staleReads = 0;
        return;
    }
    // Reported once. Counting continues until a read returns the revision in force again.
    if (++m_staleReads != m_staleReadsBeforeReport)
        return;
    context.emit(write_log{{log_level::Error,
                            "the platform holds an older configuration; it was probably restored "
                            "from an old copy",
                            {{"revision", std::to_string(revision())},
                             {"platform_revision", std::to_string(platformRevision)}}}});
    context.emit(count_metric{"configuration_platform_restored_total"});
}

} // namespace waxwing
