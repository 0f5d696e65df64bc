#include "http/message_parser.h"

#include "core/text.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace waxwing::http {
namespace {

/// Return value of a callback that makes http_parser stop with an error.
constexpr int stopParsing = -1;
/// Return value of the header callback of a message that has no body.
constexpr int skipBody = 1;

message_parser *ownerOf(http_parser *parser)
{
    return static_cast<message_parser *>(parser->data);
}

bool isToken(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [marks](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c))
            || marks.find(c) != std::string_view::npos;
    });
}

bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isdigit(static_cast<unsigned char>(c));
    });
}

bool hasControlCharacter(std::string_view value)
{
    return std::any_of(value.begin(), value.end(), [](char c) {
        return c != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

/// Whether the bytes begin a start line, with a method in upper case and a target.
bool namesMethod(std::string_view bytes)
{
    const std::size_t end = bytes.find(' ');
    return end != std::string_view::npos && end > 0 && bytes.substr(end + 1).starts_with('/')
        && std::all_of(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(end),
                       [](char c) { return absl::ascii_isupper(static_cast<unsigned char>(c)); });
}

} // namespace

message_parser::message_parser(message_kind kind, message_limits limits)
    : m_kind(kind), m_limits(limits)
{
    restart();
}

void message_parser::restart(bool answersHead)
{
    http_parser_init(&m_parser, m_kind == message_kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    // Swapped, since an assignment keeps the memory, and most connections wait longer than they
    // read.
    std::string().swap(m_target);
    header_list().swap(m_fields);
    std::string().swap(m_body);
    m_headerBytes = 0;
    m_statedBody = 0;
    m_lineLength = 0;
    m_lines = 0;
    m_lastWasValue = true;
    m_answersHead = answersHead;
    m_acceptsAnyBody = false;
    m_begun = false;
    m_hasHeader = false;
    m_complete = false;
    m_keepAlive = false;
    m_problem = parse_problem::None;
}

const http_parser_settings &message_parser::parserCallbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = &onUrl;
        result.on_header_field = &onFieldName;
        result.on_header_value = &onFieldValue;
        result.on_headers_complete = &onHeaderEnd;
        result.on_body = &onBody;
        result.on_message_complete = &onMessageEnd;
        return result;
    }();
    return settings;
}

std::size_t message_parser::read(std::string_view bytes)
{
    if (bytes.empty() || m_complete || m_problem != parse_problem::None)
        return 0;
    m_begun = true;
    if (!m_hasHeader && hasFoldedLine(bytes)) {
        m_problem = parse_problem::Malformed;
        return 0;
    }
    const std::size_t used =
        http_parser_execute(&m_parser, &parserCallbacks(), bytes.data(), bytes.size());
    const bool paused = HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED;
    if (m_problem != parse_problem::None)
        return used;
    const bool failed = !paused && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK;
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW)
        m_problem = parse_problem::HeaderTooLarge;
    else if (HTTP_PARSER_ERRNO(&m_parser) == HPE_INVALID_METHOD && namesMethod(bytes))
        m_problem = parse_problem::UnknownMethod;
    else if (failed || m_parser.upgrade != 0)
        m_problem = parse_problem::Malformed;
    return used;
}

bool message_parser::hasFoldedLine(std::string_view bytes)
{
    // Ends with the empty line after the header, so that a body is not searched.
    for (const char c : bytes) {
        if (m_lineLength == 0 && m_lines > 0 && (c == ' ' || c == '\t'))
            return true;
        if (c == '\n') {
            if (m_lineLength == 0 && m_lines > 0)
                return false;
            m_lineLength = 0;
            ++m_lines;
        } else if (c != '\r') {
            ++m_lineLength;
        }
    }
    return false;
}

void message_parser::readEnd()
{
    if (m_complete || m_problem != parse_problem::None || !m_hasHeader)
        return;
    http_parser_execute(&m_parser, &parserCallbacks(), nullptr, 0);
}

bool message_parser::expectsContinue() const
{
    const std::string *expectation = findField(m_fields, "Expect");
    return m_hasHeader && !m_complete && expectation != nullptr
        && equalsIgnoringCase(*expectation, "100-continue");
}

bool message_parser::announcesBody() const
{
    return m_hasHeader && (m_statedBody > 0 || (m_parser.flags & F_CHUNKED) != 0);
}

std::optional<std::uint64_t> message_parser::statedLength() const
{
    if (!m_hasHeader || (m_parser.flags & F_CONTENTLENGTH) == 0)
        return std::nullopt;
    return m_statedBody;
}

bool message_parser::isBodyOverLimit() const
{
    return (!m_complete && m_statedBody > m_limits.bodyBytes) || m_body.size() > m_limits.bodyBytes;
}

std::size_t message_parser::heldBytes() const
{
    // Strings grow to twice what they hold.
    return 2 * m_headerBytes + m_fields.capacity() * sizeof(header_list::value_type)
        + m_body.capacity();
}

raw_request message_parser::takeRequest()
{
    return {http_method_str(static_cast<http_method>(m_parser.method)), std::move(m_target),
            std::move(m_fields), std::move(m_body), m_keepAlive};
}

raw_response message_parser::takeResponse()
{
    return {{static_cast<int>(m_parser.status_code), std::move(m_fields), std::move(m_body)},
            m_keepAlive};
}

bool message_parser::reject(parse_problem problem)
{
    m_problem = problem;
    return false;
}

bool message_parser::countHeader(std::size_t size)
{
    m_headerBytes += size;
    return m_headerBytes <= m_limits.headerBytes || reject(parse_problem::HeaderTooLarge);
}

int message_parser::onUrl(http_parser *parser, const char *at, std::size_t size)
{
    message_parser *self = ownerOf(parser);
    if (!self->countHeader(size))
        return stopParsing;
    self->m_target.append(at, size);
    return 0;
}

int message_parser::onFieldName(http_parser *parser, const char *at, std::size_t size)
{
    message_parser *self = ownerOf(parser);
    // Trailers come after the header and are dropped.
    if (self->m_hasHeader)
        return 0;
    if (!self->countHeader(size))
        return stopParsing;
    if (std::exchange(self->m_lastWasValue, false))
        self->m_fields.emplace_back();
    self->m_fields.back().first.append(at, size);
    return 0;
}

int message_parser::onFieldValue(http_parser *parser, const char *at, std::size_t size)
{
    message_parser *self = ownerOf(parser);
    if (self->m_hasHeader)
        return 0;
    if (!self->countHeader(size))
        return stopParsing;
    self->m_lastWasValue = true;
    self->m_fields.back().second.append(at, size);
    return 0;
}

void message_parser::trimValues()
{
    for (auto &[name, value] : m_fields)
        value = std::string(trimmed(value));
}

bool message_parser::isFramingAmbiguous() const
{
    int hosts = 0;
    int lengths = 0;
    int codings = 0;
    for (const auto &[name, value] : m_fields) {
        if (!isToken(name) || hasControlCharacter(value))
            return true;
        if (equalsIgnoringCase(name, "host"))
            ++hosts;
        else if (equalsIgnoringCase(name, "content-length")) {
            ++lengths;
            if (!isDigits(value))
                return true;
        } else if (equalsIgnoringCase(name, "transfer-encoding")) {
            ++codings;
            if (!equalsIgnoringCase(value, "chunked"))
                return true;
        }
    }
    const bool isRequest = m_kind == message_kind::Request;
    const bool missesHost =
        isRequest && hosts == 0 && (m_parser.http_major > 1 || m_parser.http_minor > 0);
    return hosts > 1 || missesHost || lengths > 1 || codings > 1 || (lengths > 0 && codings > 0);
}

int message_parser::onHeaderEnd(http_parser *parser)
{
    message_parser *self = ownerOf(parser);
    self->m_hasHeader = true;
    self->trimValues();
    if (self->isFramingAmbiguous()) {
        self->reject(parse_problem::Malformed);
        return stopParsing;
    }
    const bool hasLength = (parser->flags & F_CONTENTLENGTH) != 0;
    self->m_statedBody = hasLength ? parser->content_length : 0;
    if (hasLength && parser->content_length > self->m_limits.bodyBytes && !self->m_acceptsAnyBody) {
        self->reject(parse_problem::BodyTooLarge);
        return stopParsing;
    }
    return self->m_answersHead ? skipBody : 0;
}

void message_parser::reserveBody(std::size_t size)
{
    if (size <= m_body.capacity())
        return;
    std::size_t enough = std::max(size, 2 * m_body.capacity());
    // A longer body is taken in pieces.
    if (m_statedBody >= size && m_statedBody <= m_limits.bodyBytes)
        enough = std::min<std::uint64_t>(enough, m_statedBody);
    m_body.reserve(enough);
}

int message_parser::onBody(http_parser *parser, const char *at, std::size_t size)
{
    message_parser *self = ownerOf(parser);
    if (self->m_body.size() + size > self->m_limits.bodyBytes && !self->m_acceptsAnyBody) {
        self->reject(parse_problem::BodyTooLarge);
        return stopParsing;
    }
    self->reserveBody(self->m_body.size() + size);
    self->m_body.append(at, size);
    return 0;
}

int message_parser::onMessageEnd(http_parser *parser)
{
    message_parser *self = ownerOf(parser);
    self->m_complete = true;
    self->m_keepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace waxwing::http
