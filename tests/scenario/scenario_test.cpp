#include "scenario/scenario.h"
#include "scenario/scenario_world.h"

#include <cppunit/TestCaller.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace waxwing {
namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Test that runs one scenario file and checks its stated outcome.
class scenario_file_test : public CppUnit::TestCase
{
public:
    explicit scenario_file_test(std::filesystem::path path)
        : CppUnit::TestCase("scenario::" + path.stem().string()), m_path(std::move(path))
    { }

    void runTest() override
    {
        const auto script = scenario::parse(readFile(m_path));
        CPPUNIT_ASSERT_MESSAGE(m_path.string() + ": " + script.status().ToString(), script.ok());
        const auto problems = checkExpectations(*script, scenario_world(*script).run());
        std::string text;
        for (const auto &problem : problems)
            text += "\n  " + problem;
        CPPUNIT_ASSERT_MESSAGE(script->name + " (seed " + std::to_string(script->seed)
                                   + "):" + text,
                               problems.empty());
    }

private:
    std::filesystem::path m_path;
};

} // namespace

class scenario_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scenario_test);
    CPPUNIT_TEST(refusesUnknownFields);
    CPPUNIT_TEST(repeatsExactly);
    CPPUNIT_TEST_SUITE_ADD_CUSTOM_TESTS(addScenarioFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a misspelt field that leaves a scenario without its fault.
    void refusesUnknownFields()
    {
        const auto parsed = scenario::parse("scenario: x\nsteps:\n  - {do: crash, tos: a}\n");
        CPPUNIT_ASSERT(!parsed.ok());
        CPPUNIT_ASSERT(parsed.status().message().find("line 3: unknown field tos")
                       != std::string_view::npos);
    }

    /// Guards against hidden inputs, such as hash order or the real clock, in a reducer.
    void repeatsExactly()
    {
        const auto script = scenario::parse(
            readFile(std::string(WAXWING_TESTS_DIR) + "/scenarios/replica_lost.yaml"));
        CPPUNIT_ASSERT(script.ok());
        CPPUNIT_ASSERT(scenario_world(*script).run() == scenario_world(*script).run());
    }

    static void addScenarioFiles(TestSuiteBuilderContextType &context)
    {
        std::vector<std::filesystem::path> files;
        for (const auto &entry :
             std::filesystem::directory_iterator(std::string(WAXWING_TESTS_DIR) + "/scenarios"))
            files.push_back(entry.path());
        std::sort(files.begin(), files.end());
        for (const auto &file : files)
            context.addTest(new scenario_file_test(file));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scenario_test);

} // namespace waxwing
