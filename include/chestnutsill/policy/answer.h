#pragma once

#include "chestnutsill/policy/verdict.h"

#include <string>

namespace chestnutsill {

/// The complete response to a caller's request.
struct Answer
{
    /// HTTP status code.
    int status = 503;
    Verdict verdict = Verdict::NotRun;
    std::string contentType = "application/json";
    /// Response body; a JSON error object unless the verdict is `Answered`.
    std::string body;
    /// Machine-readable reason of a refusal, for example `would-be-late`; empty otherwise.
    std::string reason;
};

/// Builds a refusal whose JSON body has the form
/// `{"error":{"type":reason,"field":field,"message":message,"verdict":verdict}}`. `field` names the header or
/// the resource that caused the refusal, for example `chestnutsill-request-id` or `capacity`.
[[nodiscard]] Answer refusal(int status, Verdict verdict, std::string_view reason, std::string_view field,
                             std::string_view message);

} // namespace chestnutsill
