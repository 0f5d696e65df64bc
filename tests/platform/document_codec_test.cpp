#include "platform/document_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwing::platform {
namespace {

using nlohmann::json;

const char *const serverText =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"palermo-nord","version":"v1",
        "capacity":2,"state":"ready","coldRemainingMs":1500,"sequence":4,"born":1774195640050})";

const char *const routesText = R"({"version":7,"routes":[
    {"name":"r-all","host":"leno12.example","pathPrefix":"/nono601/no91/","type":"idempotent",
     "timeoutMs":600,"targetLatencyMs":100,"priority":2,"gather":["huvo11a","lohu93e"],
     "attempts":2,"topK":5,"minCoverage":0.75},
    {"name":"r-split","host":"hufi27.example","pathPrefix":"/a/","type":"non_idempotent",
     "timeoutMs":2500,"targetLatencyMs":400,"priority":1,"attempts":1,
     "targets":[{"service":"x","weight":3},{"service":"y","weight":1}]},
    {"name":"r-one","host":"hufi27.example","pathPrefix":"/goka902/","type":"idempotent",
     "timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"kafi81c","attempts":2}],
    "services":[{"name":"huvo11a","healthPath":"/health","maxConnections":25,"protocol":"h1",
                 "tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000}})";

class document_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_codec_test);
    CPPUNIT_TEST(validRegistrationIsParsed);
    CPPUNIT_TEST(malformedRegistrationIsRejected);
    CPPUNIT_TEST(validRouteDocumentIsParsed);
    CPPUNIT_TEST(malformedRouteDocumentIsRejected);
    CPPUNIT_TEST(problemsOfRoutesHaveAPlace);
    CPPUNIT_TEST(unreadableObjectsDoNotAffectOthers);
    CPPUNIT_TEST(objectsOfOtherWritersKeepTheirNames);
    CPPUNIT_TEST(changesAndRemovalsAreParsed);
    CPPUNIT_TEST(objectsThatAreNoJsonDoNotAffectOthers);
    CPPUNIT_TEST(evacuationNeedsOnlyAName);
    CPPUNIT_TEST(textOfObjectsIsKeptUnchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void validRegistrationIsParsed()
    {
        const auto server = readServer("i-7f3a91c2", parsed(json::parse(serverText)));
        CPPUNIT_ASSERT(server.ok());
        CPPUNIT_ASSERT(server->id == server_id{"i-7f3a91c2"});
        CPPUNIT_ASSERT(server->service == service_id{"huvo11a"});
        CPPUNIT_ASSERT(server->address == (endpoint{"10.128.0.9", 8080}));
        CPPUNIT_ASSERT_EQUAL(2U, server->slots);
        CPPUNIT_ASSERT(server->coldFor == std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1774195640050}, server->startedAt);
        CPPUNIT_ASSERT(!server->leaving);
        json leaving = json::parse(serverText);
        leaving["state"] = "draining";
        CPPUNIT_ASSERT(readServer("i", parsed(leaving))->leaving);
    }

    /// Guards against requests to addresses that no backend server registered: a registration with
    /// a missing or invalid field is rejected, and the message contains the name of the field.
    void malformedRegistrationIsRejected()
    {
        const json good = json::parse(serverText);
        for (const char *field : {"service", "address", "zone", "version", "capacity", "state",
                                  "coldRemainingMs", "sequence"}) {
            json missing = good;
            missing.erase(field);
            CPPUNIT_ASSERT(!readServer("i", parsed(missing)).ok());
            for (const json &wrong : {json(nullptr), json::array(), json(true), json::object()}) {
                json other = good;
                other[field] = wrong;
                const auto read = readServer("i", parsed(other));
                CPPUNIT_ASSERT(!read.ok());
                CPPUNIT_ASSERT(std::string(read.status().message()).find(field)
                               != std::string::npos);
            }
        }
        for (const auto &[field, value] :
             std::vector<std::pair<std::string, json>>{{"state", "gone"},
                                                       {"address", "nowhere"},
                                                       {"address", "10.0.0.1:99999"},
                                                       {"capacity", 0},
                                                       {"capacity", -1},
                                                       {"capacity", "2"},
                                                       {"capacity", 4294967298},
                                                       {"address", "10.0.0.1:0"},
                                                       {"address", "10.0.0.1:4294975376"},
                                                       {"sequence", -1},
                                                       {"born", "1"},
                                                       {"born", 1.5}}) {
            json other = good;
            other[field] = value;
            CPPUNIT_ASSERT_MESSAGE(field, !readServer("i", parsed(other)).ok());
        }
        CPPUNIT_ASSERT(!readServer("i", parsed(json("text"))).ok());
    }

    void validRouteDocumentIsParsed()
    {
        const auto document = readRoutes(parsed(json::parse(routesText)));
        CPPUNIT_ASSERT(document.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, document->version());
        const relay::route *all = document->find("leno12.example", "/nono601/no91/2f");
        CPPUNIT_ASSERT(all != nullptr && all->isFanOut());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, all->topRecords);
        CPPUNIT_ASSERT_EQUAL(0.75, all->minCoverage);
        CPPUNIT_ASSERT(all->callerTimeout == std::chrono::milliseconds(600));
        CPPUNIT_ASSERT(all->latencyTarget == std::chrono::milliseconds(100));
        const relay::route *split = document->find("hufi27.example", "/a/x");
        CPPUNIT_ASSERT(split->semantics == relay::execution_semantics::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, split->targets.size());
        CPPUNIT_ASSERT_EQUAL(3.0, split->targets[0].weight);
        const relay::route *one = document->find("hufi27.example", "/goka902/2f");
        CPPUNIT_ASSERT(one->targets[0].service == service_id{"kafi81c"});
        CPPUNIT_ASSERT_EQUAL(25U, document->services()[0].connectionLimit);
        CPPUNIT_ASSERT(document->limits().idleTimeout == std::chrono::milliseconds(15000));
    }

    void malformedRouteDocumentIsRejected()
    {
        const json good = json::parse(routesText);
        for (const char *field :
             {"name", "host", "pathPrefix", "type", "timeoutMs", "attempts", "gather", "topK"}) {
            json other = good;
            other["routes"][0][field] = json::object();
            const auto read = readRoutes(parsed(other));
            CPPUNIT_ASSERT_MESSAGE(field, absl::IsInvalidArgument(read.status()));
        }
        for (const char *field : {"version", "routes", "services", "limits"}) {
            json other = good;
            other[field] = "wrong";
            CPPUNIT_ASSERT_MESSAGE(field, !readRoutes(parsed(other)).ok());
        }
        // An unknown route type is treated as the stricter `AtMostOnce`.
        json unknown = good;
        unknown["routes"][2]["type"] = "keyed";
        CPPUNIT_ASSERT(readRoutes(parsed(unknown))->routes()[2].semantics
                       == relay::execution_semantics::AtMostOnce);
    }

    /// Guards against tools and hosts that disagree on what is wrong with a document.
    void problemsOfRoutesHaveAPlace()
    {
        json broken = json::parse(routesText);
        broken["routes"][1].erase("host");
        broken["routes"][2] = 17;
        broken["services"][0]["maxConnections"] = -1;
        broken["limits"]["maxBodyBytes"] = "x";
        broken["tenants"] = 1;
        std::vector<decoding_problem> problems;
        (void)readRouteContent(parsed(broken), problems);
        std::vector<std::string> pointers;
        pointers.reserve(problems.size());
        for (const decoding_problem &each : problems)
            pointers.push_back(each.pointer);
        const std::vector<std::string> expected{"/routes/1/host", "/routes/2",
                                                "/services/0/maxConnections", "/tenants",
                                                "/limits/maxBodyBytes"};
        CPPUNIT_ASSERT(pointers == expected);
        CPPUNIT_ASSERT_EQUAL(std::string(readRoutes(parsed(broken)).status().message()),
                             problems.front().reason);
        problems.clear();
        const route_content content = readRouteContent(parsed(json::parse(routesText)), problems);
        CPPUNIT_ASSERT(problems.empty());
        CPPUNIT_ASSERT(content.routes == readRoutes(parsed(json::parse(routesText)))->routes());
    }

    void unreadableObjectsDoNotAffectOthers()
    {
        const std::string body = std::string(R"({"items":[)")
            + R"({"meta":{"name":"i-1","revision":4},"spec":)" + serverText
            + R"(},{"meta":{"name":"i-2","revision":5},"spec":"forged"},)"
            + R"({"meta":{"name":"i-3","revision":"x"},"spec":{}},17],)"
            + R"("hasMore":true,"currentRev":530})";
        const auto answer = readStoreAnswer(relay::store_object_kind::Servers, body);
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT(answer->more);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, answer->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answer->objects.size());
        CPPUNIT_ASSERT(
            std::holds_alternative<relay::registered_server>(answer->objects[0].content));
        for (std::size_t i = 1; i < 4; ++i)
            CPPUNIT_ASSERT(
                std::holds_alternative<relay::unusable_object>(answer->objects[i].content));
        CPPUNIT_ASSERT(!readStoreAnswer(relay::store_object_kind::Servers, "{\"items\":[]}").ok());
        CPPUNIT_ASSERT(!readStoreAnswer(relay::store_object_kind::Servers, "{\"items\"").ok());
    }

    /// Guards against one object of another writer that hides the others, or that hides its own
    /// name so that lists do not continue behind it and watches do not say what changed.
    void objectsOfOtherWritersKeepTheirNames()
    {
        const std::string deep = std::string(100'000, '[') + "1" + std::string(100'000, ']');
        for (const std::string &spec :
             {deep, std::string(R"({"capacity":1e999})"),
              std::string(R"({"capacity":123456789012345678901234567890})"),
              std::string(R"({"service":"\ud83d"})"), std::string("{\"service\":\"s\xff\"}"),
              std::string("{\"service\":\"s\xc0\xaf\xed\xa0\x80\"}"),
              std::string("{\"service\":\"a\x01b\nc\"}"), std::string("{\"service\":\"a\0b\"}", 17),
              std::string(R"({"service":"\x"})"), std::string("\"\xf0\"")}) {
            const std::string odd = fmt::format(
                R"({{"meta":{{"name":"i-2","revision":5,"finalizers":[]}},"spec":{}}})", spec);
            const std::string good =
                fmt::format(R"({{"meta":{{"name":"i-1","revision":4}},"spec":{}}})", serverText);
            const std::string list =
                fmt::format(R"({{"items":[{},{}],"hasMore":true,"currentRev":530}})", good, odd);
            const std::string watch = fmt::format(
                R"({{"events":[{{"deleted":false,"object":{}}},{{"object":{},"deleted":false}}],)"
                R"("currentRev":530}})",
                odd, good);
            for (const auto &[body, oddIndex] : {std::pair(list, 1), std::pair(watch, 0)}) {
                const auto answer = readStoreAnswer(relay::store_object_kind::Servers, body);
                CPPUNIT_ASSERT_MESSAGE(body.substr(0, 200), answer.ok());
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer->objects.size());
                const auto &unreadable = answer->objects[static_cast<std::size_t>(oddIndex)];
                CPPUNIT_ASSERT(std::holds_alternative<relay::unusable_object>(unreadable.content));
                CPPUNIT_ASSERT_EQUAL(std::string("i-2"), unreadable.name);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, unreadable.revision);
                CPPUNIT_ASSERT(std::holds_alternative<relay::registered_server>(
                    answer->objects[static_cast<std::size_t>(1 - oddIndex)].content));
                // Hosts that read the store through this one get it as an object of that name.
                const auto passedOn = readStoreAnswer(
                    relay::store_object_kind::Servers,
                    fmt::format(R"({{"items":[{}],"currentRev":1}})", unreadable.text));
                CPPUNIT_ASSERT(passedOn.ok());
                CPPUNIT_ASSERT_EQUAL(std::string("i-2"), passedOn->objects.at(0).name);
            }
        }
    }

    void changesAndRemovalsAreParsed()
    {
        const std::string body = std::string(R"({"events":[{"deleted":false,"object":)")
            + R"({"meta":{"name":"main","revision":9},"spec":)" + routesText
            + R"(}},{"deleted":false,"object":{"meta":{"name":"other","revision":9},"spec":)"
            + routesText
            + R"(}},{"deleted":true,"object":{"meta":{"name":"main","revision":10}}}],)"
            + R"("currentRev":10})";
        const auto answer = readStoreAnswer(relay::store_object_kind::Routes, body);
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer->objects.size());
        CPPUNIT_ASSERT(std::holds_alternative<std::shared_ptr<const relay::route_document>>(
            answer->objects[0].content));
        CPPUNIT_ASSERT(std::holds_alternative<relay::unusable_object>(answer->objects[1].content));
        CPPUNIT_ASSERT(answer->objects[2].removed);
    }

    /// Guards against hosts that learn of no server because one registration cannot be parsed, as
    /// with a number beyond the range of the parser.
    void objectsThatAreNoJsonDoNotAffectOthers()
    {
        for (const char *broken :
             {R"({"meta":{"name":"i-2","revision":5},"spec":{"capacity":99999999999999999999}})",
              R"({"meta":{"name":"i-2","revision":5},"spec":{"capacity":1e999}})",
              R"({"meta":{"name":"i-2","revision":5},"spec":{"capacity":tru}})", "[17,{}]", "null",
              R"("text")"}) {
            const std::string body = std::string(R"({"currentRev":530,"items":[)") + broken
                + R"( , {"meta":{"name":"i-1","revision":4},"spec":)" + serverText + "}]}";
            const auto answer = readStoreAnswer(relay::store_object_kind::Servers, body);
            CPPUNIT_ASSERT_MESSAGE(broken, answer.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer->objects.size());
            CPPUNIT_ASSERT(
                std::holds_alternative<relay::unusable_object>(answer->objects[0].content));
            CPPUNIT_ASSERT(
                std::holds_alternative<relay::registered_server>(answer->objects[1].content));
        }
    }

    /// Guards against a zone that is used because its evacuation cannot be read.
    void evacuationNeedsOnlyAName()
    {
        for (const char *rest : {R"(,"revision":4},"spec":{"since":1}})", R"(,"revision":4}})",
                                 R"(,"revision":"x"},"spec":17})", R"(},"spec":null})"}) {
            const auto answer = readStoreAnswer(relay::store_object_kind::Evacuations,
                                                std::string(R"({"items":[{"meta":{"name":"z-1")")
                                                    + rest + R"(],"currentRev":9})");
            CPPUNIT_ASSERT_MESSAGE(rest, answer.ok());
            const auto *read = std::get_if<relay::evacuated_zone>(&answer->objects.front().content);
            CPPUNIT_ASSERT_MESSAGE(rest, read != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("z-1"), read->zone.value);
        }
    }

    /// Guards against objects that change on their way from host to host.
    void textOfObjectsIsKeptUnchanged()
    {
        const std::string object = R"({"spec" : {"b":1.50,"a":"\u00e9"},"meta":{"name":"i-1",)"
                                   R"("revision":4}})";
        const auto answer =
            readStoreAnswer(relay::store_object_kind::Servers,
                            R"({"events":[{"object":)" + object
                                + R"(,"deleted":true},{"deleted":false}],"currentRev":4})");
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer->objects.size());
        CPPUNIT_ASSERT(answer->objects[0].removed);
        CPPUNIT_ASSERT_EQUAL(object, answer->objects[0].text);
    }

private:
    /// Valid until the next call.
    simdjson::dom::element parsed(const json &value)
    {
        return m_parser.parse(value.dump()).value();
    }

    simdjson::dom::parser m_parser;
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_codec_test);

} // namespace
} // namespace waxwing::platform
