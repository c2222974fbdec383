#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/prompt.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// One request of a caller, decoded by the protocol adapter.
struct CallerRequest
{
    /// Id of this attempt of the caller; when the caller resends the request, it has another id.
    std::string attemptId;
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    std::string host;
    /// API key of a client account; empty if the caller sent none.
    std::string key;
    /// How long the caller waits for the response, if the request states it.
    std::optional<milliseconds> callerTimeout;
    Prompt prompt;
    /// If the caller takes up a stream that has broken off: the id of its attempt that received the first
    /// event, and the id of the last event that it has; empty if it names none.
    std::string resumedAttemptId;
    std::string lastEventId;
    /// Header fields that are forwarded to the upstream unchanged.
    std::vector<HttpField> fields;
    std::string body;
};

} // namespace chestnutsill
