#pragma once

#include <algorithm>

namespace chestnutsill {

/// Limits retries to a fraction of the requests, so that retries can't amplify an overload. The
/// budget starts at half of its maximum. Not thread-safe.
class RetryBudget
{
public:
    /// Retries added to the budget by each request.
    static constexpr double RetriesPerRequest = 0.1;
    /// Maximum number of retries in the budget.
    static constexpr double MaxRetries = 20;

    /// Records a request.
    void recordRequest() noexcept { m_tokens = std::min(m_tokens + RetriesPerRequest, MaxRetries); }

    /// Takes one retry from the budget. Returns false if it is exhausted.
    [[nodiscard]] bool tryAcquire() noexcept
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = MaxRetries / 2;
};

} // namespace chestnutsill
