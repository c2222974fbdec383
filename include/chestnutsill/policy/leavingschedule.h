#pragma once

#include "chestnutsill/policy/instant.h"

#include <optional>

namespace chestnutsill {

/// Times of a planned stop, from the signal to the end of the process. Answers the load that keeps arriving
/// during a stop: callers hold the instance's address for a while, and requests differ in how long they take.
struct LeavingSchedule
{
    /// Until then callers connect because a directory response named this instance.
    Instant addressesExpire{};
    /// By then every request must have ended. Those in progress are answered then with what is known of them.
    Instant requestsEnd{};
    /// By then the process must have ended.
    Instant processEnds{};
};

/// Returns the schedule of a stop that was signalled at `start`. The process is killed `grace` later. Callers
/// use an address for `addressUse` after a directory response.
[[nodiscard]] LeavingSchedule leavingSchedule(Instant start, milliseconds grace,
                                              milliseconds addressUse) noexcept;

/// A request that arrives during a stop.
struct LateRequest
{
    Instant deadline{};
    /// About the longest that requests of its kind take; empty if that is not known.
    std::optional<Instant> usualDuration;
    /// Whether its caller can be served by another instance.
    bool othersServe = false;
};

/// Whether a request should be accepted during a stop: it must end before the process does. That is certain
/// if its deadline passes before. While callers come with a valid address, a request that usually ends in
/// time is accepted too; if another instance can serve it, it must end in time although its upstream falls
/// silent for a while. One of which nothing is known is assumed to take a part of the time that it has.
[[nodiscard]] bool mayAccept(const LeavingSchedule &schedule, const LateRequest &request,
                             Instant now) noexcept;

} // namespace chestnutsill
