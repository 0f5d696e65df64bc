#include "membership/gossip_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/stubs/logging.h>
#include <peer.pb.h>

#include <iostream>
#include <random>

namespace waxwing {
namespace {

int printedLines = 0;

void countLine(google::protobuf::LogLevel /*level*/, const char * /*file*/, int /*line*/,
               const std::string & /*text*/)
{
    ++printedLines;
}

gossip_message wholeMessage()
{
    const member self{{"h1"}, {"z"}, {"127.0.0.1", 1}, {"127.0.0.1", 2}, 7, member_state::Leaving,
                      9};
    return {gossip_message::message_kind::IndirectProbe,
            self,
            5,
            6,
            {"h2"},
            {self},
            {{fact_kind::RequestQuarantined, "x", {"h1"}, 3, 4, std::chrono::milliseconds(50)}}};
}

/// Message with long names and large numbers.
gossip_message quotaMessage(gossip_message::message_kind kind, std::size_t entries)
{
    gossip_message message;
    message.kind = kind;
    message.sender = {{std::string(64, 'h')},
                      {std::string(32, 'z')},
                      {"255.255.255.255", 65535},
                      {"255.255.255.255", 65535},
                      1ULL << 42U,
                      member_state::Suspect,
                      1ULL << 42U,
                      100000};
    message.quota = {1ULL << 40U, 1ULL << 42U, 1ULL << 60U, ~0ULL, true, {}};
    for (std::size_t i = 0; i < entries; ++i)
        message.quota.entries.push_back(
            {~0ULL - i, 1ULL << 40U, 1ULL << 40U, 1U << 20U, 1U << 20U, 1ULL << 40U, 1ULL << 30U,
             true, std::chrono::milliseconds(5000), std::chrono::milliseconds(5000)});
    return message;
}

/// Message with large numbers.
gossip_message observationMessage(std::size_t count)
{
    gossip_message message = quotaMessage(gossip_message::message_kind::ServerObservations, 0);
    message.quota = {};
    message.probe = 1ULL << 40U;
    for (std::size_t i = 0; i < count; ++i)
        message.observations.push_back({~0ULL - i, 10000, std::chrono::milliseconds(10000)});
    return message;
}

} // namespace

class gossip_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gossip_codec_test);
    CPPUNIT_TEST(roundTripsWholeMessage);
    CPPUNIT_TEST(refusesFieldsOutOfRange);
    CPPUNIT_TEST(roundTripsQuotaMessages);
    CPPUNIT_TEST(largestQuotaMessageFitsIntoOneDatagram);
    CPPUNIT_TEST(refusesTooManyQuotaEntries);
    CPPUNIT_TEST(roundTripsObservations);
    CPPUNIT_TEST(largestObservationsFitIntoOneDatagram);
    CPPUNIT_TEST(refusesTooManyObservations);
    CPPUNIT_TEST(survivesDamagedDatagrams);
    CPPUNIT_TEST(printsNothingForInvalidUtf8);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields that are lost in encoding or decoding.
    void roundTripsWholeMessage()
    {
        const auto decoded = decodeGossip(encodeGossip(wholeMessage()));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(*decoded == wholeMessage());
    }

    /// Guards against enumerators and ports outside of their range in the membership state.
    void refusesFieldsOutOfRange()
    {
        using edit = void (*)(wire::Gossip &);
        for (const edit change : std::initializer_list<edit>{
                 [](auto &message) { message.set_kind(8); },
                 [](auto &message) { message.clear_sender(); },
                 [](auto &message) { message.mutable_sender()->set_state(4); },
                 [](auto &message) { message.mutable_sender()->mutable_peer()->set_port(65536); },
                 [](auto &message) { message.mutable_sender()->mutable_peer()->set_port(0); },
                 [](auto &message) { message.mutable_updates(0)->clear_host(); },
                 [](auto &message) {
                     message.mutable_updates(0)->mutable_gossip()->set_address("a.example");
                 },
                 [](auto &message) { message.mutable_facts(0)->set_kind(3); },
                 [](auto &message) { message.mutable_facts(0)->set_valid_for_ms(UINT64_MAX); }}) {
            wire::Gossip message;
            CPPUNIT_ASSERT(message.ParseFromString(encodeGossip(wholeMessage())));
            change(message);
            CPPUNIT_ASSERT(!decodeGossip(message.SerializeAsString()).has_value());
        }
        CPPUNIT_ASSERT(!decodeGossip(std::string(maxDatagramBytes + 1, '\0')).has_value());
    }

    /// Guards against quota fields that are lost in encoding or decoding, and against a changed
    /// number of their kinds, which hosts of other builds have to agree on.
    void roundTripsQuotaMessages()
    {
        for (const auto kind : {gossip_message::message_kind::QuotaReport,
                                gossip_message::message_kind::QuotaAnswer}) {
            const gossip_message message = quotaMessage(kind, 2);
            const auto decoded = decodeGossip(encodeGossip(message));
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(*decoded == message);
        }
        CPPUNIT_ASSERT_EQUAL(5, static_cast<int>(gossip_message::message_kind::QuotaReport));
        CPPUNIT_ASSERT_EQUAL(6, static_cast<int>(gossip_message::message_kind::QuotaAnswer));
    }

    /// Guards against messages that the gossip socket does not send.
    void largestQuotaMessageFitsIntoOneDatagram()
    {
        const gossip_message message =
            quotaMessage(gossip_message::message_kind::QuotaAnswer, maxQuotaEntries);
        CPPUNIT_ASSERT(encodeGossip(message).size() <= maxDatagramBytes);
    }

    /// Guards against memory and time spent on datagrams that no host sends.
    void refusesTooManyQuotaEntries()
    {
        const gossip_message message =
            quotaMessage(gossip_message::message_kind::QuotaReport, maxQuotaEntries + 1);
        CPPUNIT_ASSERT(!decodeGossip(encodeGossip(message)).has_value());
    }

    /// Guards against fields of observations that are lost in encoding or decoding, and against a
    /// changed number of their kind, which hosts of other builds have to agree on.
    void roundTripsObservations()
    {
        const gossip_message message = observationMessage(2);
        const auto decoded = decodeGossip(encodeGossip(message));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(*decoded == message);
        CPPUNIT_ASSERT_EQUAL(7, static_cast<int>(message.kind));
    }

    /// Guards against observations that the gossip socket does not send.
    void largestObservationsFitIntoOneDatagram()
    {
        CPPUNIT_ASSERT(encodeGossip(observationMessage(maxServerObservations)).size()
                       <= maxDatagramBytes);
    }

    /// Guards against memory and time spent on datagrams that no host sends.
    void refusesTooManyObservations()
    {
        const gossip_message message = observationMessage(maxServerObservations + 1);
        CPPUNIT_ASSERT(!decodeGossip(encodeGossip(message)).has_value());
    }

    /// Guards against crashes on truncated and damaged datagrams.
    void survivesDamagedDatagrams()
    {
        const std::string whole = encodeGossip(wholeMessage());
        for (std::size_t size = 0; size < whole.size(); ++size)
            (void)decodeGossip(whole.substr(0, size));
        constexpr unsigned seed = 20261203;
        std::cout << " seed " << seed << ' ';
        std::mt19937 random(seed);
        for (int round = 0; round < 20000; ++round) {
            std::string damaged = whole;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            (void)decodeGossip(damaged);
        }
        CPPUNIT_ASSERT(!decodeGossip("").has_value());
    }

    /// Guards against datagrams that make protobuf write its own messages to standard error.
    void printsNothingForInvalidUtf8()
    {
        std::string damaged = encodeGossip(wholeMessage());
        const auto text = damaged.find("h2");
        CPPUNIT_ASSERT(text != std::string::npos);
        damaged[text] = '\xff';
        printedLines = 0;
        auto *previous = google::protobuf::SetLogHandler(&countLine);
        const auto decoded = decodeGossip(damaged);
        // Verifies that the handler captures messages of protobuf outside of the codec.
        wire::Gossip parsed;
        const int linesOfCodec = printedLines;
        const bool isParsed = parsed.ParseFromString(damaged);
        google::protobuf::SetLogHandler(previous);
        CPPUNIT_ASSERT(!decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(0, linesOfCodec);
        CPPUNIT_ASSERT(!isParsed);
        CPPUNIT_ASSERT(printedLines > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_codec_test);

} // namespace waxwing
