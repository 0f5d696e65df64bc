#pragma once

#include "command/command_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Value of a `claim` object: who may run a command, and what is known about its outcome.
struct claim_record
{
    /// Progress of the claimed command.
    enum class claim_state {
        /// The host with the nonce may have sent the command to a backend server.
        Claimed,
        /// The host with the nonce sent nothing and never will; another one may take the claim.
        NotRun,
        /// The command ran; `result` is its result.
        Done,
    };

    /// Host that made the claim.
    std::string host;
    /// Incarnation of the host.
    std::uint64_t incarnation = 0;
    /// Random number of the try that made the claim.
    std::string nonce;
    /// Fingerprint of the request, so that a key used again for another request is noticed.
    std::string request;
    /// Progress.
    claim_state state = claim_state::Claimed;
    /// Result as JSON text; empty unless done.
    std::string result;

    bool operator==(const claim_record &) const = default;

    /// The record as JSON text.
    std::string format() const;
    /// Parses JSON text; empty if it is no claim.
    static std::optional<claim_record> parse(std::string_view json);
    /// Name of the claim of a request. 128 bits, because two requests with the same name would
    /// get each other's result.
    static std::string name(const command_request &request);
    /// Fingerprint of document, operation and payload.
    static std::string fingerprint(const command_request &request);
};

} // namespace waxwing
