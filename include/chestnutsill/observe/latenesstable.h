#pragma once

#include "chestnutsill/observe/latenesscounts.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Counts of requests that missed their targets, summed over several instances.
struct LatenessTable
{
    std::map<std::string, LatenessCounts, std::less<>> byRoute;
    std::map<std::string, LatenessCounts, std::less<>> byAccount;
};

/// Adds the counters of one instance's metrics page. Returns false and leaves the table as it was if the page
/// has none, as that of an older version, or if one of them can't be read; `reason` says which.
[[nodiscard]] bool addMetricsPage(LatenessTable &table, std::string_view page, std::string &reason);

/// The table as text: for each route and for each account the counts and their shares of the requests, with
/// the highest shares of late requests first.
[[nodiscard]] std::string toText(const LatenessTable &table);

/// The table as a JSON object with the arrays `routes` and `accounts`, in the order of `toText`.
[[nodiscard]] std::string toJson(const LatenessTable &table);

} // namespace chestnutsill
