#include "configuration/difference.h"

#include "configuration/document_json.h"
#include "configuration/json_pointer.h"

namespace waxwing {
namespace {

using nlohmann::json;

/// The key of an element of an array of objects.
std::string elementKey(const json &element)
{
    return element.contains("id") ? element["id"].get<std::string>()
                                  : std::to_string(element["generation"].get<std::uint64_t>());
}

/// Turns arrays of objects into objects by id. Arrays of ids stay one value.
json byId(const json &value)
{
    json result = json::object();
    if (value.is_array()) {
        for (const auto &element : value)
            result[elementKey(element)] = byId(element);
        return result;
    }
    if (!value.is_object())
        return value;
    for (const auto &[key, member] : value.items())
        result[key] = key == "replicas" || key == "zones" ? member : byId(member);
    return result;
}

json comparable(const configuration &document)
{
    auto result = byId(writeDocument(document));
    for (const char *field : {"revision", "change_id", "changed_by", "reason"})
        result.erase(field);
    return result;
}

void compareValues(const json *before, const json *after, const std::string &field,
                   std::vector<field_difference> &result);

void compareMembers(const json &before, const json &after, const std::string &field,
                    std::vector<field_difference> &result)
{
    json keys = before;
    keys.update(after);
    for (const auto &[key, ignored] : keys.items()) {
        const auto left = before.find(key);
        const auto right = after.find(key);
        compareValues(left == before.end() ? nullptr : &*left,
                      right == after.end() ? nullptr : &*right, appendToPointer(field, key),
                      result);
    }
}

void compareValues(const json *before, const json *after, const std::string &field,
                   std::vector<field_difference> &result)
{
    if (before != nullptr && after != nullptr) {
        if (*before == *after)
            return;
        if (before->is_object() && after->is_object())
            return compareMembers(*before, *after, field, result);
    }
    const auto text = [](const json *value) {
        return value == nullptr ? std::nullopt : std::optional<std::string>(value->dump());
    };
    result.push_back({field, text(before), text(after)});
}

} // namespace

std::vector<field_difference> compareConfigurations(const configuration &before,
                                                    const configuration &after)
{
    std::vector<field_difference> result;
    compareMembers(comparable(before), comparable(after), "", result);
    return result;
}

} // namespace waxwing
