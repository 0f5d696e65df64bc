#include "entry/json_fields.h"

#include <limits>

namespace waxwing {

const nlohmann::json *findField(const nlohmann::json &object, const char *name)
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

std::optional<std::string> textField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_string())
        return std::nullopt;
    return field->get<std::string>();
}

std::optional<std::uint64_t> numberField(const nlohmann::json &object, const char *name,
                                         std::uint64_t most)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_number_unsigned())
        return std::nullopt;
    const auto value = field->get<std::uint64_t>();
    return value <= most ? std::optional(value) : std::nullopt;
}

std::optional<snapshot> readSnapshot(const nlohmann::json &object)
{
    const auto partitioning =
        numberField(object, "partitioning", std::numeric_limits<std::uint32_t>::max());
    const auto version = numberField(object, "version");
    if (!partitioning || !version)
        return std::nullopt;
    return snapshot{static_cast<std::uint32_t>(*partitioning), *version};
}

std::optional<std::vector<snapshot>> readSnapshots(const nlohmann::json *list)
{
    if (list == nullptr || !list->is_array())
        return std::nullopt;
    std::vector<snapshot> result;
    for (const auto &element : *list) {
        const auto held = readSnapshot(element);
        if (!held)
            return std::nullopt;
        result.push_back(*held);
    }
    return result;
}

} // namespace waxwing
