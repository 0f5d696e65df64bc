#pragma once

#include "http/client_pool.h"
#include "relay/relay_types.h"

namespace waxwing::relay {

/// Converts the failure of an HTTP call to that of an attempt.
leaf_failure toLeafFailure(http::call_failure reason);

} // namespace waxwing::relay
