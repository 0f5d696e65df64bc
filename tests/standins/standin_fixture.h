#pragma once

#include "http/client.h"
#include "http/loop_fixture.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace waxwing::standins {

/// Clock that tests move.
class manual_clock final : public clock
{
public:
    time_point now() const override { return current; }
    wall_time wallNow() const override { return {}; }

    time_point current{};
};

/// Client that waits for each outcome.
class blocking_client
{
public:
    explicit blocking_client(http::test_loop &loop) : m_loop(loop), m_client(loop.base(), {}) { }

    /// Starts a call; the result is filled in later.
    std::shared_ptr<std::optional<http::client::outcome>> start(const endpoint &peer,
                                                                const http::request &message)
    {
        auto result = std::make_shared<std::optional<http::client::outcome>>();
        m_client.send(peer, message, std::chrono::seconds(5),
                      [result](http::client::outcome outcome) { *result = std::move(outcome); });
        return result;
    }

    /// Outcome of a call that was started.
    http::client::outcome wait(const std::shared_ptr<std::optional<http::client::outcome>> &result)
    {
        m_loop.runUntil([&] { return result->has_value(); });
        return **result;
    }

    http::client::outcome call(const endpoint &peer, const http::request &message)
    {
        return wait(start(peer, message));
    }

    /// Response to a call that must get one.
    http::response get(const endpoint &peer, const http::request &message)
    {
        const auto outcome = call(peer, message);
        CPPUNIT_ASSERT(std::holds_alternative<http::response>(outcome));
        return std::get<http::response>(outcome);
    }

    nlohmann::json postJson(const endpoint &peer, const std::string &path,
                            const nlohmann::json &body, int expected = 200)
    {
        const auto answer = get(peer, {"POST", path, {}, {}, body.dump()});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, expected, answer.status);
        return nlohmann::json::parse(answer.body);
    }

    nlohmann::json getJson(const endpoint &peer, const std::string &path)
    {
        const auto answer = get(peer, {"GET", path, {}, {}, {}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
        return nlohmann::json::parse(answer.body);
    }

private:
    http::test_loop &m_loop;
    http::client m_client;
};

} // namespace waxwing::standins
