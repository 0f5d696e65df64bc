#pragma once

#include "configuration/object_call.h"
#include "configuration/submission.h"
#include "http/client.h"

#include <chrono>
#include <functional>
#include <vector>

namespace waxwing {

/// Settings of an `object_client`.
struct object_client_settings
{
    /// Address of the platform's object API.
    endpoint platform;
    /// Time for one call.
    std::chrono::milliseconds timeout{2000};

    bool operator==(const object_client_settings &) const = default;
};

/// What the end of a call says about the object.
object_answer readObjectAnswer(const http::client::outcome &outcome);

/// Calls of the platform's object API on an event loop.
class object_client
{
public:
    /// `base` and `connections` outlive the client, and the client outlives its calls.
    object_client(event_base *base, http::client &connections, object_client_settings settings);

    /// Makes the call after its pause. `onAnswer` is called once.
    void call(const object_call &what, std::function<void(object_answer)> onAnswer);
    /// Makes all calls of a submission. `onEnd` is called once.
    void submit(submission sending, std::function<void(submission_outcome)> onEnd);

private:
    void send(const object_call &what, std::function<void(object_answer)> onAnswer);

    event_base *m_base;
    http::client &m_connections;
    object_client_settings m_settings;
};

} // namespace waxwing
