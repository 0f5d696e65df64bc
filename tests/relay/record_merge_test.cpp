#include "relay/record_merge.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace waxwing::relay {
namespace {

class record_merge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_merge_test);
    CPPUNIT_TEST(returnsGreatestRecordsOfAllParts);
    CPPUNIT_TEST(ignoresIncompleteRecordAtTheEndOfAPart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against signed byte comparison and lost duplicates: compares the result with a full
    /// sort of random records, which include bytes above 127 and equal records.
    void returnsGreatestRecordsOfAllParts()
    {
        random_engine random(7);
        for (int round = 0; round < 200; ++round) {
            std::vector<std::string> parts(1 + random(5));
            std::vector<std::string> records;
            for (std::string &part : parts) {
                for (std::uint32_t i = random(8); i > 0; --i) {
                    std::string record(recordBytes, 'x');
                    record[0] = static_cast<char>(random(256));
                    record[1] = static_cast<char>(random(2));
                    part += record;
                    records.push_back(record);
                }
            }
            std::sort(
                records.begin(), records.end(),
                [](const std::string &left, const std::string &right) {
                    return std::lexicographical_compare(
                        right.begin(), right.end(), left.begin(), left.end(), [](char a, char b) {
                            return static_cast<unsigned char>(a) < static_cast<unsigned char>(b);
                        });
                });
            const std::size_t count = random(12);
            std::string expected;
            for (std::size_t i = 0; i < std::min(count, records.size()); ++i)
                expected += records[i];
            CPPUNIT_ASSERT(expected == greatestRecords({parts.begin(), parts.end()}, count));
        }
    }

    /// Guards against reading past the end of a part whose size is not a multiple of the record
    /// size.
    void ignoresIncompleteRecordAtTheEndOfAPart()
    {
        const std::string whole(recordBytes, 'b');
        CPPUNIT_ASSERT_EQUAL(whole, greatestRecords({whole + "ccc", "zzz", ""}, 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_merge_test);

} // namespace
} // namespace waxwing::relay
