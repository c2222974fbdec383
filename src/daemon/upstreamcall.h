#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/pooltypes.h"
#include "chestnutsill/policy/verdict.h"
#include "daemon/slotclient.h"

#include <functional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// What is sent to an upstream.
struct UpstreamRequest
{
    std::string_view method = "POST";
    std::string_view target;
    std::string_view contentType;
    std::string_view body;
    /// Id of this attempt. The upstream repeats it in its answer, so that crossed answers are noticed.
    std::string attemptId;
    int tier = 0;
    /// Whether the answer is a stream of server-sent events that ends with `[DONE]`.
    bool stream = false;
    /// Instant at which the run must have ended.
    Instant endBy{};
    /// Longest time without a byte of the answer.
    milliseconds silence{5000};
};

/// What the answer of an upstream is passed to. Each function returns false once the caller has gone.
struct UpstreamSink
{
    std::function<bool(const HttpHead &)> head;
    std::function<bool(std::string_view piece)> piece;
};

/// Asked while an attempt goes on.
struct AttemptChecks
{
    /// Asked just before the first byte is sent.
    std::function<bool()> mayStart;
    /// Polled; once it returns true the run is cancelled.
    std::function<bool()> isAbandoned;
};

/// How an attempt ended.
struct Attempt
{
    RunOutcome outcome = RunOutcome::NotStarted;
    /// `Answered` only when the whole answer was passed on.
    Verdict verdict = Verdict::NotRun;
    int status = 0;
    std::string incarnationSeen;
    std::string reason;
    /// From send to first byte of the body; zero when there was none.
    Instant firstToken{};
    /// When the first byte of the body came; zero when there was none.
    Instant firstByteAt{};
    /// Events of a streamed answer.
    std::uint64_t tokens = 0;
    /// Whether any part of the answer was passed on.
    bool relayed = false;
};

/// Uses a grant once: connects, checks on the same connection that the upstream is of the granted
/// incarnation, asks `mayStart` just before the first byte, sends the request, and passes the answer on.
/// Every attempt has a connection of its own, so that none is lost to a connection that the network has
/// forgotten.
[[nodiscard]] Attempt callUpstream(const HeldGrant &held, const UpstreamRequest &request,
                                   const AttemptChecks &checks, const UpstreamSink &sink, const Fiber &fiber);

} // namespace chestnutsill
