#include "http/rejection.h"

namespace waxwing::http {

std::string_view toString(rejection_cause cause)
{
    switch (cause) {
    case rejection_cause::Unreadable:
        return "unreadable";
    case rejection_cause::Slow:
        return "slow";
    case rejection_cause::NoRoom:
        return "no_room";
    case rejection_cause::Stranger:
        return "stranger";
    case rejection_cause::Untaken:
        return "untaken";
    }
    return "unknown";
}

} // namespace waxwing::http
