#pragma once

namespace waxwing {

/// Token bucket that limits extra requests to a share of the ordinary ones.
class attempt_budget
{
public:
    /// Holds at most `burst` tokens, one for each extra request, and starts full.
    explicit attempt_budget(double burst);

    /// Adds `share` tokens for each of `requests` ordinary requests.
    void deposit(double requests, double share);
    /// Takes one token. Returns false if less than one is left.
    bool tryWithdraw();

private:
    double m_burst;
    double m_tokens;
};

} // namespace waxwing
