#include "configuration/check_shape.h"

#include "configuration/json_pointer.h"
#include "configuration/schema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace waxwing {
namespace {

/// The compiled schema; compiling it costs more than checking a small document.
const valijson::Schema &compiledSchema()
{
    static const auto schema = [] {
        auto result = std::make_unique<valijson::Schema>();
        const auto source = nlohmann::json::parse(configurationSchema);
        const valijson::adapters::NlohmannJsonAdapter adapter(source);
        valijson::SchemaParser().populateSchema(adapter, *result);
        return result;
    }();
    return *schema;
}

/// The JSON pointer of a valijson context such as `<root>`, `[services]`, `[0]`.
std::string toPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (std::size_t i = 1; i < context.size(); ++i)
        pointer = appendToPointer(std::move(pointer),
                                  std::string_view(context[i]).substr(1, context[i].size() - 2));
    return pointer;
}

/// The text between the first and the last apostrophe.
std::string quotedPart(const std::string &text)
{
    const auto first = text.find('\'');
    return text.substr(first + 1, text.rfind('\'') - first - 1);
}

/// Without the six decimals that valijson prints after whole limits.
std::string withoutZeros(std::string text)
{
    const auto dot = text.rfind('.');
    if (dot != std::string::npos && text.find_first_not_of('0', dot + 1) == std::string::npos)
        text.erase(dot);
    return text;
}

/// The value at `pointer`, shortened for a message.
std::string valueAt(const nlohmann::json &document, const std::string &pointer)
{
    auto text = document.at(nlohmann::json::json_pointer(pointer)).dump();
    return text.size() <= 60 ? text : text.substr(0, 57) + "...";
}

configuration_problem describe(const nlohmann::json &document,
                               const valijson::ValidationResults::Error &error)
{
    const auto pointer = toPointer(error.context);
    const auto &text = error.description;
    if (text.rfind("Missing required", 0) == 0)
        return {appendToPointer(pointer, quotedPart(text)), "required field is missing"};
    if (text.rfind("Target should not", 0) == 0)
        return {pointer, "unknown field"};
    const auto found = "; found " + valueAt(document, pointer);
    if (text.rfind("Value type", 0) == 0)
        return {pointer, "wrong type" + found};
    if (text.rfind("Failed to match", 0) == 0)
        return {pointer, "expected one of the values \"early\" and \"whole\"" + found};
    return {pointer, withoutZeros(text) + found};
}

} // namespace

std::vector<configuration_problem> checkShape(const nlohmann::json &document)
{
    const valijson::adapters::NlohmannJsonAdapter target(document);
    valijson::ValidationResults results;
    valijson::Validator(valijson::Validator::kStrongTypes)
        .validate(compiledSchema(), target, &results);

    std::vector<configuration_problem> problems;
    for (const auto &error : results) {
        // These repeat, for each enclosing value, an error that has its own entry.
        if (error.description.rfind("Failed to validate", 0) != 0)
            problems.push_back(describe(document, error));
    }
    return problems;
}

} // namespace waxwing
