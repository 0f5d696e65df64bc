#pragma once

#include "telemetry/logger.h"

#include <vector>

namespace waxwing {

/// Keeps the entries that are written to it.
class silent_logger final : public logger
{
public:
    void write(const log_entry &entry) override { entries.push_back(entry); }

    std::vector<log_entry> entries;
};

} // namespace waxwing
