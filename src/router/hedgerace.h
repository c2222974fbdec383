#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/net/interruptiblesleep.h"
#include "requestcontext.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace chestnutsill {

/// Two attempts of one request that may run at the same time. The fiber of the request makes the first one
/// and forwards the response of either. Another fiber makes the second one up to the head of its response.
struct HedgeRace
{
    HedgeRace(RequestContext &request, UpstreamAttempt &firstAttempt, const Fiber &fiber)
        : context(request)
        , first(firstAttempt)
        , timer(fiber.get_executor())
    {
        second.isHedge = true;
    }

    /// Both must not be used once `closed` is set and `secondRuns` is not.
    RequestContext &context;
    UpstreamAttempt &first;
    UpstreamAttempt second;
    /// Response to the second attempt, once its head has arrived and the first one was not answered before.
    std::optional<UpstreamAnswer> secondAnswer;
    /// Runs until the second attempt may start.
    boost::asio::steady_timer timer;
    /// In which the fiber of the request waits for the second attempt to end.
    InterruptibleSleep secondEnd;
    /// Whether the first attempt still waits for the head of its response.
    bool firstWaits = true;
    /// Whether the fiber of the second attempt runs.
    bool secondRuns = false;
    /// Whether no second attempt may start any more.
    bool closed = false;
    /// Time that the first attempt waits before a second one is considered, and before it is once more.
    Instant delay{};
    /// Whether the first attempt has waited longer than that.
    bool overdue = false;
};

} // namespace chestnutsill
