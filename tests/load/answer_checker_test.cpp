#include "load/answer_checker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace waxwing {

class answer_checker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_checker_test);
    CPPUNIT_TEST(acceptsTheRightAnswer);
    CPPUNIT_TEST(findsHitsOfAnotherVersion);
    CPPUNIT_TEST(findsDoubledDocuments);
    CPPUNIT_TEST(findsOverstatedCoverage);
    CPPUNIT_TEST(findsUnreadableAnswers);
    CPPUNIT_TEST(namesPartialAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsTheRightAnswer()
    {
        const load_report report = check(makeAnswer(3));
        CPPUNIT_ASSERT_EQUAL(0U, report.wrong + report.doubled + report.partial);
    }

    /// Guards against a checker that takes a mixture of two snapshots for one.
    void findsHitsOfAnotherVersion()
    {
        auto answer = makeAnswer(3);
        answer["hits"] = makeAnswer(4)["hits"];
        CPPUNIT_ASSERT_EQUAL(1U, check(answer).wrong);
    }

    /// Guards against a document that stands twice, as with overlapping partitions.
    void findsDoubledDocuments()
    {
        auto answer = makeAnswer(3);
        answer["hits"][1] = answer["hits"][0];
        CPPUNIT_ASSERT_EQUAL(1U, check(answer).doubled);
    }

    /// Guards against an answer that counts a shard that it did not search.
    void findsOverstatedCoverage()
    {
        auto answer = makeAnswer(3);
        answer["coverage"]["missing_shards"] = {"s2"};
        CPPUNIT_ASSERT_EQUAL(1U, check(answer).wrong);
    }

    void findsUnreadableAnswers()
    {
        load_report report;
        answer_checker(makeDocument()).check(query(), R"({"hits":[)", latency, report);
        CPPUNIT_ASSERT_EQUAL(1U, report.wrong);
    }

    /// Guards against a partial answer that is only counted: without its missing shards and its
    /// time the cause cannot be found.
    void namesPartialAnswers()
    {
        auto answer = makeAnswer(3);
        answer["coverage"]["missing_shards"] = {"s2"};
        const load_report report = check(answer);
        CPPUNIT_ASSERT_EQUAL(1U, report.partial);
        const std::string expected =
            "desk: partial answer of version 3 after 4000 us, missing shards: s2";
        CPPUNIT_ASSERT_EQUAL(expected, report.problems.front());
    }

private:
    static constexpr std::chrono::microseconds latency{4000};

    static configuration makeDocument()
    {
        configuration document;
        document.services.push_back({{"desk"}, {{1, {{{"s1"}, 500, {}}, {{"s2"}, 700, {}}}}}, {}});
        return document;
    }

    static load_query query() { return {{"desk"}, "linocut", 10}; }

    static nlohmann::json makeAnswer(std::uint64_t version)
    {
        const standins::document_generator generator(makeDocument().services.front());
        nlohmann::json hits = nlohmann::json::array();
        for (const auto &found :
             generator.search(*generator.wholeRange(1), version, query().text, query().limit))
            hits.push_back({{"id", found.id}, {"score", found.score}});
        return {{"service", "desk"},
                {"snapshot", {{"partitioning", 1}, {"version", version}}},
                {"hits", hits},
                {"coverage",
                 {{"documents_searched", 1200},
                  {"documents_total", 1200},
                  {"ratio", 1.0},
                  {"whole", true},
                  {"missing_shards", nlohmann::json::array()}}},
                {"cursor", nullptr}};
    }

    static load_report check(const nlohmann::json &answer)
    {
        load_report report;
        answer_checker(makeDocument()).check(query(), answer.dump(), latency, report);
        return report;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_checker_test);

} // namespace waxwing
