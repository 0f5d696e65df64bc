#include "organisations/caller_authentication.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <cstdint>

namespace waxwing {

caller_authentication authenticateCaller(const organisation_directory &organisations,
                                         std::string_view key, bool isPublicRoute)
{
    using result_kind = caller_authentication::result_kind;
    if (organisations.isEmpty())
        return {result_kind::Unchecked, nullptr};
    if (const organisation *customer = organisations.findByKey(key))
        return {result_kind::Identified, customer};
    return {isPublicRoute ? result_kind::Anonymous : result_kind::Refused, nullptr};
}

std::string keyDigest(std::string_view key)
{
    if (key.empty())
        return "none";
    return fmt::format("{:08x}", static_cast<std::uint32_t>(stableHash(key)));
}

} // namespace waxwing
