#include "query/attempt_budget.h"

#include <algorithm>

namespace waxwing {

attempt_budget::attempt_budget(double burst) : m_burst(burst), m_tokens(burst) { }

void attempt_budget::deposit(double requests, double share)
{
    m_tokens = std::min(m_burst, m_tokens + requests * share);
}

bool attempt_budget::tryWithdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace waxwing
