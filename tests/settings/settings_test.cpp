#include "entry/host_settings.h"
#include "settings/settings_file.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {
namespace {

const std::string minimal = "host: a\nzone: z\nplatform: 127.0.0.1:1\n"
                            "listen: {callers: 127.0.0.1:2, admin: 127.0.0.1:3,"
                            " peer: 127.0.0.1:4, gossip: 127.0.0.1:5}\n";

std::string errorOf(const std::string &text)
{
    return std::string(host_settings::parse(text, "s.yaml").status().message());
}

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(readsTheExample);
    CPPUNIT_TEST(reportsAllProblemsWithPlaces);
    CPPUNIT_TEST(refusesMalformedFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an example file that the binary refuses.
    void readsTheExample()
    {
        const std::string path = std::string(WAXWING_TESTS_DIR) + "/../examples/entry.yaml";
        const auto text = readSettingsFile(path);
        CPPUNIT_ASSERT(text.ok());
        const auto settings = host_settings::parse(*text, path);
        CPPUNIT_ASSERT_MESSAGE(std::string(settings.status().message()), settings.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("palermo-nord"), settings->state.zone.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->gossipSeeds.size());
        CPPUNIT_ASSERT(settings->callers.listen == settings->listen.callers);
        CPPUNIT_ASSERT_EQUAL(std::string(), errorOf(minimal));
    }

    /// Guards against problems that an operator learns of one at a time or without their place.
    void reportsAllProblemsWithPlaces()
    {
        const std::string error = errorOf("host: a\n"
                                          "zone: [z]\n"
                                          "listen: {callers: 127.0.0.1:2, admin: localhost:3}\n"
                                          "hots: b\n"
                                          "host: c\n"
                                          "log_level: loud\n"
                                          "platform: 127.0.0.1:1\n"
                                          "tuning:\n"
                                          "  stop_notice_ms: 3s\n"
                                          "  routing: {holder_share: 75}\n");
        for (const char *expected :
             {"s.yaml:2: zone: expected a text, found a list or mapping",
              "s.yaml:3: listen.admin: expected an endpoint a.b.c.d:port, found 'localhost:3'",
              "s.yaml:3: listen.peer: expected a value, found none", "s.yaml:4: hots: unknown key",
              "s.yaml:5: host: expected once, found again",
              "s.yaml:6: log_level: expected debug, info, warning or error, found 'loud'",
              "s.yaml:9: tuning.stop_notice_ms: expected a whole number from 0 to 3600000",
              "s.yaml:10: tuning.routing.holder_share: expected a number from 0 to 1, found '75'"})
            CPPUNIT_ASSERT_MESSAGE(error, error.find(expected) != std::string::npos);
    }

    /// Guards against crashes on files that are no settings at all.
    void refusesMalformedFiles()
    {
        // yaml-cpp places a value that is not there on the next line.
        CPPUNIT_ASSERT(errorOf("host: a\nzone:\nplatform: 127.0.0.1:1\n")
                           .find("s.yaml:2: zone: expected a text, found nothing")
                       != std::string::npos);
        for (const std::string &text : {std::string("host: [a\n"), std::string("- a\n- b\n"),
                                        std::string("text"), std::string("\xff\xfe\x00", 3),
                                        std::string(100000, '['), std::string("? {a: b}\n: c")})
            CPPUNIT_ASSERT(!errorOf(text).empty());
        CPPUNIT_ASSERT(errorOf("host: [a\n").starts_with("s.yaml:2: not valid YAML"));
        CPPUNIT_ASSERT(!errorOf("").empty());
        CPPUNIT_ASSERT(!readSettingsFile("/nonexistent/file").ok());
        CPPUNIT_ASSERT(!readSettingsFile("/").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace waxwing
