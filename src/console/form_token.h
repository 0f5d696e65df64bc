#pragma once

#include "core/clock.h"

#include <string>
#include <string_view>

namespace waxwing {

/// Whether a form was made by this console for this operator.
enum class token_state {
    /// It was, recently.
    Valid,
    /// It was, too long ago.
    Expired,
    /// It was not.
    Forged,
};

/// Makes and checks the tokens by which forms prove that they come from the console's own pages.
/// All instances of the console share the secret.
class form_tokens
{
public:
    /// Tokens are valid for `lifetime`.
    form_tokens(std::string secret, std::chrono::seconds lifetime);

    /// A token for the operator and the form.
    std::string make(std::string_view operatorName, std::string_view form, wall_time now) const;
    /// Checks a token that was made for the operator and the form.
    token_state check(const std::string &token, std::string_view operatorName,
                      std::string_view form, wall_time now) const;

private:
    std::string sign(std::string_view operatorName, std::string_view form,
                     std::string_view expiry) const;

    std::string m_secret;
    std::chrono::seconds m_lifetime;
};

} // namespace waxwing
