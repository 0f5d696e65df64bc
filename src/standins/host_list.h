#pragma once

#include "core/clock.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <deque>

namespace waxwing::standins {

/// The platform's list of hosts, which shows changes late.
class host_list
{
public:
    /// Sets the list `{"hosts": [...]}` at the time `now`. Fails with InvalidArgument where a host
    /// lacks a field.
    absl::Status set(nlohmann::json document, time_point now);
    /// The list as it was `lag` before `now`; the first list if there was none yet.
    nlohmann::json visible(time_point now, duration lag) const;

private:
    struct entry
    {
        time_point since;
        nlohmann::json document;
    };

    std::deque<entry> m_entries;
};

} // namespace waxwing::standins
