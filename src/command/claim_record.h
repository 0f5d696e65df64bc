#pragma once

#include "command/command_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Value of a `claim` object on the platform: the host that may run a command, and the recorded
/// outcome.
struct claim_record
{
    /// Progress of the claimed command.
    enum class claim_state {
        /// The attempt with the nonce may have sent the command to a backend server.
        Claimed,
        /// The attempt with the nonce sent nothing and will send nothing; another attempt may take
        /// over the claim.
        NotRun,
        /// The command ran; `result` is its result.
        Done,
    };

    /// Host that made the claim.
    std::string host;
    std::uint64_t incarnation = 0;
    /// 128-bit random number of the attempt that made the claim, in hexadecimal.
    std::string nonce;
    /// Fingerprint of the request; detects a key that is reused for another request.
    std::string request;
    claim_state state = claim_state::Claimed;
    /// Result as JSON text; empty unless `state` is `Done`.
    std::string result;

    bool operator==(const claim_record &) const = default;

    /// Serialises the record as JSON text.
    std::string format() const;
    /// Parses JSON text; empty if it is not a valid claim.
    static std::optional<claim_record> parse(std::string_view json);
    /// Object name of the claim, a hash of service and key. It has 128 bits, because a collision
    /// would return the result of one request for another.
    static std::string name(const command_request &request);
    /// Fingerprint of document, operation and payload.
    static std::string fingerprint(const command_request &request);
};

} // namespace waxwing
