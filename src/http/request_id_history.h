#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace waxwing::http {

/// Ids of the requests that were written on one connection.
///
/// Kept as 32-bit fingerprints: two ids in four thousand million are taken for the same one, which
/// costs a connection and nothing else.
class request_id_history
{
public:
    /// Most ids that are kept, 8 KiB for a connection.
    static constexpr std::size_t capacity = 2048;

    /// Whether a request with the id was added.
    bool contains(std::string_view id) const;
    /// Whether there is no room for a further id.
    bool isFull() const { return m_fingerprints.size() >= capacity; }
    /// Adds the id of a request. Ids beyond the capacity are not kept.
    void add(std::string_view id);

private:
    std::vector<std::uint32_t> m_fingerprints;
};

} // namespace waxwing::http
