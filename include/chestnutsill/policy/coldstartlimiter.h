#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chestnutsill {

/// How a request competes with others for a cold upstream.
struct ColdStartRequest
{
    /// Whether no more urgent request has been received lately; see `RankDemand`.
    bool isMostUrgent = true;
    /// Longest time that it may wait for its turn.
    milliseconds maxWait{};
};

/// Limits the rate of requests that all instances together send to an upstream in its cold start, without
/// coordination: a few instances, selected by rendezvous hash, may send, each at a limited rate. If the
/// instances have two disjoint views of the membership, twice as many senders are selected, which still stay
/// within the limit. The most urgent requests wait for their turn, others are sent only if it is due, except
/// for a floor of a quarter of the rate. Not thread-safe.
class ColdStartLimiter
{
public:
    /// Number of instances that may send to one cold upstream.
    static constexpr std::size_t SenderCount = 2;
    /// Fraction that all senders together use of the rate that a cold upstream accepts.
    static constexpr double UsedFraction = 0.75;

    /// When this instance may send a request to a cold upstream; nothing if it may not within the time that
    /// the request may wait. `perSecond` is the rate that the upstream accepts from all instances together,
    /// 0 if it accepts none; `instances` are the names of the live instances, including this one.
    [[nodiscard]] std::optional<Instant> sendAt(std::string_view upstream, double perSecond,
                                                std::string_view ownName,
                                                std::span<const std::string> instances,
                                                const ColdStartRequest &request, Instant now) const;

    /// Records that this instance sends a request at the instant that `sendAt` has just returned for it.
    void recordSend(std::string_view upstream, double perSecond, const ColdStartRequest &request, Instant at,
                    Instant now);

    /// Time between two requests of one sender.
    [[nodiscard]] static Instant intervalOf(double perSecond) noexcept;

    /// Whether this instance is one of the selected senders of an upstream.
    [[nodiscard]] static bool isSender(std::string_view upstream, std::string_view ownName,
                                       std::span<const std::string> instances);

private:
    /// When the next requests are due.
    struct Schedule
    {
        Instant nextAt{};
        /// For requests that are not among the most urgent, at the rate of their floor.
        Instant floorAt{};
    };

    /// By upstream.
    std::map<std::string, Schedule, std::less<>> m_schedules;
};

} // namespace chestnutsill
