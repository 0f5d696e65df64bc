#pragma once

#include "organisations/organisation.h"
#include "relay/route_document.h"
#include "route_check/check_context.h"
#include "route_check/finding.h"

#include <vector>

namespace waxwing::route_check {

/// Runs all checks below on a document that hosts accept. Findings are in the order of severity.
std::vector<finding> checkRoutes(const relay::route_document &document,
                                 const check_context &context);

/// Finds why `relay::route_document::create` rejects the content. Empty for content that it
/// accepts.
std::vector<finding> findRejections(const std::vector<relay::route> &routes,
                                    const std::vector<organisation> &organisations);

/// Services that routes name but the document does not; names that are used twice; services that
/// no route uses.
void checkReferences(const relay::route_document &document, std::vector<finding> &findings);

/// Routes that receive no requests, targets without weight, organisations without keys, and keys
/// that no request can contain.
void checkMatching(const relay::route_document &document, std::vector<finding> &findings);

/// Allowed regions: those without zones or servers, and routes that share none with an
/// organisation.
void checkRegions(const relay::route_document &document, const check_context &context,
                  std::vector<finding> &findings);

/// Limits and times that contradict each other.
void checkLimits(const relay::route_document &document, const check_context &context,
                 std::vector<finding> &findings);

/// What the registered servers cannot provide. Does nothing if they are not known.
void checkServers(const relay::route_document &document, const check_context &context,
                  std::vector<finding> &findings);

} // namespace waxwing::route_check
