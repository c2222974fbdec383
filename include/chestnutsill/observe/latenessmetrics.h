#pragma once

#include "chestnutsill/observe/latenesscounts.h"

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Counts requests that missed their targets, by route and by client account. Not thread-safe.
class LatenessMetrics
{
public:
    /// Maximum number of routes, and of accounts, that are counted by name; further ones count as
    /// `OtherName`. With 256 of each, the metrics page takes at most about 250 kB.
    static constexpr std::size_t MaxNames = 256;
    /// Names are cut at this length, so that a configuration can't make the page too large to fetch.
    static constexpr std::size_t MaxNameBytes = 64;
    static constexpr std::string_view OtherName = "other";

    /// Counts one request. `route` and `account` are empty for a request without them.
    void record(std::string_view route, std::string_view account, const Lateness &lateness);

    /// Writes all counters in the Prometheus text exposition format.
    void write(std::ostream &out) const;

private:
    using Counts = std::map<std::string, LatenessCounts, std::less<>>;

    static LatenessCounts &countsOf(Counts &counts, std::string_view name);

    Counts m_routes;
    Counts m_accounts;
};

} // namespace chestnutsill
