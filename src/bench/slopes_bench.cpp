#include "bench/slopes_bench.h"

#include "bench/entry_driver.h"
#include "bench/process_usage.h"
#include "configuration/parse.h"
#include "core/hash.h"
#include "routing/holder_assignment.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing {
namespace {

/// Sizes at which slopes are measured; the last is that of docs/design.md, section 2.
constexpr std::uint32_t serverCounts[] = {25, 73, 146};
constexpr std::uint32_t memberCounts[] = {7, 93, 740};
constexpr std::uint32_t leafCounts[] = {600, 1800, 5400};

double microsecondsPerEvent(const entry_driver_size &size)
{
    constexpr std::uint32_t searches = 100;
    return medianOf(
        [&size] { return entry_driver(size).runSearches(searches).microsecondsPerEvent(); });
}

double stateBytes(const entry_driver_size &size)
{
    const std::size_t before = usedBytes();
    const entry_driver driver(size);
    return static_cast<double>(usedBytes() - before);
}

void measureReducer(bench_results &results)
{
    constexpr double limitMicroseconds = 5;
    for (const std::uint32_t servers : serverCounts)
        results.push_back(bench_result::plain(
            "slopes", fmt::format("reducer time, {} servers, 7 members", servers), "us/event",
            microsecondsPerEvent({servers, 7})));
    for (const std::uint32_t members : memberCounts)
        results.push_back(bench_result::plain(
            "slopes", fmt::format("reducer time, 146 servers, {} members", members), "us/event",
            microsecondsPerEvent({146, members})));
    results.push_back(bench_result::atMost("slopes", "reducer time at 146 servers and 740 members",
                                           "us/event", microsecondsPerEvent({25, 7}),
                                           microsecondsPerEvent({146, 740}), limitMicroseconds));
}

void measureMemory(bench_results &results)
{
    const double small = stateBytes({25, 7});
    const double manyServers = stateBytes({146, 7});
    const double manyMembers = stateBytes({25, 740});
    results.push_back(bench_result::plain("slopes", "state for each backend server", "bytes",
                                          (manyServers - small) / (146 - 25)));
    results.push_back(bench_result::plain("slopes", "state for each member", "bytes",
                                          (manyMembers - small) / (740 - 7)));

    constexpr std::uint32_t searches = 50;
    entry_driver driver({130, 7});
    driver.runSearches(10);
    const std::size_t before = usedBytes();
    driver.startSearches(searches);
    results.push_back(
        bench_result::plain("slopes", "state for each search in progress over 130 shards", "bytes",
                            static_cast<double>(usedBytes() - before) / searches));
}

void measureControl(bench_results &results)
{
    constexpr std::chrono::seconds time{300};
    constexpr double coreShare = 0.01;
    constexpr double bytesPerSecond = 21000;
    for (const std::uint32_t members : memberCounts) {
        entry_driver driver({130, members});
        const auto sample = driver.runIdle(time);
        const double seconds = static_cast<double>(time.count());
        const double share = std::chrono::duration<double>(sample.time).count() / seconds;
        const double bytes = static_cast<double>(sample.datagramBytes) / seconds;
        const std::string size = fmt::format("{} members", members);
        results.push_back(bench_result::atMost("slopes",
                                               "control, processor in the reducer, " + size,
                                               "share of a core", std::nullopt, share, coreShare));
        results.push_back(bench_result::atMost("slopes", "control, datagram payload sent, " + size,
                                               "bytes/s", std::nullopt, bytes, bytesPerSecond));
    }
}

configuration makeDocument(std::uint32_t leaves)
{
    constexpr std::uint32_t shardsPerService = 130;
    configuration document;
    document.revision = 1;
    document.changeId = "bench";
    document.changedBy = "bench";
    document.reason = "bench";
    document.shutdownAt = wall_time(std::chrono::hours(24 * 365 * 60));
    for (int zone = 0; zone < 6; ++zone)
        document.zones.push_back({fmt::format("zone-{}", zone)});
    const auto name = [](std::uint32_t number) {
        return server_id{fmt::format("leaf-{:05}", number)};
    };
    for (std::uint32_t i = 0; i < leaves; ++i)
        document.servers.push_back(
            {name(i),
             {fmt::format("zone-{}", i % 6)},
             {fmt::format("10.{}.{}.{}", i / 62500, i / 250 % 250, i % 250 + 1), 8000},
             4,
             25,
             {}});
    for (std::uint32_t first = 0; first < leaves; first += shardsPerService) {
        service entry{{fmt::format("service-{:03}", first / shardsPerService)}, {{1, {}}}, {}};
        const std::uint32_t count = std::min(shardsPerService, leaves - first);
        for (std::uint32_t i = 0; i < count; ++i)
            entry.partitionings.front().shards.push_back(
                {{fmt::format("s{:03}", i)},
                 10000,
                 {name(first + i), name(first + (i + 1) % count)}});
        document.services.push_back(entry);
    }
    return document;
}

void measureConfiguration(bench_results &results)
{
    constexpr double largestValue = 1024 * 1024;
    for (const std::uint32_t leaves : leafCounts) {
        const std::string text = formatConfiguration(makeDocument(leaves));
        const std::string size = fmt::format("{} leaves", leaves);
        results.push_back(bench_result::atMost("slopes", "configuration document, " + size, "bytes",
                                               std::nullopt, static_cast<double>(text.size()),
                                               largestValue));
        results.push_back(bench_result::plain(
            "slopes", "parse and check of the document, " + size, "us", medianOf([&text] {
                return processorMicroseconds([&text] { (void)parseConfiguration(text); });
            })));
        const std::size_t before = usedBytes();
        const auto parsed = parseConfiguration(text);
        results.push_back(bench_result::plain("slopes", "parsed document in memory, " + size,
                                              "bytes", static_cast<double>(usedBytes() - before)));
    }
}

void measureRouting(bench_results &results)
{
    const configuration document = makeDocument(5400);
    for (const std::uint32_t count : memberCounts) {
        std::vector<member> members;
        for (std::uint32_t i = 0; i < count; ++i)
            members.push_back({{fmt::format("host-{:04}", i)},
                               {fmt::format("zone-{}", i % 6)},
                               {},
                               {},
                               1,
                               member_state::Alive,
                               1});
        results.push_back(bench_result::plain(
            "slopes", fmt::format("assignment of holders, 42 services, {} members", count), "us",
            medianOf([&document, &members] {
                return processorMicroseconds([&document, &members] {
                    (void)holder_assignment::compute(document, members, {});
                });
            })));
    }
}

} // namespace

bench_results measureSlopes()
{
    bench_results results;
    measureReducer(results);
    measureMemory(results);
    measureControl(results);
    measureConfiguration(results);
    measureRouting(results);
    return results;
}

} // namespace waxwing
