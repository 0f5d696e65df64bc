#pragma once

#include "core/clock.h"

#include <chrono>

namespace waxwing {

/// Clock that a test moves.
class manual_clock final : public clock
{
public:
    time_point now() const override { return at; }
    wall_time wallNow() const override { return {}; }

    time_point at{std::chrono::hours(1)};
};

} // namespace waxwing
