#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// What an instance tells its peers about the request rate that an upstream accepts.
struct RateLimitNotice
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    /// Requests per second that it accepts from all instances together.
    double perSecond = 0;
    /// Time since a response named this rate.
    milliseconds namedAge{};
    /// Time since the sending of the latest request whose response named none; empty if there was none.
    std::optional<milliseconds> endedAge;
};

/// Request rates that upstreams name in their responses, as the maximum that they accept from all instances
/// together. A rate holds until a request that was sent after it had been named is answered without one.
/// Not thread-safe.
class UpstreamRateLimits
{
public:
    /// Maximum number of notices in one heartbeat, which has to fit into a datagram.
    static constexpr std::size_t MaxNotices = 64;
    /// A rate that a peer has seen counts as newer than a known one only if it is newer by this, because the
    /// time that a notice takes makes it look newer than it is.
    static constexpr milliseconds NoticeMargin{500};
    /// Time after which what is known of an upstream that names no rate any more is dropped.
    static constexpr std::chrono::seconds RecordLifetime{60};

    /// Records that a response has named a rate. Returns whether the rate in force has changed.
    bool recordNamed(std::string_view upstream, double perSecond, Instant now);

    /// Records that a request that was sent at `sentAt` has been answered without a rate. Returns whether
    /// this has ended a rate.
    bool recordUnnamed(std::string_view upstream, Instant sentAt);

    /// Merges a notice of a peer that was sent at `earliestSentAt` or later and arrived at `now`. Without the
    /// former it can't end a rate.
    void merge(const RateLimitNotice &notice, std::optional<Instant> earliestSentAt, Instant now);

    /// Requests per second that an upstream accepts from all instances together, or nothing if it names no
    /// rate.
    [[nodiscard]] std::optional<double> perSecond(std::string_view upstream) const;
    /// The same by the hash of the upstream's id.
    [[nodiscard]] std::optional<double> perSecond(std::uint64_t upstream) const;

    /// Records that no permit to send to an upstream can be had before `until`.
    void recordDenied(std::string_view upstream, Instant until);

    /// The instant before which no permit can be had; in the past if one may be had now.
    [[nodiscard]] Instant nextPermitAt(std::string_view upstream) const;

    /// Up to `MaxNotices` notices for the heartbeat of a round; further ones take their turn in other rounds.
    [[nodiscard]] std::vector<RateLimitNotice> notices(std::uint64_t round, Instant now) const;

    /// Drops the records that have not been renewed for `RecordLifetime`, except rates in force of upstreams
    /// that are still published, of which `published` holds the hashes of the ids.
    void expire(std::span<const std::uint64_t> published, Instant now);

    [[nodiscard]] bool empty() const noexcept { return m_records.empty(); }

private:
    struct Record
    {
        double perSecond = 0;
        /// When a response last named a rate.
        Instant namedAt{};
        /// When the latest request was sent whose response named none.
        std::optional<Instant> endedAt;
        Instant nextPermitAt{};

        [[nodiscard]] bool isLimited() const noexcept { return !endedAt || namedAt > *endedAt; }
    };

    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace chestnutsill
