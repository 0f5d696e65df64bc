#pragma once

#include "command/claim_record.h"
#include "command/command_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace waxwing {

/// What follows from an answer of the platform about a claim.
struct claim_step
{
    /// What follows.
    enum class step_kind {
        /// `call` is made next.
        Call,
        /// The claim belongs to this try, which may send the command once.
        Owned,
        /// The command ran in an earlier try; `result` is its result.
        Replay,
        /// An earlier try claimed the command and recorded no outcome.
        Busy,
        /// The key was used for another request.
        OtherRequest,
        /// The platform gives no usable answer; the claim is not known to belong to this try.
        Unreachable,
        /// The end of this try is recorded, or nothing needs to be.
        Recorded,
        /// The end of this try is not recorded; to be tried again later.
        Retry,
        /// The claim is lost; the end of this try cannot be recorded.
        Lost,
    };

    /// What follows.
    step_kind kind = step_kind::Call;
    /// Next call; set with `Call`.
    std::optional<platform_call> call;
    /// Result as JSON text; set with `Replay`.
    std::string result;
};

/// The platform calls of one try of a command on its claim. Only the nonce decides to whom a
/// claim belongs: answers may be lost and hosts may be paused and replaced.
class claim_session
{
public:
    claim_session(std::string name, claim_record ownRecord);

    /// First call to claim the command.
    platform_call acquire();
    /// First call to record that this try sent nothing and will send nothing. It also makes any
    /// write of `acquire` that is still on its way fail.
    platform_call release();
    /// First call to record the result.
    platform_call record(std::string result);
    /// Repeats the last `release` or `record` after a `Retry`.
    platform_call repeat();
    /// What follows from the answer to the last call.
    claim_step onResult(const platform_result &result);
    /// Whether a write of `acquire` took or may have taken effect, so that `release` is needed.
    bool needsRelease() const { return m_mayHaveWritten; }
    /// The claim as this try writes it.
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
    bool m_isEnding = false;
};

} // namespace waxwing
