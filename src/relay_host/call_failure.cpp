#include "relay_host/call_failure.h"

namespace waxwing::relay {

leaf_failure toLeafFailure(http::call_failure reason)
{
    switch (reason) {
    case http::call_failure::ConnectFailed:
        return leaf_failure::NotSent;
    case http::call_failure::DeadlinePassed:
        return leaf_failure::DeadlinePassed;
    case http::call_failure::NotAccepted:
        return leaf_failure::NotAccepted;
    case http::call_failure::ConnectionLost:
        return leaf_failure::ConnectionLost;
    case http::call_failure::Malformed:
    case http::call_failure::NoRoom:
        return leaf_failure::Malformed;
    }
    return leaf_failure::ConnectionLost;
}

} // namespace waxwing::relay
