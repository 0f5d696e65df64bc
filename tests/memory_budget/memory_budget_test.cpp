#include "memory_budget/memory_budget.h"

#include "memory_budget/memory_hold.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <random>
#include <string>

namespace waxwing {
namespace {

/// Budget of 1000 bytes: 100 reserved for each use, and 500 at most.
memory_budget smallBudget()
{
    memory_budget_settings settings;
    settings.bytes = 1000;
    settings.shares.fill({0.1, 0.5});
    return *memory_budget::create(settings);
}

class memory_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(sharesThatCannotHoldAreRejected);
    CPPUNIT_TEST(useTakesWhatOthersLeave);
    CPPUNIT_TEST(reservedBytesAreAlwaysThere);
    CPPUNIT_TEST(lessValuableBytesMakeRoom);
    CPPUNIT_TEST(moreValuableBytesAreKept);
    CPPUNIT_TEST(countsReturnToZero);
    CPPUNIT_TEST(holdersThatObeyKeepWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesThatCannotHoldAreRejected()
    {
        memory_budget_settings settings;
        settings.shares.fill({0.3, 0.5});
        CPPUNIT_ASSERT(!memory_budget::create(settings).ok());
        settings.shares.fill({0.1, 0.05});
        CPPUNIT_ASSERT(!memory_budget::create(settings).ok());
        CPPUNIT_ASSERT(memory_budget::create({}).ok());
    }

    void useTakesWhatOthersLeave()
    {
        memory_budget budget = smallBudget();
        memory_hold servers(&budget, memory_use::Servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, budget.room(memory_use::Servers));
        CPPUNIT_ASSERT(servers.hold(500));
        CPPUNIT_ASSERT(!servers.hold(501));
        CPPUNIT_ASSERT(servers.hold(400));
        // 400 are held and 300 reserved for the others.
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, budget.room(memory_use::Callers));
        memory_hold callers(&budget, memory_use::Callers);
        CPPUNIT_ASSERT(callers.hold(300));
        CPPUNIT_ASSERT(!callers.hold(301));
    }

    /// Guards against one use that starves the others.
    void reservedBytesAreAlwaysThere()
    {
        memory_budget budget = smallBudget();
        memory_hold servers(&budget, memory_use::Servers);
        memory_hold store(&budget, memory_use::Store);
        servers.setHeld(900);
        store.setHeld(900);
        memory_hold callers(&budget, memory_use::Callers);
        CPPUNIT_ASSERT(callers.hold(100));
        CPPUNIT_ASSERT(!callers.hold(101));
    }

    /// Guards against answers that are lost while requests that were not begun are kept.
    void lessValuableBytesMakeRoom()
    {
        memory_budget budget = smallBudget();
        memory_hold callers(&budget, memory_use::Callers);
        memory_hold servers(&budget, memory_use::Servers);
        budget.addReclaimer(memory_use::Callers, [&callers](std::size_t bytes) {
            callers.setHeld(callers.held() - bytes);
        });
        CPPUNIT_ASSERT(callers.hold(500));
        CPPUNIT_ASSERT(servers.hold(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, callers.held());
    }

    /// Guards against new requests that end what has already run.
    void moreValuableBytesAreKept()
    {
        memory_budget budget = smallBudget();
        memory_hold callers(&budget, memory_use::Callers);
        memory_hold servers(&budget, memory_use::Servers);
        budget.addReclaimer(memory_use::Servers, [](std::size_t /*bytes*/) {
            CPPUNIT_FAIL("a response is ended for a request");
        });
        CPPUNIT_ASSERT(servers.hold(500));
        CPPUNIT_ASSERT(!callers.hold(400));
    }

    void countsReturnToZero()
    {
        memory_budget budget = smallBudget();
        {
            memory_hold callers(&budget, memory_use::Callers);
            callers.setHeld(70);
            callers.setHeld(30);
            CPPUNIT_ASSERT_EQUAL(std::size_t{30}, budget.held(memory_use::Callers));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.held());
    }

    /// Random holders of all uses, which let go when they are told: never more than the budget is
    /// held, no use is kept from its reserved bytes, and all bytes return.
    void holdersThatObeyKeepWithinTheBudget()
    {
        for (std::uint32_t seed = 1; seed <= 200; ++seed)
            playHolders(seed);
    }

private:
    static void playHolders(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        memory_budget budget = smallBudget();
        std::array<std::deque<std::unique_ptr<memory_hold>>, memoryUseCount> holders;
        for (const memory_use use : allMemoryUses) {
            auto &mine = holders[static_cast<std::size_t>(use)];
            budget.addReclaimer(use, [&mine](std::size_t bytes) {
                std::size_t released = 0;
                for (auto each = mine.begin(); each != mine.end() && released < bytes; ++each) {
                    released += (*each)->held();
                    (*each)->setHeld(0);
                }
            });
        }
        for (int step = 0; step < 500; ++step) {
            const memory_use use = allMemoryUses[random() % memoryUseCount];
            auto &mine = holders[static_cast<std::size_t>(use)];
            if (mine.size() > 8 || (!mine.empty() && random() % 4 == 0)) {
                mine.pop_front();
                continue;
            }
            mine.push_back(std::make_unique<memory_hold>(&budget, use));
            const std::size_t bytes = 1 + random() % 300;
            const std::size_t before = budget.held(use);
            const bool isReserved = before + bytes <= 100;
            const bool held = mine.back()->hold(bytes);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), held || !isReserved);
            if (!held)
                mine.back()->setHeld(0);
            std::size_t sum = 0;
            for (const auto &each : mine)
                sum += each->held();
            CPPUNIT_ASSERT_EQUAL(sum, budget.held(use));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), budget.held() <= 1000);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), budget.held(use) <= 500);
        }
        for (auto &mine : holders)
            mine.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.held());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

} // namespace
} // namespace waxwing
