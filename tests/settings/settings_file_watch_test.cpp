#include "settings/settings_file_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

namespace waxwing {
namespace {

class settings_file_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_file_watch_test);
    CPPUNIT_TEST(noticesEachChangeOnce);
    CPPUNIT_TEST(missingFileIsNoChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { std::filesystem::remove(m_path); }

    void noticesEachChangeOnce()
    {
        write(m_path, "a: 1\n");
        settings_file_watch watch(m_path);
        CPPUNIT_ASSERT(!watch.hasChanged());
        write(m_path, "a: 22\n");
        CPPUNIT_ASSERT(watch.hasChanged());
        CPPUNIT_ASSERT(!watch.hasChanged());
        // Replaced by another file, as the platform does it; with the same size.
        write(m_path + ".new", "a: 33\n");
        std::filesystem::rename(m_path + ".new", m_path);
        CPPUNIT_ASSERT(watch.hasChanged());
        CPPUNIT_ASSERT(!watch.hasChanged());
    }

    void missingFileIsNoChange()
    {
        settings_file_watch watch(m_path);
        CPPUNIT_ASSERT(!watch.hasChanged());
        write(m_path, "a: 1\n");
        CPPUNIT_ASSERT(watch.hasChanged());
        std::filesystem::remove(m_path);
        CPPUNIT_ASSERT(!watch.hasChanged());
    }

private:
    static void write(const std::string &path, const std::string &text)
    {
        std::ofstream(path) << text;
    }

    const std::string m_path = "/tmp/settings-watch-" + std::to_string(getpid()) + ".yaml";
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_file_watch_test);

} // namespace
} // namespace waxwing
