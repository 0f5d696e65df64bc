#include "console/form_token.h"

#include "console/crypto.h"

#include <absl/strings/numbers.h>

namespace waxwing {

form_tokens::form_tokens(std::string secret, std::chrono::seconds lifetime)
    : m_secret(std::move(secret)), m_lifetime(lifetime)
{ }

std::string form_tokens::make(std::string_view operatorName, std::string_view form,
                              wall_time now) const
{
    const auto expiry = std::to_string((now + m_lifetime).time_since_epoch().count());
    return expiry + "." + sign(operatorName, form, expiry);
}

token_state form_tokens::check(const std::string &token, std::string_view operatorName,
                               std::string_view form, wall_time now) const
{
    const auto dot = token.find('.');
    if (dot == std::string::npos)
        return token_state::Forged;
    const auto expiry = token.substr(0, dot);
    std::int64_t milliseconds = 0;
    if (!equalInConstantTime(token.substr(dot + 1), sign(operatorName, form, expiry))
        || !absl::SimpleAtoi(expiry, &milliseconds))
        return token_state::Forged;
    return now.time_since_epoch().count() < milliseconds ? token_state::Valid
                                                         : token_state::Expired;
}

std::string form_tokens::sign(std::string_view operatorName, std::string_view form,
                              std::string_view expiry) const
{
    // Names contain no colons and forms no line breaks, so the parts cannot run into each other.
    std::string text(operatorName);
    text += ':';
    text += form;
    text += '\n';
    text += expiry;
    return hmacSha256(m_secret, text);
}

} // namespace waxwing
