#include "standins/document_generator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace waxwing::standins {

class document_generator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_generator_test);
    CPPUNIT_TEST(shardsTogetherAnswerLikeTheWhole);
    CPPUNIT_TEST(pagesFollowEachOther);
    CPPUNIT_TEST(hitsDependOnSnapshotAndQuery);
    CPPUNIT_TEST_SUITE_END();

    const service m_service{{"svc"},
                            {{1, {{{"a"}, 500, {}}, {{"b"}, 301, {}}}},
                             {2, {{{"a"}, 200, {}}, {{"b"}, 200, {}}, {{"c"}, 401, {}}}}},
                            {}};
    const document_generator m_generator{m_service};

public:
    /// Guards against a checker that expects other hits than the shards return, and against ids
    /// that two shards share.
    void shardsTogetherAnswerLikeTheWhole()
    {
        for (const partitioning &division : m_service.partitionings) {
            std::vector<hit> merged;
            std::set<std::string> ids;
            for (const shard &part : division.shards) {
                const auto documents = m_generator.range(division.generation, part.id).value();
                CPPUNIT_ASSERT_EQUAL(part.documents, documents.count);
                for (const hit &found : m_generator.search(documents, 3, "q", 1000)) {
                    CPPUNIT_ASSERT(ids.insert(found.id).second);
                    merged.push_back(found);
                }
            }
            std::sort(merged.begin(), merged.end(), ranksBefore);
            CPPUNIT_ASSERT(merged.size() >= 100 && merged.size() <= 101);
            const auto whole = m_generator.wholeRange(division.generation).value();
            CPPUNIT_ASSERT(merged == m_generator.search(whole, 3, "q", 1000));
            // Both partitionings have the same documents.
            CPPUNIT_ASSERT(merged
                           == m_generator.search(m_generator.wholeRange(1).value(), 3, "q", 1000));
        }
        CPPUNIT_ASSERT(!m_generator.range(1, {"c"}).has_value());
        CPPUNIT_ASSERT(!m_generator.range(3, {"a"}).has_value());
    }

    /// Guards against pages that repeat or skip hits.
    void pagesFollowEachOther()
    {
        const auto whole = m_generator.wholeRange(1).value();
        const auto all = m_generator.search(whole, 1, "q", 1000);
        std::vector<hit> paged;
        std::optional<hit> last;
        for (;;) {
            const auto page = m_generator.search(whole, 1, "q", 7, last);
            if (page.empty())
                break;
            paged.insert(paged.end(), page.begin(), page.end());
            last = page.back();
        }
        CPPUNIT_ASSERT(paged == all);
    }

    /// Guards against answers mixed from two versions that look right.
    void hitsDependOnSnapshotAndQuery()
    {
        const auto whole = m_generator.wholeRange(1).value();
        const auto hits = m_generator.search(whole, 1, "q", 10);
        CPPUNIT_ASSERT(hits == m_generator.search(whole, 1, "q", 10));
        CPPUNIT_ASSERT(hits != m_generator.search(whole, 2, "q", 10));
        CPPUNIT_ASSERT(hits != m_generator.search(whole, 1, "r", 10));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_generator_test);

} // namespace waxwing::standins
