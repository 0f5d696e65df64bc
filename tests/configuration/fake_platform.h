#pragma once

#include "configuration/object_call.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Platform in memory, whose next calls fail as a script says.
class fake_platform
{
public:
    /// `Late` loses the answer of a write that takes effect by `runLate`.
    enum class fault { None, Down, LostBefore, LostAfter, Late, Stale };

    object_answer call(const object_call &what)
    {
        const auto next = faults.empty() ? fault::None : faults.front();
        if (!faults.empty())
            faults.erase(faults.begin());
        if (next == fault::Down)
            return call_failed{false, "connection refused"};
        if (next == fault::Late && what.value)
            late.push_back(what);
        if (next == fault::LostBefore || next == fault::Late)
            return call_failed{true, "connection lost"};
        if (next == fault::Stale && !what.value && what.kind == configurationKind && m_previous)
            return *m_previous;
        auto answer = what.value ? write(what) : read(what);
        return next == fault::LostAfter ? call_failed{true, "connection lost"} : answer;
    }

    /// Carries out the next write whose answer was lost before it took effect, if there is one.
    bool runLate()
    {
        if (late.empty())
            return false;
        write(late.front());
        late.erase(late.begin());
        return true;
    }

    const found_object &current() const { return objects.at({configurationKind, currentName}); }

    std::map<std::pair<std::string, std::string>, found_object> objects;
    std::vector<fault> faults;
    std::vector<object_call> late;
    int writes = 0;

private:
    std::optional<found_object> m_previous;

    object_answer read(const object_call &what) const
    {
        const auto found = objects.find({what.kind, what.name});
        return found == objects.end() ? object_answer(missing_object{}) : found->second;
    }

    object_answer write(const object_call &what)
    {
        auto &object = objects[{what.kind, what.name}];
        if (object.version != what.version)
            return write_conflict{object};
        if (what.kind == configurationKind) {
            m_previous = object;
            ++writes;
        }
        object = {object.version + 1, *what.value};
        return object_written{object.version};
    }
};

} // namespace waxwing
