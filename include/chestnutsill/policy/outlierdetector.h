#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// How an attempt at an upstream ended, as far as it shows the upstream's health.
enum class AttemptResult {
    Served,
    /// It did not accept the connection.
    Unreachable,
    /// The request got no answer for a reason that shows no failure of the upstream; usually the upstream
    /// refused it and stated that it has not run it.
    Refused,
    /// Another upstream responded at its address, and has not run the request.
    Replaced,
    /// It answered with a server error.
    Failed,
    /// The connection closed, broke or went silent before the whole answer had arrived.
    Broken,
};

/// Passive health checking: detects failing upstreams from the results of regular requests. Not thread-safe.
class OutlierDetector
{
public:
    /// Records the result of an attempt. `Unreachable` and `Replaced` eject the upstream, and any other
    /// result ends the ejection. `Unreachable`, `Replaced` and `Refused` leave the failure rate unchanged.
    void record(std::string_view upstream, AttemptResult result, Instant now);

    /// Ends an ejection whose cause was a fault of this instance, or whose upstream has another address now.
    void forgive(std::string_view upstream);

    /// Whether an upstream is ejected because connections to it failed, or others responded at its address.
    /// The ejection time is 200 ms at first and doubles with each consecutive failure, up to 2 s for failed
    /// connections and 30 s for responses of others, which go on until the entry of the upstream changes.
    [[nodiscard]] bool isEjected(std::string_view upstream, Instant now) const;

    /// Exponentially weighted failure rate of recent attempts, 0 to 1.
    [[nodiscard]] double failureRate(std::string_view upstream, Instant now) const;

private:
    struct Record
    {
        int consecutiveFailures = 0;
        Instant ejectedUntil{};
        double failureRate = 0;
        Instant updatedAt{};
    };

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace chestnutsill
