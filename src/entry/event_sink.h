#pragma once

#include "events/event.h"

#include <functional>

namespace waxwing {

/// Takes events from the shells. May be called from within an effect; the event is then handled
/// after the effects of the event before.
using event_sink = std::function<void(event_body)>;

} // namespace waxwing
