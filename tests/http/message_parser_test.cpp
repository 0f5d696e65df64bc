#include "http/message_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace waxwing::http {
namespace {

using message_kind = message_parser::message_kind;

constexpr message_limits smallLimits{200, 50};

parse_problem problemOf(const std::string &bytes)
{
    message_parser parser(message_kind::Request, smallLimits);
    parser.read(bytes);
    return parser.problem();
}

class message_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_parser_test);
    CPPUNIT_TEST(readsARequestInAnyPieces);
    CPPUNIT_TEST(rejectsFramingThatParsersReadDifferently);
    CPPUNIT_TEST(rejectsWhatIsTooLarge);
    CPPUNIT_TEST(stopsAtTheEndOfTheMessage);
    CPPUNIT_TEST(dropsTrailers);
    CPPUNIT_TEST(completesAResponseWithoutLengthAtTheEnd);
    CPPUNIT_TEST(doesNotCompleteATruncatedResponse);
    CPPUNIT_TEST(expectsNoBodyInTheAnswerToHead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against state that depends on how the network splits a message.
    void readsARequestInAnyPieces()
    {
        const std::string bytes = "POST /a//b/?q=%2f HTTP/1.1\r\nHost: h.example:80\r\n"
                                  "X-Empty:\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
        for (std::size_t size = 1; size <= bytes.size(); ++size) {
            message_parser parser(message_kind::Request, smallLimits);
            for (std::size_t at = 0; at < bytes.size(); at += size)
                CPPUNIT_ASSERT_EQUAL(std::min(size, bytes.size() - at),
                                     parser.read(std::string_view(bytes).substr(at, size)));
            CPPUNIT_ASSERT(parser.isComplete());
            const raw_request request = parser.takeRequest();
            CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
            CPPUNIT_ASSERT_EQUAL(std::string("/a//b/?q=%2f"), request.target);
            CPPUNIT_ASSERT_EQUAL(std::string("abcde"), request.body);
            CPPUNIT_ASSERT_EQUAL(std::string("h.example:80"), *findField(request.headers, "host"));
            CPPUNIT_ASSERT_EQUAL(std::string(), *findField(request.headers, "x-empty"));
            CPPUNIT_ASSERT(request.keepAlive);
        }
    }

    /// Guards against requests smuggled past the route of their connection.
    void rejectsFramingThatParsersReadDifferently()
    {
        const std::string begin = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
        const std::vector<std::string> ambiguous{
            begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            begin + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
            begin + "Content-Length: +2\r\n\r\nab",
            begin + "Content-Length: 0x2\r\n\r\nab",
            begin + "Content-Length: 1, 1\r\n\r\na",
            begin + "Content-Length : 2\r\n\r\nab",
            begin + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            begin + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            begin + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
            begin + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            begin + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            begin + "Host: other\r\n\r\n",
            begin + "X-Folded: a\r\n b\r\n\r\n",
            begin + "X-Folded: a\r\n\tb\r\n\r\n",
            begin + " X-Early: a\r\n\r\n",
            begin + "X-Control: a\x01z\r\n\r\n",
            begin + "X(y): a\r\n\r\n",
            "GET /a/ HTTP/1.1\r\n\r\n",
            "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
            "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
            "GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
            "garbage\r\n\r\n",
        };
        for (const std::string &bytes : ambiguous)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, static_cast<int>(parse_problem::Malformed),
                                         static_cast<int>(problemOf(bytes)));
    }

    /// Guards against unbounded memory for one connection.
    void rejectsWhatIsTooLarge()
    {
        const std::string begin = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
        CPPUNIT_ASSERT(parse_problem::HeaderTooLarge
                       == problemOf(begin + "X: " + std::string(300, 'x')));
        CPPUNIT_ASSERT(parse_problem::HeaderTooLarge == problemOf("GET /" + std::string(300, 'x')));
        CPPUNIT_ASSERT(parse_problem::BodyTooLarge
                       == problemOf(begin + "Content-Length: 51\r\n\r\n"));
        CPPUNIT_ASSERT(parse_problem::BodyTooLarge
                       == problemOf(begin + "Transfer-Encoding: chunked\r\n\r\n33\r\n"
                                    + std::string(51, 'x')));
        CPPUNIT_ASSERT(parse_problem::None
                       == problemOf(begin + "Content-Length: 50\r\n\r\n" + std::string(50, 'x')));
    }

    /// Guards against bytes of the next message being taken for this one.
    void stopsAtTheEndOfTheMessage()
    {
        const std::string first = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
        const std::string chunked =
            "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        const std::string get = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
        for (const std::string &message : {first, chunked, get}) {
            message_parser parser(message_kind::Request, smallLimits);
            CPPUNIT_ASSERT_EQUAL(message.size(), parser.read(message + get));
            CPPUNIT_ASSERT(parser.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, parser.read(get));
            parser.takeRequest();
            parser.restart();
            CPPUNIT_ASSERT_EQUAL(get.size(), parser.read(get));
            CPPUNIT_ASSERT(parser.isComplete());
        }
    }

    /// Guards against trailers that replace checked header fields.
    void dropsTrailers()
    {
        message_parser parser(message_kind::Request, smallLimits);
        parser.read("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\r\na\r\n0\r\nHost: other\r\nX-Late: 1\r\n\r\n");
        CPPUNIT_ASSERT(parser.isComplete());
        const raw_request request = parser.takeRequest();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), request.body);
        CPPUNIT_ASSERT(findField(request.headers, "X-Late") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), *findField(request.headers, "Host"));
    }

    /// Guards against losing answers of servers that end them with their connection.
    void completesAResponseWithoutLengthAtTheEnd()
    {
        message_parser parser(message_kind::Response, smallLimits);
        parser.read("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
        CPPUNIT_ASSERT(!parser.isComplete());
        parser.readEnd();
        CPPUNIT_ASSERT(parser.isComplete());
        const raw_response response = parser.takeResponse();
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), response.content.body);
        CPPUNIT_ASSERT(!response.keepAlive);
    }

    /// Guards against half an answer that looks whole.
    void doesNotCompleteATruncatedResponse()
    {
        for (const std::string &bytes : std::vector<std::string>{
                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 200 OK\r\nContent-Le",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", ""}) {
            message_parser parser(message_kind::Response, smallLimits);
            parser.read(bytes);
            parser.readEnd();
            CPPUNIT_ASSERT_MESSAGE(bytes, !parser.isComplete());
        }
    }

    /// Guards against waiting for a body that is never sent.
    void expectsNoBodyInTheAnswerToHead()
    {
        message_parser parser(message_kind::Response, smallLimits);
        parser.restart(true);
        parser.read("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        CPPUNIT_ASSERT(parser.isComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_parser_test);

} // namespace
} // namespace waxwing::http
