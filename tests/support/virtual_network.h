#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace waxwing {

/// Virtual clock, one queue of messages and the faults on that queue. The same seed gives the
/// same run.
class virtual_network
{
public:
    using action = std::function<void()>;

    explicit virtual_network(std::uint64_t seed) : m_random(seed) { }

    /// Virtual time; starts well after the epoch, as monotonic clocks do.
    time_point now() const { return m_now; }
    /// Wall-clock time that belongs to `now`.
    wall_time wallNow() const
    {
        return wall_time(
            std::chrono::hours(500000)
            + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    /// Random number below `bound`.
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(m_random() % bound);
    }
    /// True in `percent` of 100 cases.
    bool chance(std::uint32_t percent) { return below(100) < percent; }
    /// Random time in `[least, most]`.
    std::chrono::milliseconds between(int least, int most)
    {
        return std::chrono::milliseconds(
            least + static_cast<int>(below(static_cast<std::uint32_t>(most - least + 1))));
    }

    /// Runs `what` on node `node` after `delay`, or when the node's pause ends.
    void after(duration delay, std::string node, action what)
    {
        m_queue.emplace(std::pair(m_now + delay, ++m_sequence),
                        entry{std::move(node), std::move(what)});
    }
    /// Delivers a message after a random delay, unless the link is cut or the message is lost.
    /// Returns whether it will be delivered.
    bool send(const std::string &from, const std::string &to, action deliver)
    {
        if (isCut(from, to) || chance(lossPercent))
            return false;
        after(between(1, maxDelayMs), to, std::move(deliver));
        return true;
    }

    /// Cuts or restores the link between two nodes, in both directions.
    void setCut(const std::string &left, const std::string &right, bool cut)
    {
        if (cut)
            m_cut.insert(std::minmax(left, right));
        else
            m_cut.erase(std::minmax(left, right));
    }
    /// Whether the link is cut.
    bool isCut(const std::string &left, const std::string &right) const
    {
        return m_cut.count(std::minmax(left, right)) != 0;
    }
    /// Restores every link.
    void restoreLinks() { m_cut.clear(); }
    /// Holds back everything that happens on a node, its timers included.
    void pause(const std::string &node, duration length) { m_pausedUntil[node] = m_now + length; }

    /// Runs the queue until `end`.
    void runUntil(time_point end)
    {
        while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
            auto next = m_queue.extract(m_queue.begin());
            m_now = next.key().first;
            const auto paused = m_pausedUntil.find(next.mapped().node);
            if (paused != m_pausedUntil.end() && paused->second > m_now)
                after(paused->second - m_now, next.mapped().node, std::move(next.mapped().what));
            else
                next.mapped().what();
        }
        m_now = end;
    }
    /// Runs the queue for `length`.
    void runFor(duration length) { runUntil(m_now + length); }

    /// Messages lost, of 100.
    std::uint32_t lossPercent = 0;
    /// Longest delay of a message, in milliseconds.
    int maxDelayMs = 3;

private:
    struct entry
    {
        std::string node;
        action what;
    };

    std::mt19937_64 m_random;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<time_point, std::uint64_t>, entry> m_queue;
    std::set<std::pair<std::string, std::string>> m_cut;
    std::map<std::string, time_point> m_pausedUntil;
};

} // namespace waxwing
