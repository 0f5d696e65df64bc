#include "standins/json_fields.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace waxwing::standins {
namespace {

absl::Status wrongType(const char *name, const char *expected)
{
    return absl::InvalidArgumentError(absl::StrCat("field '", name, "' must be ", expected));
}

} // namespace

absl::StatusOr<nlohmann::json> parseObject(std::string_view text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return absl::InvalidArgumentError("the body is not a JSON object");
    return parsed;
}

absl::Status readField(const nlohmann::json &object, const char *name, bool &target)
{
    const auto field = object.find(name);
    if (field == object.end())
        return absl::OkStatus();
    if (!field->is_boolean())
        return wrongType(name, "true or false");
    target = field->get<bool>();
    return absl::OkStatus();
}

absl::Status readField(const nlohmann::json &object, const char *name, double &target)
{
    const auto field = object.find(name);
    if (field == object.end())
        return absl::OkStatus();
    if (!field->is_number())
        return wrongType(name, "a number");
    target = field->get<double>();
    return absl::OkStatus();
}

absl::Status readField(const nlohmann::json &object, const char *name, std::uint64_t &target)
{
    const auto field = object.find(name);
    if (field == object.end())
        return absl::OkStatus();
    if (!field->is_number_unsigned())
        return wrongType(name, "an integer, 0 or more");
    target = field->get<std::uint64_t>();
    return absl::OkStatus();
}

absl::Status readField(const nlohmann::json &object, const char *name, std::string &target)
{
    const auto field = object.find(name);
    if (field == object.end())
        return absl::OkStatus();
    if (!field->is_string())
        return wrongType(name, "a string");
    target = field->get<std::string>();
    return absl::OkStatus();
}

absl::Status checkFieldNames(const nlohmann::json &object,
                             std::initializer_list<std::string_view> known)
{
    for (const auto &[name, value] : object.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return absl::InvalidArgumentError(absl::StrCat("unknown field '", name, "'"));
    }
    return absl::OkStatus();
}

http::response badRequest(const absl::Status &status)
{
    return http::problemResponse({400, "malformed", std::string(status.message())});
}

} // namespace waxwing::standins
