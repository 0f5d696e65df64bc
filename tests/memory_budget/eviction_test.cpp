#include "memory_budget/eviction.h"

#include "memory_budget/progress_meter.h"
#include "support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace waxwing {
namespace {

using namespace std::chrono_literals;
using numbers = std::vector<std::uint64_t>;

class eviction_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(eviction_test);
    CPPUNIT_TEST(stalledSendersGoFirst);
    CPPUNIT_TEST(slowSendersOfLittleAreKept);
    CPPUNIT_TEST(equalShareIsNeverEnded);
    CPPUNIT_TEST(soundSenderOutlivesStalledOnes);
    CPPUNIT_TEST(rateFallsWithTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void stalledSendersGoFirst()
    {
        CPPUNIT_ASSERT(chooseEvictions({{1, 1000, 1e6}, {2, 1000, 0}, {3, 1000, 100}}, 500)
                       == numbers{2});
        CPPUNIT_ASSERT(chooseEvictions({{1, 1000, 1e6}, {2, 1000, 0}, {3, 1000, 100}}, 1500)
                       == (numbers{2, 3}));
        CPPUNIT_ASSERT(chooseEvictions({}, 500).empty());
    }

    /// Guards against callers with small requests who pay for those with large ones.
    void slowSendersOfLittleAreKept()
    {
        CPPUNIT_ASSERT(chooseEvictions({{1, 100, 0}, {2, 9000, 1e6}}, 1000) == numbers{2});
    }

    /// Random holders: enough is released, and never by the end of one who holds no more than an
    /// equal share of what is left.
    void equalShareIsNeverEnded()
    {
        std::mt19937 random(1);
        for (int round = 0; round < 2000; ++round) {
            std::vector<eviction_candidate> candidates;
            std::map<std::uint64_t, std::size_t> held;
            std::size_t all = 0;
            for (std::uint64_t i = 0; i < 1 + random() % 20; ++i) {
                candidates.push_back({i, random() % 1000, static_cast<double>(random() % 1000)});
                held[i] = candidates.back().held;
                all += candidates.back().held;
            }
            const std::size_t bytes = random() % (all + 1);
            const std::size_t share = (all - bytes) / candidates.size();
            std::size_t released = 0;
            for (const std::uint64_t number : chooseEvictions(candidates, bytes)) {
                CPPUNIT_ASSERT(held.at(number) > share);
                released += held.at(number);
            }
            CPPUNIT_ASSERT(released >= bytes);
        }
    }

    /// In virtual time: 1,000 senders of 250,000 bytes stall one after the other in 40 MB, and one
    /// on a slow link keeps sending.
    void soundSenderOutlivesStalledOnes()
    {
        constexpr std::size_t room = 40'000'000;
        constexpr std::size_t body = 250'000;
        struct sender
        {
            std::size_t held = 0;
            progress_meter meter;
        };
        std::map<std::uint64_t, sender> senders;
        for (std::uint64_t number = 1; number <= 1000; ++number) {
            m_time.at += 50ms;
            senders[number].held = body;
            senders[number].meter.add(body, m_time.at);
            // 30 kB a second, and whole after 8 s.
            sender &sound = senders[0];
            sound.held = sound.held >= body ? 0 : sound.held + 1500;
            sound.meter.add(1500, m_time.at);
            std::vector<eviction_candidate> candidates;
            std::size_t all = 0;
            for (const auto &[each, state] : senders) {
                candidates.push_back({each, state.held, state.meter.rate(m_time.at)});
                all += state.held;
            }
            if (all <= room)
                continue;
            for (const std::uint64_t ended : chooseEvictions(std::move(candidates), all - room)) {
                CPPUNIT_ASSERT(ended != 0);
                senders.erase(ended);
            }
        }
    }

    void rateFallsWithTime()
    {
        progress_meter meter;
        CPPUNIT_ASSERT_EQUAL(0.0, meter.rate(m_time.at));
        for (int i = 0; i < 200; ++i) {
            m_time.at += 100ms;
            meter.add(1000, m_time.at);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10'000, meter.rate(m_time.at), 500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, meter.rate(m_time.at + 20s), 1);
    }

private:
    manual_clock m_time;
};

CPPUNIT_TEST_SUITE_REGISTRATION(eviction_test);

} // namespace
} // namespace waxwing
