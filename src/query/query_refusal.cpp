#include "query/query_refusal.h"

namespace waxwing {

using std::chrono::milliseconds;

refusal query_refusal::unknownService()
{
    return {404, "unknown-service", "the service is not part of the configuration",
            execution_state::NotRun, milliseconds(0)};
}

refusal query_refusal::notServing(const std::string &code, milliseconds retryAfter)
{
    return {503, code, "this entry host does not serve requests", execution_state::NotRun,
            retryAfter};
}

refusal query_refusal::overloaded(bool callerOverShare, milliseconds retryAfter)
{
    if (callerOverShare)
        return {429, "over-share", "the caller has more than its share of the searches in progress",
                execution_state::NotRun, retryAfter};
    return {503, "overloaded", "the search would not be answered in time", execution_state::NotRun,
            retryAfter};
}

refusal query_refusal::quarantined(execution_state execution, milliseconds retryAfter)
{
    return {503, "quarantined", "backend servers failed while they ran this request", execution,
            retryAfter};
}

refusal query_refusal::suspected(milliseconds retryAfter)
{
    return {504, "unavailable", "a backend server was lost while it ran this request",
            execution_state::OutcomeUnknown, retryAfter};
}

refusal query_refusal::snapshotGone()
{
    return {410, "snapshot-gone", "the snapshot of the cursor is no longer available",
            execution_state::NotRun, milliseconds(0)};
}

refusal query_refusal::unavailable(execution_state execution, milliseconds retryAfter)
{
    if (execution == execution_state::OutcomeUnknown)
        return {504, "unavailable", "no backend server answered", execution, retryAfter};
    return {503, "unavailable", "no backend server could be asked", execution, retryAfter};
}

refusal query_refusal::deadlineExceeded(execution_state execution, milliseconds retryAfter)
{
    const bool ran = execution == execution_state::OutcomeUnknown;
    return {ran ? 504 : 503, "deadline-exceeded", "no part of the search was answered in time",
            execution, retryAfter};
}

} // namespace waxwing
