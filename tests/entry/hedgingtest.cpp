#include "keptconnection.h"
#include "site.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <sstream>
#include <thread>

using namespace chestnutsill;
using std::chrono::milliseconds;
using support::callTo;
using support::KeptConnection;
using support::Site;
using support::waitUntil;

namespace {

using Clock = std::chrono::steady_clock;

/// What upstreams do with one request, by their ids.
std::string commandsAt(const std::string &commands)
{
    return R"({"at":{)" + commands + "}}";
}

/// Starts instances with two upstreams of a service and this share of second attempts.
void startSite(Site &site, const std::string &service, int instances, const std::string &ratio = "0.2")
{
    for (const char *number : {"-1", "-2"})
        site.addUpstream(service + number, service);
    if (!ratio.empty())
        site.setInstanceFlags({"--hedge-ratio", ratio});
    site.start(instances);
    REQUIRE(site.waitReady());
}

/// Sends requests that are answered at once, from which the instance learns how long answers take and earns
/// second attempts.
void sendFastRequests(Site &site, const std::string &path, int count, std::size_t instance = 0)
{
    for (int i = 0; i < count; ++i) {
        const auto answer = site.call(instance, callTo(path, ""));
        REQUIRE(answer);
        REQUIRE(answer->head.status == 200);
    }
}

/// What an upstream counts by attempt id under a name, for one of them.
std::int64_t countAt(const Site::Upstream &upstream, const std::string &name, const std::string &id)
{
    const auto counts = Site::stat(upstream, name);
    const auto *count = counts.is_object() ? counts.as_object().if_contains(id) : nullptr;
    return count == nullptr ? 0 : count->as_int64();
}

std::int64_t runsAt(Site &site, const std::string &upstream, const std::string &id)
{
    return countAt(site.upstream(upstream), "runs", id);
}

std::int64_t abandoned(Site &site)
{
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < site.upstreamCount(); ++i)
        sum += Site::stat(site.upstreamAt(i), "abandoned").as_int64();
    return sum;
}

/// Attempts with an id that ended before their answer, at all upstreams.
std::int64_t abandonedRuns(Site &site, const std::string &id)
{
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < site.upstreamCount(); ++i)
        sum += countAt(site.upstreamAt(i), "abandonedRuns", id);
    return sum;
}

/// Lines of the metrics of an instance that say which second attempts it made, and why not others.
std::string hedgeMetrics(Site &site)
{
    const auto page = support::call(site.address(0, site.metricsPort()), "GET", "/metrics");
    std::istringstream text(page ? page->body : std::string());
    std::string lines;
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with("chestnutsill_hedges"))
            lines += line + '\n';
    }
    return lines;
}

/// Requests that are sent until one gets a second attempt, which instances may deny, for example while
/// answers have become slower.
constexpr int MaxHedgeTries = 40;
/// Earns second attempts, and keeps slow answers well below the quantile after which one starts.
constexpr int FastRequests = 30;

/// Answer to a request, and how it came about.
struct Played
{
    std::optional<HttpResponse> answer;
    std::string id;
    milliseconds time{};
    /// Whether the first of two attempts was made at the first upstream of the service.
    bool beganAtFirst = false;
    std::int64_t runs = 0;
};

/// Sends a request with these commands for the two upstreams until it gets a second attempt, and begins at
/// the wanted one if that is stated, and returns that one.
Played play(Site &site, const std::string &path, const std::string &service, const std::string &commands,
            std::optional<bool> beginsAtFirst)
{
    Played played;
    for (int i = 0; i < MaxHedgeTries; ++i) {
        sendFastRequests(site, path, FastRequests);
        played.id = "played-" + std::to_string(Clock::now().time_since_epoch().count());
        const auto start = Clock::now();
        played.answer = site.call(0, callTo(path, played.id, commands));
        played.time = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
        played.runs = runsAt(site, service + "-1", played.id) + runsAt(site, service + "-2", played.id);
        if (played.runs < 2)
            continue;
        const auto startedAt = [&](const char *number) {
            return Site::stat(site.upstream(service + number), "lastStartMs").as_int64();
        };
        played.beganAtFirst = startedAt("-1") < startedAt("-2");
        if (!beginsAtFirst || played.beganAtFirst == *beginsAtFirst)
            return played;
    }
    FAIL("no request got a second attempt in the wanted order");
    return played;
}

constexpr int LearningRequests = 120;

} // namespace

TEST_CASE("hedging: a slow answer is overtaken, the first attempt is cancelled and its answer reaches nobody")
{
    Site site("hedge-slow");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto commands = commandsAt(R"("desk-1":{"workMs":900})");
    const Played played = play(site, "/plain/x", "desk", commands, true);
    REQUIRE(played.answer);
    CHECK(played.answer->head.status == 200);
    CHECK(played.answer->body == "body of " + played.id);
    CHECK(played.time < milliseconds(700));
    CHECK(played.runs == 2);
    // Requests on one connection after another while the late answer becomes ready.
    KeptConnection caller(site.address(0, site.callerPort()));
    const auto until = Clock::now() + milliseconds(1200);
    for (int i = 0; Clock::now() < until; ++i) {
        const std::string id = "next-" + std::to_string(i);
        const std::vector<HttpField> fields{
            {"Host", "site.example"}, {"X-Attempt-Id", id}, {"Authorization", "Bearer key-1"}};
        const auto answer = caller.call({"POST", "/plain/x", fields, "{}"}, std::chrono::seconds(5));
        REQUIRE(answer);
        CHECK(answer->body == "body of " + id);
    }
    CHECK(abandoned(site) >= 1);
    CHECK(site.counter(0, "hedges_total", "won") >= 1);
    CHECK(site.counter(0, "hedges_total", "first-cancelled") == site.counter(0, "hedges_total", "won"));
    const auto won = site.logged(0, "request-ended", "hedgeWon");
    CHECK(std::count(won.begin(), won.end(), boost::json::value(true))
          == site.counter(0, "hedges_total", "won"));
    const auto state = site.state(0);
    CHECK(state.at("bannedParts").as_array().empty());
}

TEST_CASE("hedging: a second attempt that is slower is cancelled, and nothing runs twice without the flag")
{
    Site site("hedge-slower");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto commands = commandsAt(R"("desk-1":{"workMs":300},"desk-2":{"workMs":2000})");
    const Played played = play(site, "/plain/x", "desk", commands, true);
    REQUIRE(played.answer);
    CHECK(played.answer->body == "body of " + played.id);
    CHECK(played.time < milliseconds(1500));
    CHECK(waitUntil([&] { return abandoned(site) >= 1; }));
    CHECK(site.counter(0, "hedges_total", "cancelled") >= 1);

    Site plain("hedge-off");
    startSite(plain, "desk", 1, "");
    sendFastRequests(plain, "/plain/x", LearningRequests);
    for (int i = 0; i < 4; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        const auto answer = plain.call(
            0, callTo("/plain/x", id, commandsAt(R"("desk-1":{"workMs":300},"desk-2":{"workMs":300})")));
        REQUIRE(answer);
        CHECK(answer->head.status == 200);
        CHECK(plain.runsOf(id) == 1);
    }
}

TEST_CASE("hedging: an attempt that fails while the other one runs leaves the request to that one")
{
    Site site("hedge-fails");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    for (const std::string mode : {"reset", "error"}) {
        CAPTURE(mode);
        // Requests begin at the upstream that has failed less, so each one fails twice in succession.
        bool seenFirst = false;
        bool seenSecond = false;
        for (int i = 0; i < 12 && !(seenFirst && seenSecond); ++i) {
            const bool failsAtFirst = i / 2 % 2 == 0;
            const std::string failing = R"({"workMs":200,"mode":")" + mode + R"("})";
            const std::string slow = R"({"workMs":500})";
            const Played played = play(site, "/plain/x", "desk",
                                       commandsAt(R"("desk-1":)" + (failsAtFirst ? failing : slow)
                                                  + R"(,"desk-2":)" + (failsAtFirst ? slow : failing)),
                                       std::nullopt);
            REQUIRE(played.answer);
            CHECK(played.answer->head.status == 200);
            CHECK(played.answer->body == "body of " + played.id);
            CHECK(played.time >= milliseconds(490));
            CHECK(played.runs == 2);
            (played.beganAtFirst == failsAtFirst ? seenFirst : seenSecond) = true;
        }
        CHECK(seenFirst);
        CHECK(seenSecond);
    }
}

TEST_CASE("hedging: when both attempts fail, the caller gets the error and no third attempt is made")
{
    Site site("hedge-both-fail");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto errors =
        commandsAt(R"("desk-1":{"workMs":200,"mode":"error"},"desk-2":{"workMs":200,"mode":"error"})");
    const Played failed = play(site, "/plain/x", "desk", errors, std::nullopt);
    REQUIRE(failed.answer);
    CHECK(failed.answer->head.status == 500);
    CHECK(failed.answer->body == "body of " + failed.id);
    CHECK(failed.runs == 2);
    const auto resets =
        commandsAt(R"("desk-1":{"workMs":200,"mode":"reset"},"desk-2":{"workMs":200,"mode":"reset"})");
    const Played broken = play(site, "/plain/x", "desk", resets, std::nullopt);
    REQUIRE(broken.answer);
    CHECK(broken.answer->head.status == 502);
    CHECK(broken.runs == 2);
    // A request that was running when a connection broke without a crash is not suspected.
    CHECK(site.state(0).at("bannedParts").as_array().empty());
}

TEST_CASE("hedging: a request that was running at a crash gets no second attempt when it is retried")
{
    constexpr int MaxTries = 20;
    Site site("hedge-crash");
    site.table().at("routes").as_array().at(0).as_object()["max_attempts"] = 3;
    site.publishTable();
    site.addUpstream("desk-3", "desk");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto commands =
        commandsAt(R"("desk-1":{"workMs":0,"mode":"exit"},"desk-2":{"workMs":300},"desk-3":{"workMs":300})");
    const auto denied = [&] { return site.counter(0, "hedges_denied_total", "suspected-crash"); };
    // The crash has to come in the first attempt, and the request that is retried waits at another upstream.
    for (int i = 0; i < MaxTries && denied() == 0; ++i) {
        const std::string id = "crashing-" + std::to_string(i);
        const auto answer = site.call(0, callTo("/plain/x", id, commands));
        REQUIRE(answer);
        CHECK(answer->head.status == 200);
        const auto runs = site.allRuns();
        CHECK(runs.count(id) <= 2);
        site.startUpstream(site.upstream("desk-1"));
    }
    CHECK(denied() >= 1);
}

TEST_CASE("hedging: a resumable stream gets the events of one upstream")
{
    Site site("hedge-stream");
    startSite(site, "chat", 1);
    sendFastRequests(site, "/stream/stream/x", LearningRequests);
    const auto commands = commandsAt(R"("chat-1":{"headMs":900})");
    for (const char *id : {"chat-1", "chat-2"})
        Site::commandUpstream(site.upstream(id), R"({"eventMs":1})");
    const Played played = play(site, "/stream/stream/x", "chat", commands, true);
    REQUIRE(played.answer);
    CHECK(played.time < milliseconds(700));
    std::string events;
    for (int i = 1; i <= 6; ++i)
        events += "id: " + std::to_string(i) + "\ndata: token\n\n";
    CHECK(played.answer->body == events);
    CHECK(played.runs == 2);
}

TEST_CASE("hedging: what may run once only never runs twice")
{
    constexpr int Requests = 12;
    Site site("hedge-once");
    startSite(site, "desk", 2);
    for (const char *id : {"chat-1", "chat-2"})
        site.addUpstream(id, "chat");
    REQUIRE(site.waitReady());
    sendFastRequests(site, "/plain/x", LearningRequests);
    sendFastRequests(site, "/booking/x", LearningRequests);
    sendFastRequests(site, "/streamonce/stream/x", LearningRequests / 2);
    const auto startedBefore = site.counter(0, "hedges_total", "started");
    const auto slow = commandsAt(R"("desk-1":{"workMs":300},"desk-2":{"workMs":300},"chat-1":{"headMs":300},)"
                                 R"("chat-2":{"headMs":300})");
    for (int i = 0; i < Requests; ++i) {
        const std::string id = "once-" + std::to_string(i);
        const std::string path = i % 2 == 0 ? "/booking/x" : "/streamonce/stream/x";
        const auto answer = site.call(0, callTo(path, id, slow));
        REQUIRE(answer);
        CHECK(answer->head.status == 200);
    }
    for (const auto &[id, at] : site.allRuns()) {
        if (id.starts_with("once-"))
            CHECK(site.runsOf(id) == 1);
    }
    CHECK(site.counter(0, "hedges_total", "started") == startedBefore);
}

TEST_CASE("hedging: several instances together stay within the share of the requests")
{
    constexpr int Instances = 3;
    constexpr int Requests = 120;
    Site site("hedge-limit");
    startSite(site, "desk", Instances, "0.05");
    std::vector<std::future<void>> callers;
    for (std::size_t instance = 0; instance < Instances; ++instance) {
        callers.push_back(std::async(std::launch::async, [&site, instance] {
            for (int i = 0; i < Requests; ++i) {
                // Of the requests after those from which the instance learns, one in four is slow.
                const bool isSlow = i > 40 && i % 4 == 0;
                (void)site.call(instance,
                                callTo("/plain/x", "r" + std::to_string(instance) + '-' + std::to_string(i),
                                       isSlow ? commandsAt(R"("desk-1":{"workMs":200})") : "{}"));
            }
        }));
    }
    callers.clear();
    std::int64_t started = 0;
    for (std::size_t instance = 0; instance < Instances; ++instance)
        started += site.counter(instance, "hedges_total", "started");
    CHECK(started > 0);
    CHECK(started <= Instances * Requests / 20);
    CHECK(static_cast<std::int64_t>(site.allRuns().size()) == Instances * Requests + started);
}

TEST_CASE("hedging: a caller that leaves while both attempts run ends the work at both upstreams")
{
    Site site("hedge-caller-leaves");
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto slow = commandsAt(R"("desk-1":{"workMs":900},"desk-2":{"workMs":900})");
    std::int64_t runs = 0;
    bool isHedged = false;
    for (int i = 0; i < MaxHedgeTries && !isHedged; ++i) {
        sendFastRequests(site, "/plain/x", FastRequests);
        const std::string id = "leaving-" + std::to_string(i);
        CAPTURE(id);
        support::SiteCall call = callTo("/plain/x", id, slow);
        call.timeout = milliseconds(400);
        CHECK(!site.call(0, call));
        CHECK(waitUntil([&] { return abandonedRuns(site, id) == site.runsOf(id); }));
        isHedged = site.runsOf(id) == 2;
        runs += site.runsOf(id);
    }
    CAPTURE(hedgeMetrics(site));
    REQUIRE(isHedged);
    sendFastRequests(site, "/plain/x", 4);
    const auto reasons = site.logged(0, "attempt-failed", "reason");
    CHECK(std::count(reasons.begin(), reasons.end(), boost::json::value("caller-gone")) == runs);
}

TEST_CASE("hedging: an instance that stops while both attempts run answers the caller")
{
    /// After this wait for the second attempt, both take longer than the grace time.
    constexpr milliseconds MaxWait{500};
    Site site("hedge-stop");
    site.setTerminationGrace(2);
    startSite(site, "desk", 1);
    sendFastRequests(site, "/plain/x", LearningRequests);
    const auto slow = commandsAt(R"("desk-1":{"workMs":2800},"desk-2":{"workMs":2800})");
    std::future<std::optional<HttpResponse>> answer;
    std::string id;
    bool isHedged = false;
    for (int i = 0; i < MaxHedgeTries && !isHedged; ++i) {
        sendFastRequests(site, "/plain/x", FastRequests);
        id = "stopped-" + std::to_string(i);
        answer =
            std::async(std::launch::async, [&, id] { return site.call(0, callTo("/plain/x", id, slow)); });
        isHedged = waitUntil([&] { return site.runsOf(id) == 2; }, MaxWait);
        if (!isHedged) {
            const auto response = answer.get();
            REQUIRE(response);
            CHECK(response->head.status == 200);
        }
    }
    CAPTURE(hedgeMetrics(site));
    REQUIRE(isHedged);
    site.instances()[0].process->signal(SIGTERM);
    const auto response = answer.get();
    REQUIRE(response);
    CHECK(response->head.status == 502);
    CHECK(response->body.find("leaving") != std::string::npos);
    CHECK(waitUntil([&] { return abandonedRuns(site, id) == 2; }));
}
