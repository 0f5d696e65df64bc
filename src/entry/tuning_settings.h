#pragma once

#include "entry/entry_settings.h"
#include "settings/settings_section.h"

namespace waxwing {

/// Reads the tunable values of the state from the section `tuning`.
void readTuning(settings_section section, entry_settings &target);

} // namespace waxwing
