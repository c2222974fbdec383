#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/verdict.h"

#include <optional>

namespace chestnutsill {

/// What happened to one request, as far as its targets are concerned.
struct RequestCourse
{
    /// Target of the first event, or of the response of a route without events; zero for none.
    milliseconds target{};
    /// Target of the pause between two events; zero for none.
    milliseconds gapTarget{};
    /// Time from the arrival of the request to the first event or the response, if there was one.
    std::optional<Instant> firstEvent;
    /// Time from the arrival of the request to its end.
    Instant total{};
    /// Longest pause between two events.
    std::optional<Instant> longestGap;
    Verdict verdict = Verdict::Answered;
    int status = 0;
    bool callerGone = false;
};

/// Which targets a request missed, and whether it was refused or failed. A failed request may also be late.
struct Lateness
{
    bool lateFirst = false;
    bool lateGap = false;
    bool refused = false;
    bool failed = false;

    friend bool operator==(const Lateness &, const Lateness &) = default;
};

/// Load: streams that are answered but miss their targets, which neither the status nor the verdict shows.
///
/// The first event is late if it comes after its target, or if none has come when the target has passed and
/// the request ends, except by a refusal. A gap is late if the longest pause exceeds its target. A request is
/// refused if it has not run, and failed if it may have run without a complete response or was answered with
/// a status of 500 or above. A request that its caller has left is neither.
[[nodiscard]] Lateness latenessOf(const RequestCourse &course) noexcept;

} // namespace chestnutsill
