#pragma once

#include "events/event.h"

#include <functional>

namespace waxwing {
/// Receives events from the I/O components. May be called while an effect is performed; the event
/// is then handled after the remaining effects of the current event.
using event_sink = std::function<void(event_body)>;

} // namespace waxwing
