#include "chestnutsill/policy/prefillrate.h"

#include <doctest/doctest.h>

#include <random>

using namespace chestnutsill;

namespace {

Instant timeFor(double tokens, double tokensPerMs)
{
    return std::chrono::duration_cast<Instant>(
        std::chrono::duration<double, std::milli>(tokens / tokensPerMs));
}

/// The rate learnt from `count` prompts at engines with the given rate, of which one in `strayEvery` takes
/// ten times as long or is almost fully cached.
double learnt(double tokensPerMs, int count, int strayEvery)
{
    PrefillRateEstimator estimator;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> tokens(1000, 16'000);
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    for (int i = 0; i < count; ++i) {
        const double size = tokens(random);
        double rate = tokensPerMs * noise(random);
        if (i % strayEvery == 0)
            rate *= i % 2 == 0 ? 0.1 : 20;
        estimator.record("chat", size, timeFor(size, rate));
    }
    return estimator.tokensPerMs("chat");
}

} // namespace

TEST_CASE("prefill rate: learnt for engines half and twice as fast as assumed, despite stragglers")
{
    for (const double rate : {25.0, 36.7, 50.0, 100.0}) {
        CAPTURE(rate);
        CHECK(learnt(rate, 200, 5) == doctest::Approx(rate).epsilon(0.1));
    }
}

TEST_CASE("prefill rate: short prompts and services without samples leave the assumed rate")
{
    PrefillRateEstimator estimator;
    estimator.record("chat", PrefillRateEstimator::MinTokens - 1, milliseconds(500));
    estimator.record("chat", 4000, Instant{});
    CHECK(estimator.tokensPerMs("chat") == PrefillRateEstimator::InitialTokensPerMs);
    estimator.record("chat", 4000, milliseconds(400));
    CHECK(estimator.tokensPerMs("chat") < PrefillRateEstimator::InitialTokensPerMs);
    CHECK(estimator.tokensPerMs("other") == PrefillRateEstimator::InitialTokensPerMs);
    CHECK(estimator.rates().size() == 1);
}
