#include "route_check/route_checks.h"

#include <algorithm>

namespace waxwing::route_check {

std::vector<finding> checkRoutes(const relay::route_document &document,
                                 const check_context &context)
{
    std::vector<finding> result;
    checkReferences(document, result);
    checkMatching(document, result);
    checkRegions(document, context, result);
    checkLimits(document, context, result);
    checkServers(document, context, result);
    std::stable_sort(result.begin(), result.end(), [](const finding &left, const finding &right) {
        return left.severity() < right.severity();
    });
    return result;
}

} // namespace waxwing::route_check
