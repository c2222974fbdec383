#pragma once

#include "chestnutsill/policy/instant.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace chestnutsill {

/// Until when the routing table in force was known to be the newest one published. The instant is taken on a
/// clock that runs on while the process is stopped, so that a process that wakes up late knows that its table
/// has aged.
class Freshness
{
public:
    /// Records that `version` was the newest one at `at`. Older confirmations and older versions change
    /// nothing.
    void confirm(std::uint64_t version, Instant at) noexcept
    {
        if (version < m_version)
            return;
        m_version = version;
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
    }

    /// How long ago the table was last known to be the newest; nothing when it never was.
    [[nodiscard]] std::optional<Instant> age(Instant now) const noexcept
    {
        return m_confirmedAt ? std::optional(std::max(now - *m_confirmedAt, Instant{})) : std::nullopt;
    }

    /// Whether the table was the newest one less than `bound` ago.
    [[nodiscard]] bool isWithin(milliseconds bound, Instant now) const noexcept
    {
        return m_confirmedAt && now - *m_confirmedAt < bound;
    }

private:
    std::uint64_t m_version = 0;
    std::optional<Instant> m_confirmedAt;
};

} // namespace chestnutsill
