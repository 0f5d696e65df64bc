#include "http/request_id_history.h"

#include "core/hash.h"

#include <algorithm>

namespace waxwing::http {
namespace {

std::uint32_t fingerprintOf(std::string_view id)
{
    return static_cast<std::uint32_t>(stableHash(id));
}

} // namespace

bool request_id_history::contains(std::string_view id) const
{
    return std::find(m_fingerprints.begin(), m_fingerprints.end(), fingerprintOf(id))
        != m_fingerprints.end();
}

void request_id_history::add(std::string_view id)
{
    if (!isFull())
        m_fingerprints.push_back(fingerprintOf(id));
}

} // namespace waxwing::http
