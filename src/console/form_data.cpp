#include "console/form_data.h"

#include <absl/strings/str_split.h>

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace waxwing {
namespace {

std::string decode(const std::string &text)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(
        evhttp_uridecode(text.c_str(), 1, &size), &std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

} // namespace

form_values parseFormBody(const std::string &body)
{
    form_values result;
    const std::vector<std::string> pairs = absl::StrSplit(body, '&', absl::SkipEmpty());
    for (const auto &pair : pairs) {
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string();
        result.emplace(decode(pair.substr(0, equals)), decode(value));
    }
    return result;
}

std::string valueOf(const form_values &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
}

} // namespace waxwing
