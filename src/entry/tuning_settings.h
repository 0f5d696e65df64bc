#pragma once

#include "entry/entry_settings.h"
#include "settings/settings_section.h"

namespace waxwing {

/// Parses the tunable parameters of the reducer state from the section `tuning`.
void readTuning(settings_section section, entry_settings &target);

} // namespace waxwing
