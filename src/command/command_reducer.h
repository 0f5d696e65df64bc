#pragma once

#include "backends/backend_pool.h"
#include "configuration/configuration.h"
#include "events/event.h"
#include "events/reduce_context.h"
#include "membership/membership.h"
#include "routing/holder_assignment.h"

#include <memory>
#include <optional>

namespace waxwing {

struct command_reducer_state;

/// Limits of `command_reducer`.
struct command_settings
{
    /// Limit of commands in progress; further commands are refused.
    std::size_t maxInProgress = 1000;
    /// Upper bound of the timeout of a claim call; the caller's deadline may shorten it.
    std::chrono::milliseconds claimTimeout{500};
    /// Retry delay sent to callers with a refusal, such as after an unknown outcome or a platform
    /// outage.
    std::chrono::milliseconds retryAfter{2000};
    /// Limit of backend servers tried while no connection can be made and nothing was sent.
    std::uint32_t maxConnectAttempts = 3;
    /// Timeout of a platform call that records the outcome of a command.
    std::chrono::milliseconds recordTimeout{2000};
    /// Delay after a failed write of the outcome; doubled with each further failure.
    std::chrono::milliseconds recordRetryDelay{500};
    /// Upper bound of the delay between writes of the outcome.
    std::chrono::milliseconds maxRecordRetryDelay{30000};
    /// Failed writes of the outcome after which the claim is left unchanged, about five minutes.
    std::uint32_t maxRecordAttempts = 16;

    bool operator==(const command_settings &) const = default;
};

/// State of other components that commands use. Lives only while one event is handled.
struct command_environment
{
    /// Configuration in force; null before the first one.
    const configuration *document = nullptr;
    backend_pool &backends;
    const holder_assignment &holders;
    const membership &members;
    /// Whether this host is stopping and refuses new requests.
    bool stopping = false;
};

/// Runs non-idempotent requests at most once, by means of a claim on the platform.
class command_reducer
{
public:
    explicit command_reducer(command_settings settings);
    command_reducer(command_reducer &&) noexcept;
    command_reducer &operator=(command_reducer &&) noexcept;
    ~command_reducer();

    /// Handles a command from a caller or a peer.
    void onCommand(reduce_context &context, command_environment &environment,
                   const command_received &received);
    /// Handles a disconnected caller. A command that was sent to a backend server continues.
    void onCallerGone(reduce_context &context, request_id id);
    /// Handles the end of a platform call. Returns false if the attempt is unknown.
    bool onPlatform(reduce_context &context, command_environment &environment,
                    const platform_finished &finished);
    /// Handles the reply of a backend server. Returns false if the attempt is unknown.
    bool onLeafCommand(reduce_context &context, command_environment &environment,
                       const leaf_command_finished &finished);
    /// Handles the end of a forwarded command. Returns false if the attempt is unknown.
    bool onForwarded(reduce_context &context, const forwarded_command_finished &finished);
    /// Refuses commands that have reached their deadline and repeats due writes of outcomes.
    void onTick(reduce_context &context);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;
    /// Number of commands that are unanswered or whose outcome is not yet recorded in their claim.
    /// If a host stopped before the record, the key would stay "outcome unknown" permanently.
    std::size_t inProgress() const;

private:
    std::unique_ptr<command_reducer_state> m_state;
};

} // namespace waxwing
