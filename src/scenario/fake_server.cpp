#include "scenario/fake_server.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing {
namespace {

constexpr double randomSteps = 4294967296.0;
/// The service time varies by this share in both directions.
constexpr double jitter = 0.2;

double drawShare(random_engine &random)
{
    return random() / randomSteps;
}

} // namespace

std::uint64_t documentsAt(std::uint64_t first, std::uint64_t version)
{
    return first + version - 1;
}

std::string fakeHitId(const shard_id &shard, std::uint64_t number, const snapshot &at,
                      const std::string &query)
{
    return fmt::format("{}-{}@{}.{}/{:x}", shard.value, number, at.partitioning, at.version,
                       stableHash(query));
}

fake_server::fake_server(fake_server_settings settings, event_queue &queue, random_engine &random,
                         scenario_metrics &metrics)
    : m_settings(std::move(settings)), m_queue(queue), m_random(random), m_metrics(metrics)
{ }

void fake_server::search(time_point now, std::uint64_t number, const leaf_search &request,
                         const search_reply &reply)
{
    auto failure = refusal();
    if (!failure && std::ranges::find(m_versions, request.at.version) == m_versions.end())
        failure = leaf_failure{leaf_error::VersionNotHeld, "version not held", {}, held()};
    if (failure) {
        reply(*failure);
        return;
    }
    job work;
    work.number = number;
    work.time = drawServiceTime();
    work.complete = [this, request, reply] { reply(answer(request)); };
    work.fail = [reply](const leaf_failure &why) { reply(why); };
    work.isPoison = request.query == "poison";
    enqueue(now, std::move(work));
}

void fake_server::command(time_point now, std::uint64_t number, const leaf_command &request,
                          const command_reply &reply)
{
    if (const auto failure = refusal()) {
        reply(*failure);
        return;
    }
    job work;
    work.number = number;
    work.time = drawServiceTime();
    work.complete = [this, request, reply] {
        ++m_commandRuns[request.payload];
        reply(leaf_command_answer{R"({"done":true})"});
    };
    work.fail = [reply](const leaf_failure &why) { reply(why); };
    enqueue(now, std::move(work));
}

void fake_server::cancel(time_point now, std::uint64_t number)
{
    const auto isWanted = [number](const job &candidate) { return candidate.number == number; };
    const leaf_failure cancelled{leaf_error::Cancelled, "cancelled", {}, {}};
    if (const auto waiting = std::ranges::find_if(m_waiting, isWanted);
        waiting != m_waiting.end()) {
        const auto fail = std::move(waiting->fail);
        m_waiting.erase(waiting);
        fail(cancelled);
        return;
    }
    const auto running = std::ranges::find_if(m_running, isWanted);
    if (running == m_running.end())
        return;
    m_queue.cancel(running->finish);
    m_metrics.leafWork += std::chrono::duration<double>(now - running->started)
        / std::chrono::duration<double>(running->time);
    const auto fail = std::move(running->fail);
    m_running.erase(running);
    fail(cancelled);
    startNext(now);
}

void fake_server::setSlow(double factor, double share)
{
    m_slowFactor = factor;
    m_slowShare = share;
}

void fake_server::setShedding(bool shedding)
{
    m_shedding = shedding;
}

void fake_server::setDraining(bool draining)
{
    m_draining = draining;
}

void fake_server::crash()
{
    m_down = true;
    auto lost = std::move(m_running);
    m_running.clear();
    for (auto &request : lost)
        m_queue.cancel(request.finish);
    std::ranges::move(m_waiting, std::back_inserter(lost));
    m_waiting.clear();
    for (const auto &request : lost)
        request.fail({leaf_error::ConnectionLost, "server crashed", {}, {}});
}

void fake_server::repair()
{
    m_slowFactor = 1;
    m_slowShare = 0;
    m_shedding = false;
    m_draining = false;
    m_down = false;
}

void fake_server::publish(std::uint64_t version)
{
    constexpr std::size_t heldVersions = 2;
    m_versions.push_back(version);
    if (m_versions.size() > heldVersions)
        m_versions.erase(m_versions.begin());
}

leaf_health fake_server::health() const
{
    leaf_health result;
    result.draining = m_draining;
    for (const auto &[shard, documents] : m_settings.documents)
        result.shards.push_back({m_settings.service, shard, held()});
    return result;
}

std::optional<leaf_failure> fake_server::refusal() const
{
    constexpr std::chrono::milliseconds shedPause{50};
    if (m_down)
        return leaf_failure{leaf_error::NotConnected, "connection refused", {}, {}};
    if (m_draining)
        return leaf_failure{leaf_error::Draining, "draining", {}, {}};
    if (m_shedding || m_waiting.size() >= m_settings.queueLimit)
        return leaf_failure{leaf_error::Overloaded, "overloaded", shedPause, {}};
    return std::nullopt;
}

void fake_server::enqueue(time_point now, job request)
{
    m_waiting.push_back(std::move(request));
    startNext(now);
}

void fake_server::startNext(time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        next.started = now;
        const time_point done = now + next.time;
        next.finish =
            m_queue.schedule(done, [this, done, number = next.number] { finish(done, number); });
        m_running.push_back(std::move(next));
        ++m_metrics.leafSearches;
    }
}

void fake_server::finish(time_point now, std::uint64_t number)
{
    const auto running = std::ranges::find_if(
        m_running, [number](const job &candidate) { return candidate.number == number; });
    if (running->isPoison) {
        ++m_metrics.crashes;
        crash();
        return;
    }
    m_metrics.leafWork += 1;
    const auto complete = std::move(running->complete);
    m_running.erase(running);
    complete();
    startNext(now);
}

leaf_answer fake_server::answer(const leaf_search &request) const
{
    const std::uint64_t documents =
        documentsAt(m_settings.documents.at(request.shard), request.at.version);
    leaf_answer result{request.service, request.shard, request.at, documents, documents, {},
                       held()};
    const std::uint64_t hits = std::min<std::uint64_t>(request.limit, documents);
    for (std::uint64_t number = 0; number < hits; ++number)
        result.hits.push_back({fakeHitId(request.shard, number, request.at, request.query),
                               1.0 / static_cast<double>(number + 1)});
    std::ranges::sort(result.hits, ranksBefore);
    return result;
}

std::vector<snapshot> fake_server::held() const
{
    std::vector<snapshot> result;
    for (const std::uint64_t version : m_versions)
        result.push_back({1, version});
    return result;
}

duration fake_server::drawServiceTime()
{
    double factor = 1 - jitter + 2 * jitter * drawShare(m_random);
    if (drawShare(m_random) < m_slowShare)
        factor *= m_slowFactor;
    return std::chrono::duration_cast<duration>(m_settings.serviceTime * factor);
}

} // namespace waxwing
