#pragma once

#include "command/command_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace waxwing {

/// Object API of the platform in memory, with switchable faults.
class fake_platform
{
public:
    /// Carries out a call. Watches answer at once.
    platform_result call(const platform_call &request);
    /// Puts an object there without a call.
    void put(const std::string &kind, const std::string &name, std::string value);

    /// Refuses every call while down.
    void setDown(bool down) { m_down = down; }
    /// Lets the next writes take effect and loses their answers.
    void loseAnswers(std::uint32_t count) { m_answersToLose += count; }

private:
    /// Object with its version.
    struct stored_object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    platform_result read(const platform_call &request) const;
    platform_result write(const platform_call &request);

    std::map<std::pair<std::string, std::string>, stored_object> m_objects;
    bool m_down = false;
    std::uint32_t m_answersToLose = 0;
};

} // namespace waxwing
