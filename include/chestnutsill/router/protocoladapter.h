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

/// What goes to an upstream beside the caller's request.
struct UpstreamSendOptions
{
    /// The only upstream incarnation that may run the request.
    std::string_view upstream;
    /// Time that the upstream has for it.
    milliseconds timeLeft{};
    /// Client account; empty for none.
    std::string_view account;
    /// Rank at the engine, 0 the most urgent; nothing for plain services.
    std::optional<int> engineRank;
    /// Address of the upstream from whose memory to fetch shared parts of the prompt; empty for none.
    std::string_view fetchFrom;
    /// Last event that the caller has got, when a stream goes on; empty otherwise.
    std::string_view lastEventId;
};

/// What an upstream's response head says.
struct UpstreamResponse
{
    enum class Outcome {
        /// An answer, good or bad: the request has run.
        Answer,
        /// The request has not run and will not.
        NotRun,
        /// Another incarnation has the address; the request has not run.
        OtherIncarnation,
        /// A response to another request, which stood in the way.
        Stray,
    };

    Outcome outcome = Outcome::Answer;
    /// Header fields for the caller.
    std::vector<HttpField> fields;
    /// How long the connection may rest before its next request; nothing when it must not be used again.
    std::optional<milliseconds> maxIdleTime;
};

/// How requests and responses look on the wire. The request path sees nothing of it but these functions.
struct ProtocolAdapter
{
    /// Decodes a caller's request, or says what is wrong with it.
    std::function<std::variant<CallerRequest, HttpError>(const HttpRequest &)> decode;
    /// Header fields of the request to the upstream.
    std::function<std::vector<HttpField>(const CallerRequest &, const UpstreamSendOptions &)> encode;
    /// Reads an upstream's response to the attempt of this id.
    std::function<UpstreamResponse(const HttpHead &, std::string_view attemptId)> interpret;
    /// Header fields that ask a caller to come back after a time.
    std::function<std::vector<HttpField>(milliseconds)> retryAfter;
};

} // namespace chestnutsill
