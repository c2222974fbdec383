#include "simulation.h"
#include "scenario.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace chestnutsill;
using namespace chestnutsill::emulator;

namespace {

std::string textOf(const std::string &name)
{
    std::ifstream file(std::string(CHESTNUTSILL_SCENARIOS) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Scenario scenarioOf(const std::string &name)
{
    ValidationErrors errors;
    auto scenario = parseScenario(textOf(name), errors);
    REQUIRE(errors.empty());
    return *scenario;
}

double meanWorth(const Scenario &scenario, std::string_view policy)
{
    constexpr std::uint64_t Seeds = 3;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
        sum += simulate(scenario, *policyOf(policy), seed).worth();
    return sum / Seeds;
}

} // namespace

TEST_CASE("an invalid scenario is rejected with the path of each invalid field")
{
    ValidationErrors errors;
    std::string text = textOf("small.json");
    text.replace(text.find("\"engines\": 9"), 12, "\"engines\": 0, \"color\": 1");
    CHECK_FALSE(parseScenario(text, errors));
    const auto names = [&](const std::string &path) {
        return std::any_of(errors.begin(), errors.end(),
                           [&](const ValidationError &error) { return error.path == path; });
    };
    CHECK(names("engines"));
    CHECK(names("color"));
}

TEST_CASE("a burst of an unknown class is rejected")
{
    ValidationErrors errors;
    std::string text = textOf("small.json");
    text.replace(text.find("{\"class\": \"plan\""), 16, "{\"class\": \"none\"");
    CHECK_FALSE(parseScenario(text, errors));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].path == "bursts[0].class");
}

TEST_CASE("the same seed yields the same result, whatever was simulated before")
{
    const Scenario scenario = scenarioOf("small.json");
    const Result first = simulate(scenario, *policyOf("place"), 5);
    const Result second = simulate(scenario, *policyOf("place"), 5);
    CHECK(first.worth() == second.worth());
    CHECK(first.tokensPrefilled == second.tokensPrefilled);
    // Arrivals don't depend on the policy.
    CHECK(simulate(scenario, *policyOf("least"), 5).classes[0].offered == first.classes[0].offered);
}

TEST_CASE("each offered request is counted once")
{
    const Result result = simulate(scenarioOf("small.json"), *policyOf("least"), 2);
    for (const ClassResult &each : result.classes) {
        CHECK(each.offered > 0);
        CHECK(each.onTime + each.late <= each.offered);
        CHECK(each.earned <= each.attainable);
    }
}

TEST_CASE("in a burst of long prompts, the daemon's policy beats least-loaded and hash selection")
{
    const Scenario scenario = scenarioOf("small.json");
    const double placed = meanWorth(scenario, "place");
    CHECK(placed > meanWorth(scenario, "least"));
    CHECK(placed > meanWorth(scenario, "hash"));
}

TEST_CASE("fetching from other engines reduces repeated prefill and improves service in a burst")
{
    const Scenario scenario = scenarioOf("small.json");
    const Result fetching = simulate(scenario, *policyOf("place"), 1);
    const Result staying = simulate(scenario, *policyOf("stay"), 1);
    CHECK(fetching.fetched > 0);
    CHECK(staying.fetched == 0);
    CHECK(fetching.sharedTokensRecomputed < staying.sharedTokensRecomputed);
    CHECK(meanWorth(scenario, "place") > meanWorth(scenario, "stay"));
}
