#include "standins/command_log.h"

namespace waxwing::standins {
namespace {

nlohmann::json repeated(const std::map<std::string, std::uint64_t> &counts)
{
    auto result = nlohmann::json::object();
    for (const auto &[name, runs] : counts) {
        if (runs > 1)
            result[name] = runs;
    }
    return result;
}

} // namespace

void command_log::add(const leaf_call &command)
{
    ++m_runs;
    ++m_byRequest[command.requestKey()];
    ++m_byKey[command.commandKey()];
}

nlohmann::json command_log::toJson() const
{
    return {{"runs", m_runs},
            {"double_runs_by_request", repeated(m_byRequest)},
            {"double_runs_by_key", repeated(m_byKey)}};
}

std::uint64_t command_log::runsOf(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? 0 : found->second;
}

} // namespace waxwing::standins
