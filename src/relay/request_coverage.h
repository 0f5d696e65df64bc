#pragma once

#include "core/clock.h"

#include <cstddef>

namespace waxwing::relay {

struct pending_request;

/// Decides which parts of a request its answer needs.
class request_coverage
{
public:
    /// `request` must outlive this object.
    explicit request_coverage(const pending_request &request) : m_request(request) { }

    /// Whether the parts of `shards` shards are enough for an answer.
    bool isSufficient(std::size_t shards) const;

    /// Whether the hedge of a part in progress is needed: the part is overdue, the answer cannot
    /// reach its minimum coverage without the overdue and failed parts, and the hedge, which is
    /// expected to take `expected`, would end after `partialAnswerAt` if it were sent later than in
    /// `recheckInterval`.
    ///
    /// Handles slow servers of several shards at the same time. Until `partialAnswerAt` an answer
    /// waits for all parts, so a hedge that is refused before then costs nothing; from then on, the
    /// request waits for this part only, until its deadline if the server is slow enough. Parts
    /// with a second attempt that is not overdue do not count as missing. If two of three overdue
    /// parts are enough, the third is therefore not hedged.
    ///
    /// Only fan-outs have needed hedges: the work of the other shards would be lost. A request to a
    /// single service would take the slot of a request that waits and has lost no work.
    bool needsHedge(std::size_t index, duration expected, duration recheckInterval,
                    time_point now) const;

private:
    const pending_request &m_request;
};

} // namespace waxwing::relay
