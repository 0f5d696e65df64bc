#include "configuration/json_pointer.h"

namespace waxwing {

std::string appendToPointer(std::string base, std::string_view token)
{
    base += '/';
    for (const char c : token) {
        if (c == '~')
            base += "~0";
        else if (c == '/')
            base += "~1";
        else
            base += c;
    }
    return base;
}

std::string appendToPointer(std::string base, std::size_t index)
{
    return std::move(base) + "/" + std::to_string(index);
}

} // namespace waxwing
