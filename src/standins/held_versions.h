#pragma once

#include "core/strong_id.h"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwing::standins {

/// Index versions that one backend server holds of each service: the last two.
class held_versions
{
public:
    /// Versions of a service, in order; `{1}` until a version is published.
    std::vector<std::uint64_t> of(const service_id &service) const;
    /// Adds the next version of a service and forgets all but the last two.
    void publish(const service_id &service);

private:
    std::map<service_id, std::uint64_t> m_newest;
};

} // namespace waxwing::standins
