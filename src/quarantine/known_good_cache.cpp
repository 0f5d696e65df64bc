#include "quarantine/known_good_cache.h"

#include <utility>

namespace waxwing {

known_good_cache::known_good_cache(std::size_t generationSize,
                                   std::chrono::milliseconds generationTime)
    : m_generationSize(generationSize), m_generationTime(generationTime)
{ }

void known_good_cache::add(std::uint64_t fingerprint, time_point now)
{
    if (m_newer.size() >= m_generationSize || now - m_generationStart >= m_generationTime) {
        m_older = std::exchange(m_newer, {});
        m_generationStart = now;
    }
    m_newer.insert(fingerprint);
}

void known_good_cache::remove(std::uint64_t fingerprint)
{
    m_newer.erase(fingerprint);
    m_older.erase(fingerprint);
}

bool known_good_cache::contains(std::uint64_t fingerprint) const
{
    return m_newer.contains(fingerprint) || m_older.contains(fingerprint);
}

} // namespace waxwing
