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
    /// Commands in progress at a time; more are refused.
    std::size_t maxInProgress = 1000;
    /// Time that is kept for the platform's answer to the claim, at most.
    std::chrono::milliseconds claimTimeout{500};
    /// When a caller is told to come back after an unknown outcome or a platform outage.
    std::chrono::milliseconds retryAfter{2000};
    /// Backend servers that are tried where no connection could be made and nothing was sent.
    std::uint32_t maxConnectTries = 3;
    /// Time for the platform's answer when the end of a command is recorded.
    std::chrono::milliseconds recordTimeout{2000};
    /// Pause after a failed write of the end; doubled with each further failure.
    std::chrono::milliseconds recordRetryDelay{500};
    /// Longest pause.
    std::chrono::milliseconds maxRecordRetryDelay{30000};
    /// Writes of the end after which the claim is left as it is, about five minutes.
    std::uint32_t maxRecordTries = 16;

    bool operator==(const command_settings &) const = default;
};

/// State of other parts that commands use. Lives as long as the event.
struct command_environment
{
    /// Configuration in force, or null.
    const configuration *document = nullptr;
    /// Backend servers.
    backend_pool &backends;
    /// Holders of services.
    const holder_assignment &holders;
    /// Members.
    const membership &members;
    /// Whether this host is stopping and refuses new requests.
    bool stopping = false;
};

/// Runs non-idempotent requests at most once, by a claim in the platform.
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
    /// Forgets the caller; what was handed to a backend server goes on.
    void onCallerGone(reduce_context &context, request_id id);
    /// Handles the end of a platform call. Returns false if the attempt is not its own.
    bool onPlatform(reduce_context &context, command_environment &environment,
                    const platform_finished &finished);
    /// Handles the reply of a backend server. Returns false if the attempt is not its own.
    bool onLeafCommand(reduce_context &context, command_environment &environment,
                       const leaf_command_finished &finished);
    /// Handles the end of a forwarded command. Returns false if the attempt is not its own.
    bool onForwarded(reduce_context &context, const forwarded_command_finished &finished);
    /// Answers what has reached its deadline.
    void onTick(reduce_context &context);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;
    /// Commands that are not answered, or whose end is not recorded in their claim yet. A host that
    /// stopped before the record would leave the key "outcome unknown" for good.
    std::size_t inProgress() const;

private:
    std::unique_ptr<command_reducer_state> m_state;
};

} // namespace waxwing
