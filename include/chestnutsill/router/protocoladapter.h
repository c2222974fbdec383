#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/router/callerrequest.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chestnutsill {

/// What the router adds to a caller's request when it sends it to an upstream.
struct UpstreamSendOptions
{
    /// Id of the only upstream incarnation that may run the request.
    std::string_view upstream;
    /// Time until the deadline of the request.
    milliseconds timeLeft{};
    /// Name of the client account; empty for none.
    std::string_view account;
    /// Priority of the request at the engine, where 0 is the most urgent; empty for services without engines.
    std::optional<int> engineRank;
    /// Address of the upstream from whose prefix cache to fetch shared prompt parts; empty for none.
    std::string_view fetchFrom;
    /// Id of the last event that the caller has received, if the request resumes a stream; empty otherwise.
    std::string_view lastEventId;
};

/// What the head of an upstream's response means for the request.
struct UpstreamResponse
{
    enum class Outcome {
        /// An answer, whether success or error: the request has run.
        Answer,
        /// The request has not run and will not.
        NotRun,
        /// Another upstream incarnation now has the address; the request has not run.
        OtherIncarnation,
        /// A response to another request that arrived on the same connection.
        Stray,
    };

    Outcome outcome = Outcome::Answer;
    /// Header fields to forward to the caller.
    std::vector<HttpField> fields;
    /// Requests per second that the upstream accepts from all instances together, if the response names a
    /// rate.
    std::optional<double> maxRequestRate;
    /// The text that should be such a rate and can't be read as one; empty if there is none.
    std::string malformedRate;
    /// For how long the upstream wants no more requests from this instance, if it refuses one with status 503
    /// and states a time.
    std::optional<milliseconds> pause;
    /// The text that should be such a time and can't be read as one; empty if there is none.
    std::string malformedPause;
    /// Requests that the upstream can reject in a second without failing, if the response names a number.
    std::optional<double> maxRejectionRate;
    /// The text that should be such a number and can't be read as one; empty if there is none.
    std::string malformedRejectionRate;
    /// Whether the upstream says that it is leaving.
    bool leaving = false;
    /// Whether the response names the attempt that it answers. A refusal that doesn't may be that of an
    /// earlier request on the same connection.
    bool namesAttempt = false;
    /// Id of the upstream incarnation that responded; empty if the response does not name it.
    std::string upstream;
    /// How long the connection may stay idle before its next request; empty if it must not be reused.
    std::optional<milliseconds> maxIdleTime;
};

/// Translates requests and responses between their wire format and the types of the router, which doesn't
/// depend on the wire format otherwise.
struct ProtocolAdapter
{
    /// Decodes a caller's request. Returns the error if it is malformed.
    std::function<std::variant<CallerRequest, HttpError>(const HttpRequest &)> decode;
    /// Builds the header fields of the request to the upstream.
    std::function<std::vector<HttpField>(const CallerRequest &, const UpstreamSendOptions &)> encode;
    /// Interprets the head of an upstream's response to the attempt with this id.
    std::function<UpstreamResponse(const HttpHead &, std::string_view attemptId)> interpret;
    /// Builds the header fields with which a caller's request is handed over to a peer, which decodes them
    /// like those of a caller. It has this time left.
    std::function<std::vector<HttpField>(const HttpRequest &, milliseconds timeLeft)> handOver;
    /// Builds the header fields that ask a caller to resend the request after a time.
    std::function<std::vector<HttpField>(milliseconds)> retryAfter;
};

} // namespace chestnutsill
