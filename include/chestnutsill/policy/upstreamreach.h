#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Detects services of which this instance reaches no upstream although it may be well otherwise. Answers no
/// load; it tells requests that would fail here from those that would be served. Whether the upstreams are
/// down or only this instance can't reach them is for peers to say.
///
/// A service is suspected once new connections to several of its upstreams have failed and none has succeeded
/// since. Established connections prove nothing: they may live on while new ones are refused. A suspicion is
/// confirmed by further attempts to connect, and ends with the first that succeeds. Not thread-safe.
class UpstreamReach
{
public:
    /// Number of upstreams to which connections must have failed; all of them if the service has fewer.
    static constexpr std::size_t MinUnreached = 3;
    /// Time after which a failed connection no longer counts.
    static constexpr std::chrono::seconds FailureLifetime{10};

    /// Records that a new connection to an upstream works.
    void recordReached(std::string_view service);

    /// Records that a new connection to an upstream could not be opened, or ended without any response.
    void recordUnreached(std::string_view service, std::string_view upstream, Instant now);

    /// Records that further attempts have confirmed that no upstream is reached.
    void confirm(std::string_view service);

    /// Whether it is suspected that no upstream of a service is reached, of `usable` ones.
    [[nodiscard]] bool isSuspected(std::string_view service, std::size_t usable, Instant now) const;

    /// Whether that has been confirmed.
    [[nodiscard]] bool isCutOff(std::string_view service) const;

    /// Whether new connections to any upstream of a service have failed since one has succeeded.
    [[nodiscard]] bool hasUnreached(std::string_view service) const { return m_records.contains(service); }

    /// Whether new connections to this upstream have failed since one to its service has succeeded.
    [[nodiscard]] bool isUnreached(std::string_view service, std::string_view upstream) const;

private:
    struct Record
    {
        /// Upstreams to which connections have failed since the last success, and when they failed last.
        std::map<std::string, Instant, std::less<>> unreached;
        bool confirmed = false;
    };

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace chestnutsill
