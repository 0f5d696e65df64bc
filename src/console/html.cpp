#include "console/html.h"

#include <fmt/format.h>

namespace waxwing {

std::string escapeHtml(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

http::response htmlPage(int status, std::string_view title, std::string_view body)
{
    constexpr const char *page = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{0} - waxwing</title><link rel="stylesheet" href="/style.css"></head>
<body><nav><a href="/">Overview</a> <a href="/service">New service</a>
<a href="/departure">Departure</a> <a href="/history">History</a></nav>
<main><h1>{0}</h1>
{1}</main></body></html>
)";
    return {status,
            {{"Content-Type", "text/html; charset=utf-8"},
             {"Cache-Control", "no-store"},
             {"Content-Security-Policy",
              "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; "
              "base-uri 'none'"},
             {"X-Content-Type-Options", "nosniff"},
             {"Referrer-Policy", "same-origin"}},
            fmt::format(page, escapeHtml(title), body)};
}

http::response styleSheet()
{
    return {200,
            {{"Content-Type", "text/css; charset=utf-8"}},
            "body{font-family:sans-serif;max-width:70em;margin:1em auto;padding:0 1em}"
            "table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .5em;"
            "text-align:left;vertical-align:top}label{display:block;margin-top:.8em}"
            "textarea{width:100%;font-family:monospace}.error{color:#a00;font-weight:bold}"
            "td{overflow-wrap:anywhere}button{margin:1em .5em 0 0}"};
}

} // namespace waxwing
