#include "http/raw_message.h"

#include "core/text.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <vector>

namespace waxwing::http {
namespace {

constexpr std::array<std::string_view, 11> connectionFields{"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            "content-length",
                                                            "expect"};

bool isConnectionField(std::string_view name)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(),
                       [name](std::string_view known) { return equalsIgnoringCase(known, name); });
}

std::vector<std::string> namedByConnection(const header_list &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (!equalsIgnoringCase(name, "connection"))
            continue;
        for (const std::string &token : std::vector<std::string>(absl::StrSplit(value, ',')))
            names.emplace_back(trimmed(token));
    }
    return names;
}

bool contains(const std::vector<std::string> &names, std::string_view wanted)
{
    return std::any_of(names.begin(), names.end(), [wanted](const std::string &name) {
        return equalsIgnoringCase(name, wanted);
    });
}

void appendFields(std::string &text, const header_list &headers)
{
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
}

void appendLength(std::string &text, std::uint64_t bytes)
{
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", bytes);
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define XX(number, name, text) \
    case number: \
        return #text;
        HTTP_STATUS_MAP(XX)
#undef XX
    default:
        return "Unknown";
    }
}

} // namespace

header_list endToEndFields(const header_list &headers)
{
    const std::vector<std::string> named = namedByConnection(headers);
    header_list result;
    result.reserve(headers.size());
    for (const auto &field : headers) {
        if (!isConnectionField(field.first) && !contains(named, field.first))
            result.push_back(field);
    }
    return result;
}

std::string formatRequest(const raw_request &message)
{
    std::string text;
    text.reserve(512 + message.body.size());
    text.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    appendFields(text, message.headers);
    const bool usuallyHasBody =
        message.method == "POST" || message.method == "PUT" || message.method == "PATCH";
    if (!message.body.empty() || usuallyHasBody)
        appendLength(text, message.body.size());
    text.append("\r\n").append(message.body);
    return text;
}

std::string withField(std::string bytes, std::string_view name, std::string_view value)
{
    constexpr std::string_view lineEnd = "\r\n";
    // The first empty line ends the header.
    const std::size_t position = bytes.find("\r\n\r\n") + lineEnd.size();
    bytes.insert(position, fmt::format("{}: {}\r\n", name, value));
    return bytes;
}

std::string formatResponseHead(const response &message, std::optional<std::uint64_t> length,
                               bool keepAlive)
{
    std::string text;
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", message.status,
                   reasonPhrase(message.status));
    appendFields(text, message.headers);
    if (length.has_value())
        appendLength(text, *length);
    else
        text.append("Transfer-Encoding: chunked\r\n");
    text.append(keepAlive ? "\r\n" : "Connection: close\r\n\r\n");
    return text;
}

std::string formatChunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string formatResponse(const response &message, bool keepAlive, bool headRequest)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    const bool hasBody = message.status != noContent && message.status != notModified;
    std::string text;
    text.reserve(512 + message.body.size());
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", message.status,
                   reasonPhrase(message.status));
    appendFields(text, message.headers);
    if (hasBody)
        appendLength(text, message.body.size());
    text.append(keepAlive ? "\r\n" : "Connection: close\r\n\r\n");
    if (hasBody && !headRequest)
        text.append(message.body);
    return text;
}

} // namespace waxwing::http
