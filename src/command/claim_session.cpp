#include "command/claim_session.h"

#include <utility>

namespace waxwing {
namespace {

/// Limit of consecutive calls to a platform that sends contradictory responses.
constexpr std::uint32_t maxCalls = 8;

using claim_state = claim_record::claim_state;
using status_kind = platform_result::status_kind;
using step_kind = claim_step::step_kind;

} // namespace

claim_session::claim_session(std::string name, claim_record ownRecord)
    : m_name(std::move(name)), m_ownRecord(std::move(ownRecord))
{ }

platform_call claim_session::acquire()
{
    m_ownRecord.state = claim_state::Claimed;
    return write();
}

platform_call claim_session::release()
{
    m_isRecording = true;
    m_ownRecord.state = claim_state::NotRun;
    return write();
}

platform_call claim_session::record(std::string result)
{
    m_isRecording = true;
    m_ownRecord.state = claim_state::Done;
    m_ownRecord.result = std::move(result);
    return write();
}

platform_call claim_session::repeat()
{
    return write();
}

claim_step claim_session::onResult(const platform_result &result)
{
    return m_isRecording ? onFinalWrite(result) : onAcquire(result);
}

claim_step claim_session::onAcquire(const platform_result &result)
{
    const bool wasReading = std::exchange(m_isReading, false);
    if (result.status == status_kind::Done && !wasReading) {
        m_version = result.version;
        m_mayHaveWritten = true;
        return step(step_kind::Owned);
    }
    if (result.status == status_kind::Done || result.status == status_kind::Conflict)
        return onExistingClaim(result);
    if (result.status == status_kind::NotFound)
        return writeAgain(0);
    m_mayHaveWritten = m_mayHaveWritten || (result.status == status_kind::Unknown && !wasReading);
    if (result.status == status_kind::Unavailable || ++m_calls >= maxCalls)
        return step(step_kind::Unreachable);
    claim_step next = step(step_kind::Call);
    next.call = read();
    m_isReading = true;
    return next;
}

claim_step claim_session::onExistingClaim(const platform_result &result)
{
    const auto found = claim_record::parse(result.value);
    if (!found)
        return step(step_kind::Busy);
    if (found->nonce == m_ownRecord.nonce) {
        m_version = result.version;
        m_mayHaveWritten = true;
        return step(step_kind::Owned);
    }
    if (found->state == claim_state::NotRun)
        return writeAgain(result.version);
    if (found->request != m_ownRecord.request)
        return step(step_kind::OtherRequest);
    if (found->state == claim_state::Claimed)
        return step(step_kind::Busy);
    claim_step replay = step(step_kind::Replay);
    replay.result = found->result;
    return replay;
}

claim_step claim_session::onFinalWrite(const platform_result &result)
{
    if (result.status == status_kind::Done)
        return step(step_kind::Recorded);
    if (result.status == status_kind::Unknown || result.status == status_kind::Unavailable)
        return step(step_kind::Retry);
    if (result.status == status_kind::NotFound) {
        m_version = 0;
        return step(step_kind::Retry);
    }
    const auto found = claim_record::parse(result.value);
    if (found && found->nonce == m_ownRecord.nonce) {
        if (found->state == m_ownRecord.state)
            return step(step_kind::Recorded);
        return writeAgain(result.version);
    }
    // The claim has a newer version, so that a write of this attempt in transit fails too.
    return step(m_ownRecord.state == claim_state::Done ? step_kind::Lost : step_kind::Recorded);
}

claim_step claim_session::writeAgain(std::uint64_t version)
{
    m_version = version;
    if (++m_calls >= maxCalls) {
        m_calls = 0;
        return step(m_isRecording ? step_kind::Retry : step_kind::Unreachable);
    }
    claim_step next = step(step_kind::Call);
    next.call = write();
    return next;
}

platform_call claim_session::write()
{
    platform_call call;
    call.method =
        m_version == 0 ? platform_call::method_kind::Create : platform_call::method_kind::Update;
    call.kind = "claim";
    call.name = m_name;
    call.version = m_version;
    call.value = m_ownRecord.format();
    return call;
}

platform_call claim_session::read() const
{
    platform_call call;
    call.method = platform_call::method_kind::Get;
    call.kind = "claim";
    call.name = m_name;
    return call;
}

claim_step claim_session::step(step_kind kind) const
{
    claim_step result;
    result.kind = kind;
    return result;
}

} // namespace waxwing
