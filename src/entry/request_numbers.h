#pragma once

#include "core/strong_id.h"

namespace waxwing {

/// Assigns numbers to requests from callers and peers, unique within one incarnation of an
/// entry host.
class request_numbers
{
public:
    request_id next() { return {++m_last}; }

private:
    std::uint64_t m_last = 0;
};

} // namespace waxwing
