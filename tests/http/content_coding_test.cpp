#include "http/content_coding.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace waxwing::http {
namespace {

class content_coding_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(content_coding_test);
    CPPUNIT_TEST(bodiesAreRestored);
    CPPUNIT_TEST(damagedBodiesAreRefused);
    CPPUNIT_TEST(bodiesAboveTheLimitAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a body that is changed, in particular at the size of the output buffer.
    void bodiesAreRestored()
    {
        for (const std::size_t size : {0U, 1U, 65535U, 65536U, 65537U, 300000U}) {
            std::string body;
            for (std::size_t i = 0; body.size() < size; ++i)
                body += std::to_string(i * 7919);
            body.resize(size);
            const auto restored = inflated(deflated(body), size);
            CPPUNIT_ASSERT(restored.ok());
            CPPUNIT_ASSERT(*restored == body);
        }
    }

    /// Guards against a truncated or damaged body that is taken for a complete one.
    void damagedBodiesAreRefused()
    {
        const std::string coded = deflated(std::string(1000, 'a') + "b");
        for (std::size_t length = 0; length < coded.size(); ++length)
            CPPUNIT_ASSERT(!inflated(coded.substr(0, length), 2000).ok());
        CPPUNIT_ASSERT(!inflated(coded + "x", 2000).ok());
        CPPUNIT_ASSERT(!inflated("plain text", 2000).ok());
        std::string changed = coded;
        changed.back() = static_cast<char>(changed.back() ^ 1);
        CPPUNIT_ASSERT(!inflated(changed, 2000).ok());
    }

    /// Guards against memory exhaustion by a small body that decompresses to a large one.
    void bodiesAboveTheLimitAreRefused()
    {
        const std::string coded = deflated(std::string(1000000, 'a'));
        CPPUNIT_ASSERT(inflated(coded, 1000000).ok());
        CPPUNIT_ASSERT(!inflated(coded, 999999).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(content_coding_test);

} // namespace
} // namespace waxwing::http
