#include "load/command_audit.h"

#include "http/client.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

constexpr std::chrono::milliseconds auditTimeout{5000};

absl::StatusOr<std::uint32_t> readCounters(const http::client::outcome &outcome)
{
    const auto *answer = std::get_if<http::response>(&outcome);
    if (answer == nullptr || answer->status != 200)
        return absl::UnavailableError("the backend stand-in does not answer /counters");
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    const nlohmann::json::json_pointer place("/commands/double_runs_by_key");
    if (body.is_discarded() || !body.contains(place))
        return absl::DataLossError("the backend stand-in sent unreadable counters");
    return static_cast<std::uint32_t>(body.at(place).size());
}

} // namespace

absl::StatusOr<std::uint32_t> countDoubledCommands(event_base *base, const endpoint &control)
{
    http::client client(base, {});
    http::request message;
    message.path = "/counters";
    absl::StatusOr<std::uint32_t> result = absl::UnavailableError("no answer");
    client.send(control, message, auditTimeout,
                [base, &result](const http::client::outcome &outcome) {
                    result = readCounters(outcome);
                    event_base_loopbreak(base);
                });
    event_base_dispatch(base);
    return result;
}

} // namespace waxwing
