#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chestnutsill {

/// A request for a service whose first-event target leaves slack, so that it may be held.
struct DispatchRequest
{
    std::string route;
    std::string account;
    /// Priority rank, 0 the most urgent.
    int tier = 0;
    /// When its first event is due, and when the caller gives up.
    Instant firstEventDue{};
    Instant deadline{};
    /// Expected time to prefill it at an engine without a queue, in milliseconds.
    double prefillMs = 0;
    /// Prompt tokens that the best engine has to prefill.
    double tokens = 0;
    /// Value of its response relative to other requests.
    double value = 1;
    /// Identifies the shared parts at the start of its prompt; 0 if there are none.
    std::uint64_t sharedPart = 0;
    /// Whether an engine has prefilled these parts.
    bool sharedPartCached = true;
};

/// What this instance knows of the engines of a service.
struct DispatchView
{
    /// Prompt tokens for which each usable engine has room before a stream there misses its gap target.
    std::span<const double> roomTokens;
    /// Live instances, including this one.
    int liveInstances = 1;
    /// Age of the newest report of a peer; nothing if there is none.
    std::optional<Instant> age;
    /// Part of the held tokens of all instances that this instance holds, 0 to 1; if it is not known, the
    /// instances are taken to hold equally much.
    std::optional<double> demandShare;
};

/// Why a request is held.
enum class HoldReason {
    None,
    /// No engine has room for it.
    NoRoom,
    /// This instance has used its share of the room.
    Share,
    /// The shared part of its prompt is being prefilled for another request.
    SharedPart,
};

/// Name of a reason in logs: `no-room`, `share`, `shared-part`, or empty.
[[nodiscard]] std::string_view toString(HoldReason reason) noexcept;

/// The time until which a request that arrives now may be held: half of its slack, which is the time until
/// its first event is due minus its prefill and a margin, and at most a quarter of the time until its
/// deadline. Not after `now` if it has no slack.
[[nodiscard]] Instant latestRelease(const DispatchRequest &request, Instant now) noexcept;

/// Holds back the long prompts of one service while no engine has room for them, so that a burst of prompts
/// whose callers tolerate a delay doesn't widen the gaps of urgent streams.
///
/// A held request is released when an engine has room for its tokens and this instance has credit for them.
/// Each view interval (200 ms) adds to the credit, at its start or as soon as there is any, the room that
/// prompts of this size can use, in tokens of all engines, divided by the number of competing instances: the
/// live ones, times the part of the recent intervals in which this instance had requests to release, which is
/// taken to be equal for its peers and at least a quarter. A fraction of a prompt carries over, from a start
/// that differs between instances, so that all instances together release what fits and none of them waits
/// for a grant. While room stays unused for two intervals, the credit added doubles. A request is sent at its
/// `latestRelease` in any case. Nothing is held without peers, or while the newest report is older than
/// `MaxViewAge`.
///
/// Order: tier; then the account with the fewest released tokens; then slack left in steps of 50 ms; then
/// value for each token. An eighth of the released tokens goes to the group (route, size class and account)
/// that has got the fewest tokens of this eighth. Not thread-safe.
class DispatchQueue
{
public:
    using Ticket = std::uint64_t;

    /// Views older than this are not relied on; heartbeats are sent every 200 ms.
    static constexpr milliseconds MaxViewAge{1000};
    /// Time within which peers learn of what this instance sends.
    static constexpr milliseconds ViewInterval{200};
    /// Time after which `release` is called again while requests are held.
    static constexpr milliseconds CheckPeriod{20};
    /// Maximum number of held requests, which bounds the memory; further ones are sent at once.
    static constexpr std::size_t MaxHeld = 1000;
    /// A request waits no longer than this for another one to have its shared part prefilled: about three
    /// times what the largest parts take.
    static constexpr milliseconds MaxSharedPartWait{1000};
    /// One of this many released tokens is reserved for the groups' minimum shares.
    static constexpr int FloorDivisor = 8;

    /// `seed` differs between instances.
    explicit DispatchQueue(std::uint64_t seed)
        : m_seed(seed)
    {}

    /// Adds a request. Call `release` to learn whether it may be sent at once.
    [[nodiscard]] Ticket add(DispatchRequest request, Instant now);

    /// Returns the requests that may be sent now. They count as using room until they are sent or removed.
    [[nodiscard]] std::vector<Ticket> release(const DispatchView &view, Instant now);

    /// Whether `release` has not been called for `CheckPeriod`.
    [[nodiscard]] bool isDue(Instant now) const noexcept
    {
        return !m_releaseAt || now - *m_releaseAt >= CheckPeriod;
    }

    /// Whether the request may be sent.
    [[nodiscard]] bool isReleased(Ticket ticket) const;

    /// Updates what is known of the engines' prefix caches for a request.
    void updateCached(Ticket ticket, double tokens, bool sharedPartCached);

    /// Removes a request that is sent now, so that the load of its engine counts it from now on.
    void recordSent(Ticket ticket) { m_requests.erase(ticket); }

    /// Removes a request that is not sent.
    void remove(Ticket ticket);

    /// Why the request was not released last time.
    [[nodiscard]] HoldReason reason(Ticket ticket) const;

    /// When the request is released at the latest.
    [[nodiscard]] Instant latest(Ticket ticket) const;

    /// Tokens of the largest request in the queue.
    [[nodiscard]] double largestTokens() const;

    /// Number of held requests by route, and their tokens.
    struct Held
    {
        std::map<std::string, int, std::less<>> byRoute;
        double tokens = 0;
    };
    [[nodiscard]] Held held() const;

private:
    /// Route, size class and account.
    using Group = std::tuple<std::string, int, std::string>;
    struct Entry
    {
        DispatchRequest request;
        Group group;
        Instant latest{};
        HoldReason reason = HoldReason::None;
        bool released = false;
    };
    using Entries = std::map<Ticket, Entry>;

    [[nodiscard]] static Group groupOf(const DispatchRequest &request);
    [[nodiscard]] bool isPrefillingFor(const Entry &entry, Instant now) const;
    [[nodiscard]] Entries::iterator next(std::span<const double> rooms, Instant now);
    [[nodiscard]] Entries::iterator nextOfFloor(std::span<const double> rooms, Instant now);
    [[nodiscard]] bool isEligible(const Entry &entry, std::span<const double> rooms, Instant now) const;
    void recordActivity(Instant now);
    /// Tokens that this instance may release in an interval, of those that all instances can use.
    [[nodiscard]] double shareOf(const DispatchView &view, double usable) const;
    /// Adds the credit of the view interval, for prompts of this size.
    void accrue(const DispatchView &view, std::span<const double> rooms, double tokens, Instant now);
    void updateGrowth(bool isLimited, double usable, int liveInstances, Instant now);
    void setReleased(Entries::iterator entry, Instant now);
    void chargeFloor(const Entry &entry, bool isFloor);
    /// Lets an account and a group that have nothing waiting begin at the share of those that have got least.
    void startShares(const DispatchRequest &request);
    [[nodiscard]] std::size_t countHeld() const;

    std::uint64_t m_seed;
    Ticket m_nextTicket = 1;
    Entries m_requests;
    /// Released tokens by account. One that had nothing waiting starts at the smallest value of those that
    /// wait.
    std::map<std::string, double, std::less<>> m_releasedTokens;
    /// The same by group, of the reserved tokens.
    std::map<Group, double> m_floorTokens;
    /// Reserved tokens that have not been used yet.
    double m_floorCredit = 0;
    /// Tokens that this instance may release.
    double m_credit = 0;
    /// Start of the view interval, and the largest share of the room in it, which has been added to the
    /// credit.
    std::optional<Instant> m_intervalAt;
    double m_granted = 0;
    /// Part of the recent intervals in which there were requests to release, and the last of these intervals.
    double m_activity = 0;
    std::int64_t m_activeInterval = -1;
    /// When `release` was called last.
    std::optional<Instant> m_releaseAt;
    /// Factor of the credit, and since when and with how much usable room requests have lacked credit.
    double m_growth = 1;
    std::optional<Instant> m_limitedSince;
    double m_usableThen = 0;
    /// When requests were released whose shared part no engine had cached.
    std::map<std::uint64_t, Instant> m_prefilling;
};

} // namespace chestnutsill
