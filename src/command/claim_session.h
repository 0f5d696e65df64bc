#pragma once

#include "command/claim_record.h"
#include "command/command_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace waxwing {

/// Next step after a platform response about a claim.
struct claim_step
{
    enum class step_kind {
        /// Make `call` next.
        Call,
        /// The claim belongs to this attempt, which may send the command once.
        Owned,
        /// The command ran in an earlier attempt; `result` is its result.
        Replay,
        /// An earlier attempt claimed the command and has recorded no outcome.
        Busy,
        /// The key was used for another request.
        OtherRequest,
        /// The platform sends no usable response; the claim may or may not belong to this attempt.
        Unreachable,
        /// The outcome of this attempt is recorded, or needs no record.
        Recorded,
        /// The outcome of this attempt is not recorded; repeat the write later.
        Retry,
        /// The claim no longer belongs to this attempt, so that its result cannot be recorded.
        Lost,
    };

    step_kind kind = step_kind::Call;
    /// Set with `Call`.
    std::optional<platform_call> call;
    /// Result as JSON text; set with `Replay`.
    std::string result;
};

/// Sequence of platform calls of one attempt of a command on its claim. Only the nonce decides
/// which attempt owns a claim, because responses may be lost and hosts may be paused or replaced.
class claim_session
{
public:
    claim_session(std::string name, claim_record ownRecord);

    /// Returns the first call to claim the command.
    platform_call acquire();
    /// Returns the first call to record that this attempt sent nothing and will send nothing. The
    /// write also makes any write of `acquire` that is still in transit fail.
    platform_call release();
    /// Returns the first call to record the result, given as JSON text.
    platform_call record(std::string result);
    /// Returns the call that repeats the last `release` or `record` after a `Retry`.
    platform_call repeat();
    /// Handles the response to the last call.
    claim_step onResult(const platform_result &result);
    /// Whether a write of `acquire` has or may have taken effect, so that `release` is needed.
    bool needsRelease() const { return m_mayHaveWritten; }
    /// The claim record that this attempt writes.
    const claim_record &ownRecord() const { return m_ownRecord; }

private:
    platform_call write();
    platform_call read() const;
    claim_step step(claim_step::step_kind kind) const;
    claim_step writeAgain(std::uint64_t version);
    claim_step onAcquire(const platform_result &result);
    claim_step onExistingClaim(const platform_result &result);
    claim_step onFinalWrite(const platform_result &result);

    std::string m_name;
    claim_record m_ownRecord;
    /// Version that the next write replaces, 0 to create the claim.
    std::uint64_t m_version = 0;
    std::uint32_t m_calls = 0;
    bool m_mayHaveWritten = false;
    bool m_isReading = false;
    bool m_isRecording = false;
};

} // namespace waxwing
