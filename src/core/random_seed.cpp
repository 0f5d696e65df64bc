#include "core/random_seed.h"

#include <random>

namespace waxwing {

std::uint64_t drawSeed()
{
    std::random_device device;
    constexpr int halfBits = 32;
    return (std::uint64_t{device()} << halfBits) | device();
}

} // namespace waxwing
