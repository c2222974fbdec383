#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// How an attempt at an upstream ended, as far as it tells about the upstream.
enum class AttemptResult {
    Served,
    /// It did not take the connection.
    Unreachable,
    /// It refused and said that it has not run the request.
    Refused,
    /// It answered with an error of its own.
    Failed,
    /// The connection ended, broke or stayed silent before the whole answer.
    Broken,
};

/// Judges upstreams by the results of real work. Not thread-safe.
class OutlierDetector
{
public:
    /// Records the result of an attempt.
    void record(std::string_view upstream, AttemptResult result, Instant now);

    /// Whether an upstream is left out for now because connections to it failed. It is tried again after a
    /// pause that doubles with each failure in a row.
    [[nodiscard]] bool isEjected(std::string_view upstream, Instant now) const;

    /// Share of recent attempts that failed, 0 to 1, where recent results weigh most.
    [[nodiscard]] double failureRate(std::string_view upstream, Instant now) const;

private:
    struct Record
    {
        int consecutiveConnectFailures = 0;
        Instant ejectedUntil{};
        double failureRate = 0;
        Instant updatedAt{};
    };

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace chestnutsill
