#pragma once

#include "entry/entry_settings.h"
#include "events/effect.h"

#include <absl/status/statusor.h>

#include <istream>
#include <vector>

namespace waxwing {

/// Feeds recorded events, one JSON line for each, to the reducer and returns the effects of each
/// event. `settings` have to be those of the recorded run. Fails with InvalidArgument, naming the
/// line, if one cannot be read.
absl::StatusOr<std::vector<effect_list>> replayEvents(std::istream &lines,
                                                      const entry_settings &settings);

} // namespace waxwing
