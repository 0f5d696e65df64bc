#include "configuration/json_pointer.h"

#include <algorithm>

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

std::string withIds(const std::string &pointer, const nlohmann::json &document)
{
    std::string result;
    std::string walked;
    std::size_t at = 0;
    while (at < pointer.size()) {
        const auto end = std::min(pointer.find('/', at + 1), pointer.size());
        const auto token = pointer.substr(at, end - at);
        walked += token;
        const nlohmann::json::json_pointer position(walked);
        const auto *element = document.contains(position) ? &document[position] : nullptr;
        const bool isElement = element != nullptr && element->is_object();
        if (isElement && element->contains("id"))
            result = appendToPointer(std::move(result), element->at("id").get<std::string>());
        else if (isElement && element->contains("generation"))
            result = appendToPointer(std::move(result), element->at("generation").dump());
        else
            result += token;
        at = end;
    }
    return result;
}

} // namespace waxwing
