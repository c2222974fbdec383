#pragma once

#include "chestnutsill/policy/instant.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace chestnutsill {

/// When the routing table in force was last confirmed to be the newest one published. The clock of `Instant`
/// advances while the process is stopped, so that a process resumed later finds its confirmation stale.
class Freshness
{
public:
    /// Records that `version` was the newest one published at `at`. Older confirmations and lower versions
    /// are ignored.
    void confirm(std::uint64_t version, Instant at) noexcept
    {
        if (version < m_version)
            return;
        m_version = version;
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
    }

    /// Time since the last confirmation, or nothing if there was none.
    [[nodiscard]] std::optional<Instant> age(Instant now) const noexcept
    {
        return m_confirmedAt ? std::optional(std::max(now - *m_confirmedAt, Instant{})) : std::nullopt;
    }

    /// Whether the last confirmation is less than `bound` old. False if there was none.
    [[nodiscard]] bool isWithin(milliseconds bound, Instant now) const noexcept
    {
        return m_confirmedAt && now - *m_confirmedAt < bound;
    }

private:
    std::uint64_t m_version = 0;
    std::optional<Instant> m_confirmedAt;
};

} // namespace chestnutsill
