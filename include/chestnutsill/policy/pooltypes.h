#pragma once

#include "chestnutsill/policy/instant.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chestnutsill {

/// Identifies a slot request uniquely among all instances.
struct Ticket
{
    /// Name of the requesting instance.
    std::string holder;
    /// Incarnation of the requesting process: a random number drawn when it started.
    std::uint64_t incarnation = 0;
    /// Number unique within the requesting process.
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
    /// Hash of account and content, to find requests that crash upstreams.
    std::uint64_t fingerprint = 0;
    /// Crashes during which a request of this fingerprint was running.
    int strikes = 0;
    /// Latest instant at which a start is still useful.
    Instant startBy{};
    /// Upstreams that have failed this request before.
    std::vector<std::string> avoid;
    /// Whether the class has used more than its forecast volume. Such requests yield to those of classes
    /// within theirs.
    bool overForecast = false;
};

/// Permission to send one request to one incarnation of one upstream.
struct Grant
{
    Ticket ticket;
    std::string upstream;
    /// IP address and port.
    std::string address;
    /// Incarnation of the upstream that the grant is valid for; the holder must not send to another one.
    std::string incarnation;
    /// Time that the request waited at the home, so that the holder can bound the grant's age by its own
    /// clock.
    Instant waited{};
};

/// Why a slot was refused.
enum class RefusalReason {
    /// The predicted start is after `SlotRequest::startBy` because of requests of the same or higher tiers.
    WouldBeLate,
    /// `SlotRequest::startBy` passed while the request waited.
    WaitedTooLong,
    /// The pool has no upstream that may receive requests.
    NoUpstream,
    /// The home may not grant yet, or its configuration is not confirmed as current.
    HomeNotReady,
    /// Requests of this fingerprint have crashed upstreams.
    Quarantined,
};

/// The name of a reason on the wire and in logs, for example `would-be-late`.
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;

/// The answer to a slot request that gets none. The request has not run.
struct Refusal
{
    Ticket ticket;
    RefusalReason reason = RefusalReason::NoUpstream;
    /// Time from now after which a retry may succeed.
    Instant retryAfter{};
};

/// The home's answer to a slot request.
using Decision = std::variant<Grant, Refusal>;

/// The ticket that a decision is about.
[[nodiscard]] const Ticket &ticketOf(const Decision &decision) noexcept;

/// How the run for which a slot was granted ended.
enum class RunOutcome {
    /// The whole answer arrived.
    Completed,
    /// Nothing was sent.
    NotStarted,
    /// The upstream refused or timed out the connection; nothing was sent.
    ConnectFailed,
    /// The upstream's incarnation differs from that of the grant; nothing was sent.
    OtherIncarnation,
    /// The connection broke after the request was sent.
    Broken,
    /// The upstream stopped sending without closing the connection.
    Silent,
    /// The caller disconnected and the run was cancelled.
    Cancelled,
    /// The answer carried the id of another attempt.
    WrongAnswer,
};

/// Returns a slot, or withdraws a slot request that is still waiting.
struct Release
{
    Ticket ticket;
    RunOutcome outcome = RunOutcome::NotStarted;
    /// The upstream's incarnation, when it differs from that of the grant.
    std::string incarnationSeen;
    /// Time from send to first token; zero when there was none.
    Instant firstToken{};
};

/// State that an upstream reports of itself.
struct UpstreamReport
{
    std::string upstream;
    /// Changes whenever the upstream restarts.
    std::string incarnation;
    /// False while the upstream reports that it is in cold start.
    bool ready = false;
    /// Requests in progress by the upstream's own count, which may lag.
    int running = 0;
    /// Whether the pool's former home reported a short time ago that this incarnation has completed its cold
    /// start.
    bool knownWarm = false;
};

} // namespace chestnutsill
