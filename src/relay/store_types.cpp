#include "relay/store_types.h"

namespace waxwing::relay {

std::string_view failureName(store_failure reason)
{
    switch (reason) {
    case store_failure::Unreachable:
        return "unreachable";
    case store_failure::NoAnswer:
        return "no answer";
    case store_failure::Unavailable:
        return "unavailable";
    case store_failure::TooManyCalls:
        return "too many calls";
    case store_failure::HistoryGone:
        return "history gone";
    case store_failure::Malformed:
        return "malformed answer";
    }
    return "unknown";
}

} // namespace waxwing::relay
