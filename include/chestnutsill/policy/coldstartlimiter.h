#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Keeps what all instances together send to a cold upstream under its bound without asking anybody: a few
/// instances, picked by rendezvous hash, may send, each at a small rate. Two views of the fleet that disagree
/// altogether pick twice as many senders, which still stay under the bound. Not thread-safe.
class ColdStartLimiter
{
public:
    /// Instances that may send to one cold upstream.
    static constexpr std::size_t SenderCount = 2;
    /// Part of what an upstream bears that all senders together use.
    static constexpr double UsedFraction = 0.75;

    /// Whether this instance may send one more request to a cold upstream now. `perSecond` is the rate that
    /// the upstream bears from all instances, `instances` the names of the live ones, this one included.
    [[nodiscard]] bool maySend(std::string_view upstream, double perSecond, std::string_view ownName,
                               std::span<const std::string> instances, Instant now) const;

    /// Records that this instance sends a request to a cold upstream, which it may.
    void recordSend(std::string_view upstream, Instant now);

    /// Whether this instance is one of the senders to an upstream.
    [[nodiscard]] static bool isSender(std::string_view upstream, std::string_view ownName,
                                       std::span<const std::string> instances);

private:
    /// When the last request was sent, by upstream.
    std::map<std::string, Instant, std::less<>> m_lastSent;
};

} // namespace chestnutsill
