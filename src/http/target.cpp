#include "http/target.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace waxwing::http {
namespace {

/// Text that libevent allocated with malloc.
using c_text = std::unique_ptr<char, decltype(&std::free)>;
/// Parsed target of libevent.
using uri_ptr = std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)>;

std::string decode(const char *text)
{
    std::size_t size = 0;
    const c_text decoded(evhttp_uridecode(text, 0, &size), &std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

std::string encode(std::string_view text)
{
    const c_text encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
                         &std::free);
    return encoded ? std::string(encoded.get()) : std::string();
}

std::string encodePath(std::string_view path)
{
    std::string result;
    for (std::size_t from = 0; from <= path.size();) {
        const auto slash = std::min(path.find('/', from), path.size());
        if (slash > from)
            result += encode(path.substr(from, slash - from));
        if (slash < path.size())
            result += '/';
        from = slash + 1;
    }
    return result.empty() ? "/" : result;
}

std::optional<header_list> parseQuery(const char *query)
{
    header_list result;
    if (query == nullptr)
        return result;
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(query, &parameters) != 0)
        return std::nullopt;
    for (const evkeyval *field = parameters.tqh_first; field != nullptr;
         field = field->next.tqe_next)
        result.emplace_back(field->key, field->value);
    evhttp_clear_headers(&parameters);
    return result;
}

} // namespace

std::optional<target_parts> parseTarget(const std::string &target)
{
    // Callers send characters in queries that RFC 3986 wants encoded, such as `|`.
    const uri_ptr uri(evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT),
                      &evhttp_uri_free);
    if (!uri)
        return std::nullopt;
    auto query = parseQuery(evhttp_uri_get_query(uri.get()));
    if (!query)
        return std::nullopt;
    const char *path = evhttp_uri_get_path(uri.get());
    const bool hasPath = path != nullptr && *path != '\0';
    return target_parts{hasPath ? decode(path) : "/", *std::move(query)};
}

std::string formatTarget(const request &message)
{
    std::string result = encodePath(message.path);
    char separator = '?';
    for (const auto &[name, value] : message.query) {
        result += separator + encode(name) + '=' + encode(value);
        separator = '&';
    }
    return result;
}

} // namespace waxwing::http
