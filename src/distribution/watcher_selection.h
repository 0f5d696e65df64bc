#pragma once

#include "core/strong_id.h"
#include "membership/member.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// Whether `self` is among the `perZone` members of its zone with the lowest rendezvous rank.
/// Returns false for a host that is not in `active`.
bool isWatcher(const std::vector<member> &active, const host_id &self, std::uint32_t perZone);

} // namespace waxwing
