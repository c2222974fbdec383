#include "site.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Site;
using support::SiteCall;

namespace {

constexpr int Engines = 9;
/// Crashes after which no further request with the part may reach an engine.
constexpr int MaxCrashes = 5;

/// A call whose prompt has common parts, then `shared` and one of its own.
SiteCall promptCall(const std::string &shared, int number, int commonParts = 1)
{
    const std::string own = std::to_string(number);
    std::string common;
    for (int i = 1; i <= commonParts; ++i)
        common += "f" + std::to_string(i) + ":100,";
    SiteCall call = callTo("/streamonce/stream/" + own, "", "body " + own);
    call.fields = {{"X-Model", "m"},
                   {"X-Token-Count", "400,20"},
                   {"X-Prefix-Hash", common + shared + ":200,a" + own + ":100"}};
    return call;
}

int crashedEngines(Site &site)
{
    int crashed = 0;
    for (int i = 0; i < Engines; ++i)
        crashed += Site::stat(site.upstream("chat-" + std::to_string(i)), "started").is_null() ? 1 : 0;
    return crashed;
}

void startSite(Site &site, int instances)
{
    for (int i = 0; i < Engines; ++i) {
        const auto &engine = site.addUpstream("chat-" + std::to_string(i), "chat");
        // Crashes lie further apart than those that count as one failure.
        Site::commandUpstream(engine, R"({"events":3,"eventMs":120})");
    }
    site.start(instances);
}

/// Sends requests that share the part that crashes engines, and sound ones with the same common part, in turn
/// to all instances.
void sendCrashingRequests(Site &site, int count, int commonParts = 1)
{
    for (int i = 0; i < count; ++i) {
        const auto instance = static_cast<std::size_t>(i);
        (void)site.call(instance % site.instances().size(), promptCall("dead", i, commonParts));
        (void)site.call((instance + 1) % site.instances().size(), promptCall("50d", i, commonParts));
    }
}

/// Sends requests with a part that crashes engines and checks that it is refused then, and sound ones served.
void checkRefusedAfterFewCrashes(const std::string &name, int commonParts)
{
    constexpr int Requests = 18;
    Site site(name);
    startSite(site, 3);
    REQUIRE(site.waitReady());
    sendCrashingRequests(site, Requests, commonParts);
    REQUIRE(crashedEngines(site) <= MaxCrashes);
    for (int i = 0; i < 3; ++i) {
        const auto instance = static_cast<std::size_t>(i);
        const auto refused = site.call(instance, promptCall("dead", Requests + i, commonParts));
        REQUIRE(refused);
        CHECK(refused->head.status == 503);
        CHECK_FALSE(refused->head.field("Retry-After").empty());
        const auto served = site.call(instance, promptCall("50d", Requests + i, commonParts));
        REQUIRE(served);
        CHECK(served->head.status == 200);
    }
}

} // namespace

TEST_CASE("crashing part: requests that share it are refused after few crashes, and sound ones are served")
{
    checkRefusedAfterFewCrashes("crashing-part", 1);
}

// Guards against a part that is never suspected because of its position in a long prompt.
TEST_CASE("crashing part: it is refused after few crashes also behind tens and hundreds of common parts")
{
    checkRefusedAfterFewCrashes("crashing-part-40", 39);
    checkRefusedAfterFewCrashes("crashing-part-208", 207);
}

TEST_CASE("crashing part: an instance that starts later refuses it too")
{
    constexpr int Requests = 12;
    Site site("crashing-part-restart");
    startSite(site, 2);
    REQUIRE(site.waitReady());
    sendCrashingRequests(site, Requests);
    const int crashed = crashedEngines(site);
    REQUIRE(crashed <= MaxCrashes);
    site.instances()[1].process->kill();
    site.startInstance(1);
    REQUIRE(support::waitUntil([&] {
        const boost::json::object state = site.state(1);
        return state.contains("bannedParts") && state.at("bannedParts").as_array().size() == 1;
    }));
    for (int i = 0; i < 4; ++i) {
        const auto refused = site.call(1, promptCall("dead", Requests + i));
        REQUIRE(refused);
        CHECK(refused->head.status == 503);
    }
    CHECK(crashedEngines(site) == crashed);
}

TEST_CASE("crashing part: with many callers and engines that return, sound requests beside it are served")
{
    constexpr int Callers = 3;
    constexpr int CrashingCalls = 12;
    constexpr int SoundCalls = 40;
    Site site("crashing-part-load");
    startSite(site, 3);
    REQUIRE(site.waitReady());
    std::atomic<int> served = 0;
    std::atomic<int> callersLeft = 2 * Callers;
    std::vector<std::future<void>> callers;
    const auto callRepeatedly = [&](const std::string &shared, const std::string &name, int caller,
                                    int count) {
        for (int i = 0; i < count; ++i) {
            SiteCall call = promptCall(shared, caller * count + i);
            call.attemptId = name + std::to_string(caller * count + i);
            const auto answer = site.call(static_cast<std::size_t>(i + caller) % 3, call);
            served += shared != "dead" && answer && answer->head.status == 200 ? 1 : 0;
        }
        --callersLeft;
    };
    for (int caller = 0; caller < Callers; ++caller) {
        callers.push_back(
            std::async(std::launch::async, callRepeatedly, "dead", "crashing", caller, CrashingCalls));
        callers.push_back(std::async(std::launch::async, callRepeatedly, "50d", "sound", caller, SoundCalls));
    }
    int crashes = 0;
    const auto restartEngines = [&] {
        for (int i = 0; i < Engines; ++i) {
            auto &engine = site.upstream("chat-" + std::to_string(i));
            if (!Site::stat(engine, "started").is_null())
                continue;
            ++crashes;
            site.startUpstream(engine);
        }
    };
    while (callersLeft > 0) {
        restartEngines();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    callers.clear();
    restartEngines();
    CHECK(crashes > 0);
    CHECK(crashes <= MaxCrashes);
    CHECK(served * 2 >= Callers * SoundCalls);
}
