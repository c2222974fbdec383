#pragma once

#include "chestnutsill/policy/verdict.h"

#include <string>

namespace chestnutsill {

/// What a caller receives for one request, as a whole.
struct Answer
{
    /// HTTP status code.
    int status = 503;
    Verdict verdict = Verdict::NotRun;
    std::string contentType = "application/json";
    /// Payload bytes; a JSON error object unless the verdict is `Answered`.
    std::string body;
    /// Short cause for programs of a refusal, for example `queue-full`. Empty for answers.
    std::string reason;
};

/// Builds a refusal whose JSON body has the shape
/// `{"error":{"type":reason,"field":field,"message":message,"verdict":verdict}}`.
[[nodiscard]] Answer refusal(int status, Verdict verdict, std::string_view reason, std::string_view field,
                             std::string_view message);

} // namespace chestnutsill
