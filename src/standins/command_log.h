#pragma once

#include "standins/leaf_call.h"

#include <cstdint>
#include <map>
#include <string>

namespace waxwing::standins {

/// Commands that backend servers ran, over all servers, so that double runs are visible.
class command_log
{
public:
    /// Counts a run.
    void add(const leaf_call &command);
    /// `{"runs", "double_runs_by_request": {id: runs}, "double_runs_by_key": {key: runs}}`; only
    /// what ran more than once is listed.
    nlohmann::json toJson() const;
    /// Runs of the commands of one key.
    std::uint64_t runsOf(const std::string &key) const;

private:
    std::uint64_t m_runs = 0;
    std::map<std::string, std::uint64_t> m_byRequest;
    std::map<std::string, std::uint64_t> m_byKey;
};

} // namespace waxwing::standins
