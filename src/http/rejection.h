#pragma once

#include "core/endpoint.h"

#include <cstddef>
#include <string_view>

namespace waxwing::http {

/// Why a server ended a message of a peer, or an answer to it.
enum class rejection_cause {
    /// The request is not well-formed, or larger than allowed.
    Unreadable,
    /// The request did not arrive in its time.
    Slow,
    /// There was no room for the bytes of the request; it may have been ended for others.
    NoRoom,
    /// The sender may not send a body.
    Stranger,
    /// The peer did not take its answer.
    Untaken,
};

/// Name of a cause in metrics and logs.
std::string_view toString(rejection_cause cause);

/// What a server ended.
struct rejection
{
    rejection_cause cause = rejection_cause::Unreadable;
    /// The peer.
    endpoint sender;
    /// Bytes that were held for it.
    std::size_t held = 0;
    /// Recent progress of the peer, in bytes a second.
    double rate = 0;

    bool operator==(const rejection &) const = default;
};

} // namespace waxwing::http
