#pragma once

#include "chestnutsill/policy/instant.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Learns by route about the longest that requests take, from their arrival to the end of the response. Not
/// thread-safe.
class RouteDurations
{
public:
    /// Number of the latest requests of a route that are remembered.
    static constexpr std::size_t Remembered = 64;
    /// Number of requests of a route from which its durations are known.
    static constexpr std::size_t MinSamples = 8;

    /// Records that a request was answered, or reached its deadline, after `duration`.
    void record(std::string_view route, Instant duration);

    /// The longest of the latest requests of a route; empty if too few are known.
    [[nodiscard]] std::optional<Instant> longest(std::string_view route) const;

private:
    struct Record
    {
        std::array<Instant, Remembered> durations{};
        std::size_t count = 0;
    };

    std::map<std::string, Record, std::less<>> m_routes;
};

} // namespace chestnutsill
