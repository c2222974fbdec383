#include "daemon/upstreamcall.h"
#include "scenario.h"

#include <doctest/doctest.h>

using namespace chestnutsill;
using namespace chestnutsill::support;

TEST_CASE("attempt: nothing is sent unless address, incarnation and the final check allow it")
{
    Cluster cluster("attempt");
    configureWorkload(cluster);
    addEngine(cluster, "engine-1", "za", 4, 4);
    const std::string address = cluster.upstream("engine-1").address;
    REQUIRE(waitUntil([&] { return !readObject(address, "/load").empty(); }));
    const std::string incarnation(readObject(address, "/load").at("incarnation").as_string());
    struct Case
    {
        const char *name;
        std::string address;
        std::string incarnation;
        bool mayStart;
        RunOutcome outcome;
        Verdict verdict;
        std::int64_t runs;
    };
    const Case cases[] = {
        {"all allow it", address, incarnation, true, RunOutcome::Completed, Verdict::Answered, 1},
        {"the last check forbids it", address, incarnation, false, RunOutcome::NotStarted, Verdict::NotRun,
         0},
        {"another incarnation", address, "other", true, RunOutcome::OtherIncarnation, Verdict::NotRun, 0},
        {"nobody listens", loopback(freePort()), incarnation, true, RunOutcome::ConnectFailed,
         Verdict::NotRun, 0},
    };
    for (const Case &item : cases) {
        CAPTURE(item.name);
        const std::string attemptId = "attempt-" + std::string(item.name);
        Attempt attempt;
        boost::asio::io_context io;
        startFiber(io, [&](const Fiber &fiber) {
            HeldGrant held;
            held.grant.upstream = "engine-1";
            held.grant.address = item.address;
            held.grant.incarnation = item.incarnation;
            UpstreamRequest request;
            request.target = "/v1/chat/completions";
            request.body = R"({"standin":{"tokens":1}})";
            request.attemptId = attemptId;
            request.endBy = now() + seconds(10);
            const AttemptChecks checks{[&] { return item.mayStart; }, [] { return false; }};
            const UpstreamSink sink{[](const HttpHead &) { return true; },
                                    [](std::string_view) { return true; }};
            attempt = callUpstream(held, request, checks, sink, fiber);
        });
        io.run();
        CHECK((attempt.outcome == item.outcome));
        CHECK((attempt.verdict == item.verdict));
        CHECK(cluster.runsOf(attemptId) == item.runs);
    }
}
