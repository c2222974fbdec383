#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chestnutsill::bench {

/// A part of a whole in percent; 0 of nothing.
[[nodiscard]] inline double percent(std::int64_t part, std::int64_t whole) noexcept
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// The value below which about this share (0 to 1) of all lie; 0 without values.
[[nodiscard]] inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace chestnutsill::bench
