#pragma once

#include <string_view>

namespace waxwing::relay {

/// Refusal code in place of that of a host whose answer does not belong to the forwarding protocol,
/// such as a host of an older build that does not know the form of the request. It has not run the
/// request.
inline constexpr std::string_view notUnderstoodCode = "not_understood";

} // namespace waxwing::relay
