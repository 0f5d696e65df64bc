#pragma once

#include "entry/entry_settings.h"
#include "events/effect.h"

#include <absl/status/statusor.h>

#include <istream>
#include <vector>

namespace waxwing {

/// Feeds recorded events, one JSON object per line, to the reducer and returns the effects of each
/// event. `settings` must equal those of the recorded run. Fails with InvalidArgument, naming the
/// line, if a line cannot be parsed.
absl::StatusOr<std::vector<effect_list>> replayEvents(std::istream &lines,
                                                      const entry_settings &settings);

} // namespace waxwing
