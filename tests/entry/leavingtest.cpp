#include "site.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace chestnutsill;
using support::callTo;
using support::Site;
using support::waitUntil;

namespace {

constexpr const char *Leaving = R"({"leaving":true})";
constexpr int Requests = 40;

/// Sends requests to an instance until one is answered by the upstream, which then is about to leave.
bool reaches(Site &site, std::size_t instance, const std::string &upstream, const std::string &path)
{
    return waitUntil([&] {
        const auto answer = site.call(instance, callTo(path, ""));
        return answer && answer->head.field("X-Server-Seal").starts_with(upstream + '.');
    });
}

/// Number of requests, of those sent to an instance from now on, that an upstream runs.
int runsFromNowOn(Site &site, std::size_t instance, const std::string &upstream, const std::string &path)
{
    int runs = 0;
    for (int i = 0; i < Requests; ++i) {
        const auto answer = site.call(instance, callTo(path, ""));
        REQUIRE(answer);
        runs += answer->head.field("X-Server-Seal").starts_with(upstream + '.') ? 1 : 0;
    }
    return runs;
}

} // namespace

TEST_CASE("leaving: an upstream that says so in its answers gets nothing more from the instance that it "
          "told, while "
          "the store still shows it as ready")
{
    for (const std::string path : {"/plain/x", "/booking/x", "/stream/x"}) {
        CAPTURE(path);
        Site site("leaving-answers");
        const std::string service = path == "/stream/x" ? "chat" : "desk";
        Site::Upstream &leaving = site.addUpstream("leaving", service);
        site.addUpstream("staying", service);
        site.start(1);
        REQUIRE(site.waitReady());
        Site::commandUpstream(leaving, Leaving);
        REQUIRE(reaches(site, 0, "leaving", path));
        CHECK(runsFromNowOn(site, 0, "leaving", path) == 0);
        // Each write of the entry, and its return after an outage, is one of the same process.
        site.publishUpstream(leaving, "ready");
        site.publishUpstream(leaving, "");
        CHECK(waitUntil([&] { return site.state(0).at("upstreams").as_array().size() == 1; }));
        site.publishUpstream(leaving, "ready");
        CHECK(waitUntil([&] { return site.state(0).at("upstreams").as_array().size() == 2; }));
        CHECK(runsFromNowOn(site, 0, "leaving", path) == 0);
    }
}

TEST_CASE(
    "leaving: an upstream that says so in a refusal or in the answer to a health check gets nothing more")
{
    // The mode in which the upstream does not serve, and the count that shows that it has said so.
    const std::vector<std::pair<std::string, std::string>> ways{{"shed", "refused"},
                                                                {"mute", "healthChecks"}};
    for (const auto &[mode, count] : ways) {
        CAPTURE(mode);
        Site site("leaving-" + mode);
        Site::Upstream &leaving = site.addUpstream("leaving", "desk");
        site.addUpstream("staying", "desk");
        site.start(1);
        REQUIRE(site.waitReady());
        Site::commandUpstream(leaving, R"({"leaving":true,"mode":")" + mode + "\"}");
        REQUIRE(waitUntil([&, counted = count] {
            (void)site.call(0, callTo("/plain/x", ""));
            return Site::stat(leaving, counted).as_int64() > 0;
        }));
        Site::commandUpstream(leaving, R"({"mode":"ok"})");
        CHECK(runsFromNowOn(site, 0, "leaving", "/plain/x") == 0);
    }
}

TEST_CASE("leaving: an upstream that starts again under its id gets requests again")
{
    Site site("leaving-again");
    Site::Upstream &leaving = site.addUpstream("leaving", "desk");
    leaving.startUnixMs = 1;
    site.publishUpstream(leaving, "ready");
    site.addUpstream("staying", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    Site::commandUpstream(leaving, Leaving);
    REQUIRE(reaches(site, 0, "leaving", "/plain/x"));
    REQUIRE(runsFromNowOn(site, 0, "leaving", "/plain/x") == 0);
    leaving.process->kill();
    site.startUpstream(leaving);
    leaving.startUnixMs = 2;
    site.publishUpstream(leaving, "ready");
    CHECK(reaches(site, 0, "leaving", "/plain/x"));
}
