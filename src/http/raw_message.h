#pragma once

#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing::http {

/// HTTP request with its target exactly as it was received.
struct raw_request
{
    /// Method in upper case, such as `GET`.
    std::string method = "GET";
    /// Path and query, not decoded.
    std::string target = "/";
    /// Header fields in the order received.
    header_list headers;
    /// Body without its transfer coding.
    std::string body;
    /// Whether the sender keeps the connection open.
    bool keepAlive = true;

    bool operator==(const raw_request &) const = default;
};

/// HTTP response as received.
struct raw_response
{
    /// Status, header fields and body without its transfer coding.
    response content;
    /// Whether the sender keeps the connection open.
    bool keepAlive = true;

    bool operator==(const raw_response &) const = default;
};

/// The fields that are not limited to one connection, without `Content-Length` and `Expect`, which
/// describe how the sender transmits its message.
header_list endToEndFields(const header_list &headers);

/// Bytes of a request with `Host` among its headers. `Content-Length` is added where there is a
/// body or the method usually has one.
std::string formatRequest(const raw_request &message);

/// Adds a header field to the bytes of a request or response.
std::string withField(std::string bytes, std::string_view name, std::string_view value);

/// Start line and header fields of a response whose body follows in pieces: of `length` bytes, or
/// in chunks without one.
std::string formatResponseHead(const response &message, std::optional<std::uint64_t> length,
                               bool keepAlive);

/// Bytes of a chunk of a body; of the last one if there are none.
std::string formatChunk(std::string_view bytes);

/// Bytes of a response with `Content-Length`, and `Connection: close` unless `keepAlive`. The body
/// is left out in the answer to a `HEAD` request.
std::string formatResponse(const response &message, bool keepAlive, bool headRequest);

} // namespace waxwing::http
