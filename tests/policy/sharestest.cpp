#include "chestnutsill/policy/coldstartlimiter.h"
#include "chestnutsill/policy/windowedretrybudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

constexpr double ColdPerSecond = 6.6;
constexpr double ColdBound = ColdPerSecond * 1.5 + 5;

std::vector<std::string> names(int first, int count)
{
    std::vector<std::string> made;
    for (int i = first; i < first + count; ++i)
        made.push_back("instance-" + std::to_string(i));
    return made;
}

/// Most requests that any second holds.
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

/// Sends a request to a cold upstream if the share allows it; returns whether it does.
bool admit(ColdStartLimiter &share, std::string_view upstream, double perSecond, std::string_view ownName,
           std::span<const std::string> instances, Instant now)
{
    if (!share.maySend(upstream, perSecond, ownName, instances, now))
        return false;
    share.recordSend(upstream, now);
    return true;
}

/// All instances of a view press a cold upstream as fast as they can; returns when they sent.
std::vector<Instant> press(const std::vector<std::string> &view, std::string_view upstream, Instant from)
{
    std::vector<Instant> sent;
    std::vector<ColdStartLimiter> shares(view.size());
    for (Instant time = from; time < from + seconds(6); time += milliseconds(1)) {
        for (std::size_t i = 0; i < view.size(); ++i) {
            if (admit(shares[i], upstream, ColdPerSecond, view[i], view, time))
                sent.push_back(time);
        }
    }
    return sent;
}

} // namespace

TEST_CASE("cold share: all instances together stay under the bound, and use a part of it")
{
    for (const int size : {1, 2, 8, 88}) {
        const auto sent = press(names(0, size), "u1", seconds(1));
        CHECK(static_cast<double>(busiestSecond(sent)) <= ColdBound);
        CHECK(sent.size() >= 12);
    }
}

TEST_CASE("cold share: two views of the fleet that have nothing in common stay under the bound together")
{
    for (int trial = 0; trial < 20; ++trial) {
        const std::string upstream = "u" + std::to_string(trial);
        auto sent = press(names(0, 4), upstream, seconds(1));
        const auto other = press(names(4, 4), upstream, seconds(1) + milliseconds(trial));
        sent.insert(sent.end(), other.begin(), other.end());
        CHECK(static_cast<double>(busiestSecond(sent)) <= ColdBound);
    }
}

TEST_CASE("cold share: an upstream that bears nothing gets nothing")
{
    ColdStartLimiter share;
    CHECK_FALSE(admit(share, "u1", 0, "me", names(0, 1), seconds(1)));
}

TEST_CASE("repeat budget: all instances together stay under the bound of every window")
{
    const RetryLimits bounds{0.2, 56, seconds(10)};
    constexpr std::size_t Instances = 8;
    std::vector<WindowedRetryBudget> budgets(Instances, WindowedRetryBudget(bounds));
    std::deque<Instant> requests;
    std::deque<Instant> repeats;
    // Forty requests a second, each of which wants to be repeated.
    for (int i = 0; i < 2000; ++i) {
        const Instant time = seconds(100) + milliseconds(25 * i);
        WindowedRetryBudget &budget = budgets[static_cast<std::size_t>(i) % Instances];
        budget.earn("desk", time);
        requests.push_back(time);
        if (budget.spend("desk", Instances, time))
            repeats.push_back(time);
        for (auto *times : {&requests, &repeats}) {
            while (time - times->front() > bounds.window)
                times->pop_front();
        }
        const double allowed = bounds.ratio * static_cast<double>(requests.size()) + bounds.slack;
        REQUIRE(static_cast<double>(repeats.size()) <= allowed);
    }
    CHECK(repeats.size() > 40);
}

TEST_CASE("repeat budget: services don't share, and the share shrinks as the fleet grows")
{
    WindowedRetryBudget budget({0.2, 10, seconds(10)});
    int alone = 0;
    while (budget.spend("a", 1, seconds(1)))
        ++alone;
    CHECK(alone == 6);
    CHECK(budget.spend("b", 1, seconds(1)));
    CHECK_FALSE(budget.spend("c", 100, seconds(1)));
}
