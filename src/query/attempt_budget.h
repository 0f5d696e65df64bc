#pragma once

namespace waxwing {

/// Extra requests in proportion to the ordinary ones (token bucket).
class attempt_budget
{
public:
    /// Holds at most `burst` unused extra requests, and starts with that many.
    explicit attempt_budget(double burst);

    /// `requests` ordinary requests were sent; each allows `share` extra ones.
    void deposit(double requests, double share);
    /// Takes one extra request. Returns false if none is left.
    bool tryWithdraw();

private:
    double m_burst;
    double m_tokens;
};

} // namespace waxwing
