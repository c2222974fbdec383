#pragma once

#include <algorithm>

namespace chestnutsill {

/// Bounds retries to a share of requests, so that retries can't multiply an overload. Not thread-safe.
class RetryBudget
{
public:
    /// Retries earned by each request.
    static constexpr double RetriesPerRequest = 0.1;
    /// Most retries saved up.
    static constexpr double MaxRetries = 20;

    /// Records a request.
    void recordRequest() noexcept { m_tokens = std::min(m_tokens + RetriesPerRequest, MaxRetries); }

    /// Takes one retry. Returns false when the budget is used up.
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
