#pragma once

#include "relay/route_document.h"
#include "route_check/finding.h"

#include <vector>

namespace waxwing::route_check {

/// Compares a document with the one in force: notes for what was added, removed and changed, an
/// error if the version is not higher, and warnings about keys whose withdrawal has consequences.
/// Places are those in `document`; what was removed is placed at the list that contained it.
std::vector<finding> compareRoutes(const relay::route_document &inForce,
                                   const relay::route_document &document);

} // namespace waxwing::route_check
