#pragma once

#include "http/raw_message.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace waxwing::http {

/// Largest accepted parts of a message.
struct message_limits
{
    /// Start line and header fields, in bytes.
    std::size_t headerBytes = std::size_t{16} * 1024;
    /// Body, in bytes.
    std::size_t bodyBytes = std::size_t{256} * 1024;

    bool operator==(const message_limits &) const = default;
};

/// Why a message was rejected.
enum class parse_problem {
    /// Not rejected.
    None,
    /// Not well-formed, or framed in a way that two parsers may read differently.
    Malformed,
    /// The start line names a method that the parser does not know.
    UnknownMethod,
    /// The header fields are larger than allowed.
    HeaderTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
};

/// Reads HTTP/1 messages from a byte stream, one at a time.
///
/// Framing that two parsers may read differently is rejected: repeated or signed lengths, unknown
/// transfer codings, space before a colon, folded lines, more than one `Host`.
class message_parser
{
public:
    /// Which messages the stream holds.
    enum class message_kind { Request, Response };

    message_parser(message_kind kind, message_limits limits);

    /// Changes the limits of messages that begin later.
    void setLimits(message_limits limits) { m_limits = limits; }
    /// Reads bytes up to the end of the current message. Returns the number of bytes read; fewer
    /// than given if the message is complete or rejected.
    std::size_t read(std::string_view bytes);
    /// The stream ended; completes a response that has no length.
    void readEnd();
    /// Forgets the message and expects the next one. The response to a `HEAD` request has no body.
    void restart(bool answersHead = false);
    /// Accepts the message whatever the size of its body, which is then taken in pieces.
    void acceptAnyBody() { m_acceptsAnyBody = true; }
    /// Takes what has arrived of the body. Its length is not limited from then on.
    std::string takeBodySoFar() { return std::exchange(m_body, {}); }

    /// Whether the message is whole.
    bool isComplete() const { return m_complete; }
    /// Whether any byte of the message has arrived.
    bool hasBegun() const { return m_begun; }
    /// Whether the header fields are whole.
    bool hasHeader() const { return m_hasHeader; }
    /// Why the message was rejected.
    parse_problem problem() const { return m_problem; }
    /// Whether the header fields announce a body.
    bool announcesBody() const;
    /// Whether the body is longer than the limit, as far as is known.
    bool isBodyOverLimit() const;
    /// Length of the body that the header states; empty if it states none.
    std::optional<std::uint64_t> statedLength() const;
    /// Status of a response whose header is whole.
    int status() const { return static_cast<int>(m_parser.status_code); }
    /// Header fields, once they are whole.
    const header_list &fields() const { return m_fields; }
    /// Whether the sender of a request understands a body in chunks.
    bool understandsChunks() const { return m_parser.http_major > 1 || m_parser.http_minor > 0; }
    /// Bytes of the body that have arrived and were not taken.
    std::size_t bodyBytes() const { return m_body.size(); }
    /// Memory that the message takes so far.
    std::size_t heldBytes() const;
    /// Whether the sender waits for `100 Continue`.
    bool expectsContinue() const;

    /// The complete request; the parser has to be restarted after that.
    raw_request takeRequest();
    /// The complete response; the parser has to be restarted after that.
    raw_response takeResponse();

private:
    static int onUrl(http_parser *parser, const char *at, std::size_t size);
    static int onFieldName(http_parser *parser, const char *at, std::size_t size);
    static int onFieldValue(http_parser *parser, const char *at, std::size_t size);
    static int onHeaderEnd(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onMessageEnd(http_parser *parser);
    static const http_parser_settings &parserCallbacks();

    bool reject(parse_problem problem);
    bool hasFoldedLine(std::string_view bytes);
    bool countHeader(std::size_t size);
    /// Makes room in the body for `size` bytes in all, and no more than the header states.
    void reserveBody(std::size_t size);
    bool isFramingAmbiguous() const;
    void trimValues();

    message_kind m_kind;
    message_limits m_limits;
    http_parser m_parser{};
    std::string m_target;
    header_list m_fields;
    std::string m_body;
    std::size_t m_headerBytes = 0;
    /// Length of the body that the header states; 0 if it states none.
    std::uint64_t m_statedBody = 0;
    /// Length of the header line that is being read, and number of the lines before it.
    std::size_t m_lineLength = 0;
    std::size_t m_lines = 0;
    bool m_lastWasValue = true;
    bool m_answersHead = false;
    bool m_acceptsAnyBody = false;
    bool m_begun = false;
    bool m_hasHeader = false;
    bool m_complete = false;
    bool m_keepAlive = false;
    parse_problem m_problem = parse_problem::None;
};

} // namespace waxwing::http
