#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/pooltypes.h"
#include "chestnutsill/policy/verdict.h"
#include "daemon/slotclient.h"

#include <functional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// A request as sent to an upstream.
struct UpstreamRequest
{
    std::string_view method = "POST";
    std::string_view target;
    std::string_view contentType;
    std::string_view body;
    /// Id of this attempt. The upstream echoes it, so that a response to another request is detected.
    std::string attemptId;
    int tier = 0;
    /// Whether the response is a stream of server-sent events that ends with `[DONE]`.
    bool stream = false;
    /// Instant at which the run must have ended.
    Instant endBy{};
    /// Maximum time without receiving a byte of the response. The head of a response that is not streamed may
    /// take until `endBy`.
    milliseconds idleTimeout{5000};
};

/// Receives the upstream's response. Each function returns false once the caller has disconnected, which
/// cancels the run.
struct UpstreamSink
{
    std::function<bool(const HttpHead &)> head;
    std::function<bool(std::string_view piece)> piece;
};

/// Checks made during an attempt.
struct AttemptChecks
{
    /// Called just before the first byte is sent; the attempt ends if it returns false.
    std::function<bool()> mayStart;
    /// Polled during the run, which is cancelled once it returns true.
    std::function<bool()> isAbandoned;
};

/// Result of an attempt.
struct Attempt
{
    RunOutcome outcome = RunOutcome::NotStarted;
    /// `Answered` only when the whole response was passed on.
    Verdict verdict = Verdict::NotRun;
    /// HTTP status of the response; 0 when none arrived.
    int status = 0;
    /// The upstream's incarnation, when it differs from that of the grant.
    std::string incarnationSeen;
    /// Why the attempt failed; empty if it completed.
    std::string reason;
    /// Time from sending the request to the first byte of the body; zero if there was none.
    Instant firstToken{};
    /// When the first byte of the body arrived; zero if there was none.
    Instant firstByteAt{};
    /// Number of events in a streamed response, which counts as its number of tokens.
    std::uint64_t tokens = 0;
    /// Whether any part of the response was passed on.
    bool relayed = false;
};

/// Makes one attempt with a granted slot: connects, checks on the same connection that the upstream still has
/// the granted incarnation, calls `mayStart` just before the first byte, sends the request, and relays the
/// response. Every attempt opens its own connection: an idle one may have been dropped by the network without
/// either end noticing.
[[nodiscard]] Attempt callUpstream(const HeldGrant &held, const UpstreamRequest &request,
                                   const AttemptChecks &checks, const UpstreamSink &sink, const Fiber &fiber);

} // namespace chestnutsill
