#include "relay_host/relay_host_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace waxwing::relay {
namespace {

class relay_host_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_host_settings_test);
    CPPUNIT_TEST(evacuationsAreWatchedOnlyIfSettingsSaySo);
    CPPUNIT_TEST(memoryIsLimited);
    CPPUNIT_TEST(observationsAreSharedOnlyIfSettingsSaySo);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts that read evacuations where the platform has none, and against a
    /// misspelt setting that leaves them unread.
    void evacuationsAreWatchedOnlyIfSettingsSaySo()
    {
        CPPUNIT_ASSERT(!read("")->reducerSettings.watchesEvacuations);
        CPPUNIT_ASSERT(read("evacuations:\n  watch: true\n")->reducerSettings.watchesEvacuations);
        CPPUNIT_ASSERT(!read("evacuations:\n  watch: false\n")->reducerSettings.watchesEvacuations);
        CPPUNIT_ASSERT(!read("evacuations:\n  wach: true\n").ok());
    }

    /// Guards against hosts that send datagrams which operators did not ask for, and against a
    /// misspelt setting that has no effect.
    void memoryIsLimited()
    {
        CPPUNIT_ASSERT(read("")->memory == memory_settings{});
        const auto limited = read("memory:\n  limit_mb: 160\n  buffered_answer_kb: 512\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{160} << 20U, limited->memory.limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{80} << 20U, limited->memory.budget().bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{512} << 10U, limited->memory.bufferedAnswer);
        CPPUNIT_ASSERT(!read("memory:\n  limit_mb: 0\n").ok());
        CPPUNIT_ASSERT(!read("memory:\n  limit: 160\n").ok());
    }

    void observationsAreSharedOnlyIfSettingsSaySo()
    {
        const auto isShared = [](const std::string &more) {
            return read(more)->reducerSettings.leaves.sharesObservations;
        };
        CPPUNIT_ASSERT(!isShared(""));
        CPPUNIT_ASSERT(isShared("balancing:\n  share_observations: true\n"));
        CPPUNIT_ASSERT(!isShared("balancing:\n  share_observations: false\n"));
        CPPUNIT_ASSERT(!read("balancing:\n  share_observation: true\n").ok());
    }

private:
    static absl::StatusOr<relay_host_settings> read(const std::string &more)
    {
        const std::string base = "host: h\nzone: z\nlisten:\n"
                                 "  callers: 127.0.0.1:1\n  ready: 127.0.0.1:2\n"
                                 "  metrics: 127.0.0.1:3\n  gossip: 127.0.0.1:4\n"
                                 "store: 127.0.0.1:5\n";
        return relay_host_settings::parse(base + more, "test.yaml");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_host_settings_test);

} // namespace
} // namespace waxwing::relay
