#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Limits the rate of requests that all instances together send to an upstream in its cold start, without
/// coordination: a few instances, selected by rendezvous hash, may send, each at a limited rate. If the
/// instances have two disjoint views of the membership, twice as many senders are selected, which still stay
/// within the limit. Not thread-safe.
class ColdStartLimiter
{
public:
    /// Number of instances that may send to one cold upstream.
    static constexpr std::size_t SenderCount = 2;
    /// Fraction that all senders together use of the rate that a cold upstream accepts.
    static constexpr double UsedFraction = 0.75;

    /// Whether this instance may send one more request to a cold upstream now. `perSecond` is the rate that
    /// the upstream accepts from all instances together, 0 if it accepts none; `instances` are the names of
    /// the live instances, including this one.
    [[nodiscard]] bool maySend(std::string_view upstream, double perSecond, std::string_view ownName,
                               std::span<const std::string> instances, Instant now) const;

    /// Records that this instance sends a request to a cold upstream; `maySend` must have allowed it.
    void recordSend(std::string_view upstream, Instant now);

    /// Whether this instance is one of the selected senders of an upstream.
    [[nodiscard]] static bool isSender(std::string_view upstream, std::string_view ownName,
                                       std::span<const std::string> instances);

private:
    /// Time of the last request by upstream.
    std::map<std::string, Instant, std::less<>> m_lastSent;
};

} // namespace chestnutsill
