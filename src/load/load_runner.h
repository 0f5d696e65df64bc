#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "http/client.h"
#include "load/answer_checker.h"
#include "load/load_report.h"
#include "load/load_settings.h"

#include <event2/event.h>

#include <memory>

namespace waxwing {

/// Sends searches and commands at a fixed rate, whether or not earlier ones were answered, and
/// checks every answer. Latencies count from the planned time of sending, so that a stalled
/// sender does not hide slow answers.
class load_runner
{
public:
    /// `checker` and `time` outlive the runner.
    load_runner(event_base *base, load_settings settings, const answer_checker &checker,
                const clock &time);

    /// Runs the loop until every request is answered or given up.
    load_report run();

private:
    /// Request that is sent next.
    enum class request_kind { Search, Command };

    static void onTimer(evutil_socket_t, short, void *self);
    void sendDue();
    void scheduleNext();
    void sendSearch(time_point planned);
    void sendCommand();
    const endpoint &chooseTarget();
    void onSearchDone(const load_query &query, time_point planned,
                      const http::client::outcome &outcome);
    void onCommandDone(const http::client::outcome &outcome);
    void finishIfDone();
    time_point plannedTime(std::uint32_t index) const;
    bool isCommandDue() const;

    struct event_deleter
    {
        void operator()(struct event *timer) const { event_free(timer); }
    };

    event_base *m_base;
    load_settings m_settings;
    const answer_checker &m_checker;
    const clock &m_clock;
    http::client m_client;
    random_engine m_random;
    std::unique_ptr<struct event, event_deleter> m_timer;
    load_report m_report;
    time_point m_start;
    std::uint32_t m_inProgress = 0;
};

} // namespace waxwing
