#include "engine.h"

#include <doctest/doctest.h>

#include <map>

using namespace chestnutsill;
using namespace chestnutsill::emulator;

namespace {

constexpr EngineShape Shape{.slots = 2,
                            .memoryTokens = 10000,
                            .stepMs = 2,
                            .stepPerRunningMs = 1,
                            .stepPerThousandTokensMs = 0,
                            .readTokensPerMs = 100,
                            .readMsPerMillionPairs = 0,
                            .firstMs = 0,
                            .chunkTokens = 1000,
                            .tokensPerEvent = 2};

EngineRequest request(std::uint64_t id, std::vector<PromptPart> parts, int output, int rank = 0)
{
    EngineRequest made{id, {std::move(parts), 0, 0}, output, rank};
    for (const PromptPart &part : made.prompt.parts)
        made.prompt.tokens += part.tokens;
    return made;
}

/// Times in milliseconds of the first and the last event of each request.
struct Times
{
    std::map<std::uint64_t, double> first;
    std::map<std::uint64_t, double> done;
};

/// Runs an engine until it has no work left.
Times runUntilIdle(Engine &engine)
{
    Times times;
    double ms = 0;
    while (engine.hasWork()) {
        ms += engine.beginStep();
        for (const EngineEvent &event : engine.endStep()) {
            times.first.try_emplace(event.request, ms);
            if (event.done)
                times.done[event.request] = ms;
        }
    }
    return times;
}

} // namespace

TEST_CASE("a prompt is prefilled in chunks, then each step generates a token")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{7, 1500}}, 4));
    const Times times = runUntilIdle(engine);
    // Two steps of 3 ms prefill 1,500 tokens in another 15 ms; the second one generates the first token.
    CHECK(times.first.at(1) == doctest::Approx(6 + 15 + 3));
    CHECK(times.done.at(1) == doctest::Approx(6 + 15 + 9));
    CHECK(engine.tokensPrefilled() == doctest::Approx(1500));
}

TEST_CASE("an engine with twice the speed takes half the time")
{
    Engine engine(Shape, 2);
    engine.add(request(1, {{7, 1500}}, 4));
    CHECK(runUntilIdle(engine).done.at(1) == doctest::Approx((6 + 15 + 9) / 2.0));
}

TEST_CASE("a cached shared part isn't prefilled again until it was evicted")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 800}, {2, 100}}, 2));
    (void)runUntilIdle(engine);
    engine.add(request(2, {{1, 800}, {3, 100}}, 2));
    (void)runUntilIdle(engine);
    CHECK(engine.tokensPrefilled() == doctest::Approx(1000));
    CHECK(engine.sharedTokensPrefilled() == doctest::Approx(800));
    // Fills the memory, so that the least recently used parts are evicted.
    engine.add(request(3, {{4, 9800}}, 2));
    (void)runUntilIdle(engine);
    engine.add(request(4, {{1, 800}, {5, 100}}, 2));
    (void)runUntilIdle(engine);
    CHECK(engine.sharedTokensPrefilled() == doctest::Approx(1600));
}

TEST_CASE("the most urgent request is admitted first, and running requests never exceed the slots")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 10}}, 10, 1));
    engine.add(request(2, {{2, 10}}, 10, 1));
    engine.add(request(3, {{3, 10}}, 10, 1));
    engine.add(request(4, {{4, 10}}, 10, 0));
    const Times times = runUntilIdle(engine);
    CHECK(times.first.at(4) < times.first.at(2));
    CHECK(times.first.at(2) >= times.done.at(1));
    CHECK(times.first.at(3) >= times.done.at(4));
}

TEST_CASE("when memory runs out, the newest of the least urgent requests is preempted and still completes")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 4990}}, 200, 0));
    engine.add(request(2, {{2, 4990}}, 200, 1));
    const Times times = runUntilIdle(engine);
    CHECK(engine.preempted() >= 1);
    CHECK(times.done.at(1) < times.done.at(2));
}

TEST_CASE("a cancelled request produces no more events")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 100}}, 50));
    (void)engine.beginStep();
    (void)engine.endStep();
    engine.cancel(1);
    const Times times = runUntilIdle(engine);
    CHECK(times.done.empty());
}
