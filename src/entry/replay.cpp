#include "entry/replay.h"

#include "entry/entry_reducer.h"
#include "events/event_json.h"

#include <string>

namespace waxwing {

absl::StatusOr<std::vector<effect_list>> replayEvents(std::istream &lines,
                                                      const entry_settings &settings)
{
    entry_state state = entry_state::create(settings);
    std::vector<effect_list> effects;
    for (std::string line; std::getline(lines, line);) {
        const auto input = parseEvent(line);
        if (!input.ok())
            return absl::InvalidArgumentError("line " + std::to_string(effects.size() + 1) + ": "
                                              + std::string(input.status().message()));
        reduction result = entry_reducer::reduce(std::move(state), *input);
        state = std::move(result.state);
        effects.push_back(std::move(result.effects));
    }
    return effects;
}

} // namespace waxwing
