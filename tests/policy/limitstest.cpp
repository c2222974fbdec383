#include "chestnutsill/policy/coldstartlimiter.h"
#include "chestnutsill/policy/rankdemand.h"
#include "chestnutsill/policy/windowedretrybudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

/// Rate that a cold upstream accepts, and its limit for the number of requests in any one second.
constexpr double ColdPerSecond = 6.6;
constexpr double MaxColdPerSecond = ColdPerSecond * 1.5 + 5;

std::vector<std::string> names(int first, int count)
{
    std::vector<std::string> made;
    for (int i = first; i < first + count; ++i)
        made.push_back("instance-" + std::to_string(i));
    return made;
}

/// Maximum number of requests in any period of one second.
std::size_t busiestSecond(std::vector<Instant> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::deque<Instant> window;
    for (const Instant time : times) {
        window.push_back(time);
        while (time - window.front() >= seconds(1))
            window.pop_front();
        most = std::max(most, window.size());
    }
    return most;
}

/// Sends a request to a cold upstream if the limiter allows it. Returns whether it does.
bool trySend(ColdStartLimiter &limiter, std::string_view upstream, double perSecond, std::string_view ownName,
             std::span<const std::string> instances, Instant now, bool isMostUrgent = true)
{
    const ColdStartRequest request{.isMostUrgent = isMostUrgent, .maxWait = milliseconds(0)};
    const auto at = limiter.sendAt(upstream, perSecond, ownName, instances, request, now);
    if (!at)
        return false;
    limiter.recordSend(upstream, perSecond, request, *at, now);
    return true;
}

/// All instances of a view send to a cold upstream as fast as they may. Returns the times of the requests.
std::vector<Instant> saturate(const std::vector<std::string> &view, std::string_view upstream, Instant from)
{
    std::vector<Instant> sent;
    std::vector<ColdStartLimiter> limiters(view.size());
    for (Instant time = from; time < from + seconds(6); time += milliseconds(1)) {
        for (std::size_t i = 0; i < view.size(); ++i) {
            if (trySend(limiters[i], upstream, ColdPerSecond, view[i], view, time))
                sent.push_back(time);
        }
    }
    return sent;
}

} // namespace

TEST_CASE("cold start: all instances together stay within the limit and use part of it")
{
    for (const int size : {1, 2, 8, 88}) {
        const auto sent = saturate(names(0, size), "u1", seconds(1));
        CHECK(static_cast<double>(busiestSecond(sent)) <= MaxColdPerSecond);
        CHECK(sent.size() >= 12);
    }
}

TEST_CASE("cold start: two disjoint views of the membership stay within the limit together")
{
    for (int trial = 0; trial < 20; ++trial) {
        const std::string upstream = "u" + std::to_string(trial);
        auto sent = saturate(names(0, 4), upstream, seconds(1));
        const auto other = saturate(names(4, 4), upstream, seconds(1) + milliseconds(trial));
        sent.insert(sent.end(), other.begin(), other.end());
        CHECK(static_cast<double>(busiestSecond(sent)) <= MaxColdPerSecond);
    }
}

TEST_CASE("cold start: an upstream that accepts no requests gets none")
{
    ColdStartLimiter limiter;
    CHECK_FALSE(trySend(limiter, "u1", 0, "me", names(0, 1), seconds(1)));
}

TEST_CASE("cold start: the most urgent requests get their turn although others ask all the time")
{
    ColdStartLimiter limiter;
    const auto view = names(0, 1);
    const ColdStartRequest urgent{.isMostUrgent = true, .maxWait = milliseconds(1000)};
    std::vector<Instant> sent;
    int urgentRefused = 0;
    int lessUrgentSent = 0;
    for (Instant time = seconds(1); time < seconds(11); time += milliseconds(5)) {
        if (trySend(limiter, "u1", ColdPerSecond, view.front(), view, time, false)) {
            sent.push_back(time);
            ++lessUrgentSent;
        }
        if (time.count() % Instant(seconds(1)).count() != 0)
            continue;
        if (const auto at = limiter.sendAt("u1", ColdPerSecond, view.front(), view, urgent, time)) {
            limiter.recordSend("u1", ColdPerSecond, urgent, *at, time);
            sent.push_back(*at);
        } else {
            ++urgentRefused;
        }
    }
    CHECK(urgentRefused == 0);
    CHECK(lessUrgentSent > 0);
    CHECK(static_cast<double>(busiestSecond(sent)) <= MaxColdPerSecond);
}

TEST_CASE("cold start: less urgent requests get a quarter of the rate although the most urgent ones wait")
{
    ColdStartLimiter limiter;
    const auto view = names(0, 1);
    const ColdStartRequest urgent{.isMostUrgent = true, .maxWait = milliseconds(1000)};
    const ColdStartRequest lessUrgent{.isMostUrgent = false, .maxWait = milliseconds(1000)};
    std::vector<Instant> sent;
    int lessUrgentSent = 0;
    for (Instant time = seconds(1); time < seconds(11); time += milliseconds(5)) {
        for (const ColdStartRequest &request : {urgent, lessUrgent}) {
            const auto at = limiter.sendAt("u1", ColdPerSecond, view.front(), view, request, time);
            if (!at)
                continue;
            limiter.recordSend("u1", ColdPerSecond, request, *at, time);
            sent.push_back(*at);
            lessUrgentSent += request.isMostUrgent ? 0 : 1;
        }
    }
    CHECK(5 * lessUrgentSent >= static_cast<int>(sent.size()));
    CHECK(3 * lessUrgentSent <= static_cast<int>(sent.size()));
    CHECK(static_cast<double>(busiestSecond(sent)) <= MaxColdPerSecond);
}

TEST_CASE("rank demand: a rank is the most urgent one while no request of a more urgent rank arrives")
{
    RankDemand demand;
    CHECK(demand.isMostUrgent("chat", 4, seconds(1)));
    demand.record("chat", 3, seconds(1));
    demand.record("chat", 4, seconds(1));
    CHECK(demand.isMostUrgent("chat", 3, seconds(1)));
    CHECK_FALSE(demand.isMostUrgent("chat", 4, seconds(1)));
    CHECK(demand.isMostUrgent("desk", 4, seconds(1)));
    CHECK(demand.isMostUrgent("chat", 4, seconds(1) + RankDemand::Memory + milliseconds(1)));
    demand.record("chat", -5, seconds(9));
    demand.record("chat", 50, seconds(9));
    CHECK(demand.isMostUrgent("chat", 0, seconds(9)));
    CHECK_FALSE(demand.isMostUrgent("chat", 1, seconds(9)));
}

TEST_CASE("retry budget: all instances together stay within the limit in every window")
{
    const RetryLimits limits{0.2, 56, seconds(10)};
    constexpr std::size_t Instances = 8;
    std::vector<WindowedRetryBudget> budgets(Instances, WindowedRetryBudget(limits));
    std::deque<Instant> requests;
    std::deque<Instant> retries;
    // 40 requests a second, each of which asks for a retry.
    for (int i = 0; i < 2000; ++i) {
        const Instant time = seconds(100) + milliseconds(25 * i);
        WindowedRetryBudget &budget = budgets[static_cast<std::size_t>(i) % Instances];
        budget.recordRequest("desk", time);
        requests.push_back(time);
        if (budget.tryAcquire("desk", Instances, time))
            retries.push_back(time);
        for (auto *times : {&requests, &retries}) {
            while (time - times->front() > limits.window)
                times->pop_front();
        }
        const double allowed = limits.ratio * static_cast<double>(requests.size()) + limits.slack;
        REQUIRE(static_cast<double>(retries.size()) <= allowed);
    }
    CHECK(retries.size() > 40);
}

TEST_CASE("retry budget: services have separate budgets, and the share shrinks as the cluster grows")
{
    WindowedRetryBudget budget({0.2, 10, seconds(10)});
    int alone = 0;
    while (budget.tryAcquire("a", 1, seconds(1)))
        ++alone;
    CHECK(alone == 6);
    CHECK(budget.tryAcquire("b", 1, seconds(1)));
    CHECK_FALSE(budget.tryAcquire("c", 100, seconds(1)));
}
