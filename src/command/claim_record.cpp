#include "command/claim_record.h"

#include "core/hash.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace waxwing {
namespace {

constexpr std::array<std::string_view, 3> stateNames{"claimed", "not-run", "done"};

/// Joins texts with length prefixes, so that different lists never give the same text.
std::string join(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts)
        joined += fmt::format("{}:{}", part.size(), part);
    return joined;
}

std::string hexHash(const std::string &text)
{
    return fmt::format("{:016x}{:016x}", stableHash(text, 0), stableHash(text, 1));
}

} // namespace

std::string claim_record::format() const
{
    nlohmann::json value{{"host", host},
                         {"incarnation", incarnation},
                         {"nonce", nonce},
                         {"request", request},
                         {"state", stateNames.at(static_cast<std::size_t>(state))}};
    value["result"] = state == claim_state::Done ? nlohmann::json(result) : nlohmann::json();
    // Host names are not validated as UTF-8, so invalid bytes are replaced instead of failing.
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<claim_record> claim_record::parse(std::string_view json)
{
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto text = [&](const char *field) {
        const auto found = value.find(field);
        return found != value.end() && found->is_string() ? found->get<std::string>()
                                                          : std::string();
    };
    const auto incarnation = value.find("incarnation");
    claim_record record{text("host"), 0, text("nonce"), text("request"), {}, text("result")};
    if (record.nonce.empty() || incarnation == value.end() || !incarnation->is_number_unsigned())
        return std::nullopt;
    record.incarnation = incarnation->get<std::uint64_t>();
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (text("state") != stateNames[i])
            continue;
        record.state = static_cast<claim_state>(i);
        return record;
    }
    return std::nullopt;
}

std::string claim_record::name(const command_request &request)
{
    return hexHash(join({request.service.value, request.key}));
}

std::string claim_record::fingerprint(const command_request &request)
{
    return hexHash(join({request.document, request.operation, request.payload}));
}

} // namespace waxwing
