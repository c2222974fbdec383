#include "chestnutsill/policy/fairqueue.h"
#include "chestnutsill/policy/forecastpacer.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

TEST_CASE("forecast: a class is over it after its burst is used, and within it again as time passes")
{
    RequestClass requestClass;
    requestClass.name = "chat";
    requestClass.monthlyRequests = 30 * 24 * 3600;
    requestClass.tokensPerRequest = 8;
    // 8 tokens per second over 4 instances: 2 per second each, and a burst of 4 hours of that.
    ForecastPacer pacer;
    const Instant start = seconds(10);
    CHECK_FALSE(pacer.isOverForecast(requestClass, 4, start));
    pacer.recordUse(requestClass, 4, 4 * 3600 * 2, start);
    CHECK_FALSE(pacer.isOverForecast(requestClass, 4, start));
    pacer.recordUse(requestClass, 4, 20, start);
    CHECK(pacer.isOverForecast(requestClass, 4, start));
    CHECK(pacer.isOverForecast(requestClass, 4, start + seconds(9)));
    CHECK_FALSE(pacer.isOverForecast(requestClass, 4, start + seconds(11)));
}

TEST_CASE("forecast: a class with a forecast of zero tokens is never over it")
{
    RequestClass requestClass;
    requestClass.name = "booking";
    ForecastPacer pacer;
    pacer.recordUse(requestClass, 1, 1e9, seconds(1));
    CHECK_FALSE(pacer.isOverForecast(requestClass, 1, seconds(1)));
}

TEST_CASE("forecast: within a tier, requests beyond the forecast yield to requests within it")
{
    FairQueue queue;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        SlotRequest request;
        request.ticket = {"holder", 1, number};
        request.account = "account-" + std::to_string(number);
        request.overForecast = number <= 2;
        queue.push(request, seconds(number));
    }
    const auto any = [](const SlotRequest &) { return true; };
    CHECK_FALSE(queue.take(any)->request.overForecast);
    CHECK_FALSE(queue.take(any)->request.overForecast);
    CHECK(queue.take(any)->request.overForecast);
    CHECK(queue.size() == 1);
}
