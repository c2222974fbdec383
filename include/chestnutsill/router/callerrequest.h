#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/prompt.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// One request of a caller, decoded from whichever interface it came by.
struct CallerRequest
{
    /// Names this try of the caller; a retry has another one.
    std::string attemptId;
    std::string method;
    /// Path and query, as the caller sent them.
    std::string target;
    std::string host;
    /// Key of a client account; empty when the caller gave none.
    std::string key;
    /// How long the caller waits, if it said so.
    std::optional<milliseconds> callerTimeout;
    Prompt prompt;
    /// Header fields that the upstream gets unchanged.
    std::vector<HttpField> fields;
    std::string body;
};

} // namespace chestnutsill
