#pragma once

#include "chestnutsill/policy/lateness.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace chestnutsill {

/// Number of requests of one route or account, and how many of them were late, refused or failed.
struct LatenessCounts
{
    std::uint64_t requests = 0;
    std::uint64_t lateFirst = 0;
    std::uint64_t lateGap = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    friend bool operator==(const LatenessCounts &, const LatenessCounts &) = default;
};

/// Name of a count in metrics, its name in JSON and its heading in tables.
struct LatenessColumn
{
    std::string_view metric;
    std::string_view json;
    std::string_view heading;
    std::uint64_t LatenessCounts::*count;
};

inline constexpr std::array<LatenessColumn, 5> LatenessColumns{{
    {"requests", "requests", "requests", &LatenessCounts::requests},
    {"late_first", "lateFirst", "late first", &LatenessCounts::lateFirst},
    {"late_gap", "lateGap", "late gap", &LatenessCounts::lateGap},
    {"refused", "refused", "refused", &LatenessCounts::refused},
    {"failed", "failed", "failed", &LatenessCounts::failed},
}};

/// Adds one request.
constexpr void addRequest(LatenessCounts &counts, const Lateness &lateness) noexcept
{
    ++counts.requests;
    counts.lateFirst += lateness.lateFirst ? 1 : 0;
    counts.lateGap += lateness.lateGap ? 1 : 0;
    counts.refused += lateness.refused ? 1 : 0;
    counts.failed += lateness.failed ? 1 : 0;
}

} // namespace chestnutsill
