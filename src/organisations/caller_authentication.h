#pragma once

#include "organisations/organisation_directory.h"

#include <string>
#include <string_view>

namespace waxwing {

/// What the API key of a request says about its caller.
struct caller_authentication
{
    enum class result_kind {
        /// The routes name no organisations, so that keys are not checked.
        Unchecked,
        /// The caller of a public route, without a key that is in force.
        Anonymous,
        /// The caller belongs to `customer`.
        Identified,
        /// The key is missing or not in force, and the route is not public.
        Refused,
    };

    result_kind result = result_kind::Unchecked;
    /// Set if identified. The directory owns it.
    const organisation *customer = nullptr;

    bool operator==(const caller_authentication &) const = default;
};

/// Decides who the caller of a request is. `key` is empty if the request has none. The cost does
/// not depend on the number of organisations and keys.
caller_authentication authenticateCaller(const organisation_directory &organisations,
                                         std::string_view key, bool isPublicRoute);

/// Text that stands for a key in logs, from which the key cannot be recovered: 32 bits of a hash,
/// enough to find all refusals of one key. `none` for an empty key.
std::string keyDigest(std::string_view key);

} // namespace waxwing
