#pragma once

#include "core/refusal.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::http {

/// Header fields in the order in which they are sent. Names compare without case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// The first value of the field `name`, or null. Valid as long as `headers`.
const std::string *findField(const header_list &headers, std::string_view name);

/// The first value of the field `name`, if it is there.
std::optional<std::string> findHeader(const header_list &headers, std::string_view name);

/// HTTP request as received or to be sent.
struct request
{
    /// Method in upper case, such as `GET`.
    std::string method = "GET";
    /// Decoded path without the query.
    std::string path = "/";
    /// Decoded parameters of the query, in order.
    header_list query;
    /// Header fields.
    header_list headers;
    /// Body, not decoded.
    std::string body;
    /// Header field that tells the peer how much of the timeout is left when the request is
    /// written, in milliseconds; empty for none. Used only by requests that are sent.
    std::string timeoutField{};

    bool operator==(const request &) const = default;
};

/// HTTP response as received or to be sent.
struct response
{
    /// Status code.
    int status = 200;
    /// Header fields; the server adds length and date.
    header_list headers;
    /// Body, not decoded.
    std::string body;

    bool operator==(const response &) const = default;
};

/// Response with a JSON body.
response jsonResponse(int status, std::string body);

/// Response of type `application/problem+json`.
/// Carries `Retry-After` in whole seconds, rounded up, where `refusal::retryAfter` is positive.
response problemResponse(const refusal &reason);

} // namespace waxwing::http
