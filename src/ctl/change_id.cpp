#include "ctl/change_id.h"

#include <fmt/format.h>

#include <random>

namespace waxwing {

std::string makeChangeId()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

} // namespace waxwing
