#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// What an instance knows of an upstream when it may send a request there.
struct UpstreamRoom
{
    /// Requests in progress of this instance, and of all as far as known.
    int ownRunning = 0;
    int running = 0;
    /// Requests that the upstream processes at the same time.
    int slots = 0;
};

/// Keeps the requests at upstreams that fail when they have to reject too many in a second below what they
/// have room for. Answers the load that exceeds their slots; what doesn't fit waits or is refused.
///
/// In an epoch about as many instances as slots are free may begin a request, by a draw of their own, because
/// loads of peers are known late. None has more than its share in progress. An instance that was rejected
/// sends nothing for so long that all together are rejected less often than the upstream bears. Not
/// thread-safe.
class BrittleUpstreams
{
public:
    /// Length of an epoch, in which loads of peers become known.
    static constexpr milliseconds Epoch{200};
    /// Part of the rejections that an upstream bears which all instances together may cause.
    static constexpr double UsedFraction = 0.5;
    /// Shortest and longest time without requests after a rejection.
    static constexpr milliseconds MinBackoff{200};
    static constexpr milliseconds MaxBackoff{60000};

    /// Records that a response of a service's upstream named the rejections a second that it bears. This is
    /// taken to hold for all upstreams of the service, until they answer otherwise. Returns whether it is
    /// news.
    bool recordNamed(const std::string &service, double rejectionsPerSecond, Instant now);

    /// Records that the response of an upstream to a request sent at an instant named none.
    void recordUnnamed(const std::string &service, const std::string &upstream, Instant sentAt);

    /// Records that an upstream has rejected a request for want of room; `instances` is the number of live
    /// ones.
    void recordRejected(const std::string &service, const std::string &upstream, std::size_t instances,
                        Instant now);

    /// Whether an upstream of a service is brittle.
    [[nodiscard]] bool isBrittle(std::string_view service, std::string_view upstream) const;

    [[nodiscard]] bool empty() const noexcept { return m_services.empty(); }

    /// Whether the instance `own`, one of so many live ones, may begin a request at a brittle upstream.
    [[nodiscard]] bool mayBegin(std::string_view service, std::string_view upstream, const UpstreamRoom &room,
                                std::string_view own, std::size_t instances, Instant now) const;

    /// Forgets services of which no upstream has named anything for long.
    void expire(Instant now);

private:
    struct Statement
    {
        double rejectionsPerSecond = 0;
        Instant namedAt{};
    };

    struct Record
    {
        /// When the latest request was sent whose response named nothing.
        Instant unnamedAt{};
        Instant rejectedUntil{};
    };

    std::map<std::string, Statement, std::less<>> m_services;
    std::map<std::string, Record, std::less<>> m_upstreams;
};

} // namespace chestnutsill
