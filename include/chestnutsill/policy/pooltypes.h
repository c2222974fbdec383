#pragma once

#include "chestnutsill/policy/instant.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chestnutsill {

/// Names one request for capacity across all instances.
struct Ticket
{
    /// Name of the instance that asks.
    std::string holder;
    /// Incarnation of the asking process.
    std::uint64_t incarnation = 0;
    /// Number unique within the asking process.
    std::uint64_t number = 0;

    friend auto operator<=>(const Ticket &, const Ticket &) = default;
};

/// Number of service tiers. Tier 0 is the highest.
inline constexpr int TierCount = 4;

/// A request for one slot on any upstream of a pool.
struct SlotRequest
{
    Ticket ticket;
    /// 0 is the highest tier, `TierCount` - 1 the lowest.
    int tier = 0;
    /// Client account, for fair sharing within the tier.
    std::string account;
    /// Hash of account and content, for tracing requests that crash upstreams.
    std::uint64_t fingerprint = 0;
    /// Crashes in which a request of this fingerprint was running.
    int strikes = 0;
    /// Latest instant at which a start is still useful.
    Instant startBy{};
    /// Upstreams that have failed this request before.
    std::vector<std::string> avoid;
    /// Whether the class has used more than its forecast volume; such work yields to work within it.
    bool overForecast = false;
};

/// The right to send one request to one incarnation of one upstream.
struct Grant
{
    Ticket ticket;
    std::string upstream;
    /// IP address and port.
    std::string address;
    /// Incarnation for which the grant holds; the holder must not send to another one.
    std::string incarnation;
    /// Time that the request spent waiting at the home, so that the holder can bound the grant's age by its
    /// own clock.
    Instant waited{};
};

/// Why capacity was refused.
enum class RefusalReason {
    /// The predicted start is past `SlotRequest::startBy`, by demand of the same or higher tiers.
    WouldBeLate,
    /// `SlotRequest::startBy` passed while the request waited.
    WaitedTooLong,
    /// The pool has no upstream that may receive work.
    NoUpstream,
    /// The home must not grant yet, or has no current view of its peers.
    HomeNotReady,
    /// Requests of this fingerprint have crashed upstreams.
    Quarantined,
};

/// The wire and log form of a reason, for example `would-be-late`.
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;

/// The answer to an ask that gets no slot. The request has not run.
struct Refusal
{
    Ticket ticket;
    RefusalReason reason = RefusalReason::NoUpstream;
    /// Earliest time from now at which another try may succeed.
    Instant retryAfter{};
};

/// What a home decides about an ask.
using Decision = std::variant<Grant, Refusal>;

/// The ticket that a decision is about.
[[nodiscard]] const Ticket &ticketOf(const Decision &decision) noexcept;

/// How the use of a grant ended.
enum class RunOutcome {
    /// The whole answer arrived.
    Completed,
    /// Nothing was sent.
    NotStarted,
    /// The upstream refused or timed out the connection; nothing was sent.
    ConnectFailed,
    /// The upstream is of another incarnation than the grant; nothing was sent.
    OtherIncarnation,
    /// The connection broke after the request was sent.
    Broken,
    /// The upstream stopped sending without closing the connection.
    Silent,
    /// The caller left, and the run was cancelled.
    Cancelled,
    /// The answer carried the id of another attempt.
    WrongAnswer,
};

/// Gives a slot back, or withdraws an ask that still waits.
struct Release
{
    Ticket ticket;
    RunOutcome outcome = RunOutcome::NotStarted;
    /// Incarnation met, when it differs from that of the grant.
    std::string incarnationSeen;
    /// From send to first token; zero when there was none.
    Instant firstToken{};
};

/// What an upstream says of itself.
struct UpstreamReport
{
    std::string upstream;
    /// Changes whenever the upstream restarts.
    std::string incarnation;
    /// False while the upstream says that it is in cold start.
    bool ready = false;
    /// Work in progress by the upstream's own count, which may lag.
    int running = 0;
    /// Whether the pool's former home had seen this incarnation through cold start a short time ago.
    bool knownWarm = false;
};

} // namespace chestnutsill
