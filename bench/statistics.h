#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chestnutsill::bench {

/// Returns `part` as a percentage of `whole`, or 0 when `whole` is 0.
[[nodiscard]] inline double percent(std::int64_t part, std::int64_t whole) noexcept
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// Returns the percentile of the values for a fraction from 0 to 1, or 0 without values.
[[nodiscard]] inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace chestnutsill::bench
