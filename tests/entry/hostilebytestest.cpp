#include "rawserver.h"
#include "site.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace chestnutsill;
using support::callTo;
using support::RawResponse;
using support::RawServer;
using support::Site;
using support::SiteCall;
using support::waitUntil;

namespace {

/// Bytes that an instance may hold for one upstream connection and its caller, far below its memory limit.
constexpr std::int64_t MaxGrowthKb = 24 << 10;

const std::string Block(64 << 10, 'x');

/// Peak resident memory of a process in KB.
std::int64_t peakMemoryKb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoll(line.substr(6));
    }
    return 0;
}

/// Starts one instance with a server of raw bytes as the only upstream of a service.
void startWith(Site &site, const RawServer &server, const std::string &service)
{
    site.start(1);
    REQUIRE(site.waitReady());
    Site::Upstream upstream;
    upstream.id = "raw-1";
    upstream.service = service;
    upstream.zone = "a";
    upstream.publishedAddress = server.address();
    site.publishUpstream(upstream, "ready");
    REQUIRE(waitUntil([&] { return site.state(0).at("upstreams").as_array().size() == 1; }));
}

/// Sends a request whose upstream responds with these bytes. Checks that the caller gets no success soon
/// after its deadline, that the instance closes the connection to the upstream, and that its memory stays
/// flat.
void checkEndless(const std::string &name, const std::string &path, RawResponse response)
{
    CAPTURE(name);
    constexpr std::chrono::milliseconds Deadline{800};
    Site site("endless-" + name);
    const RawServer server(std::move(response));
    startWith(site, server, path.starts_with("/stream") ? "chat" : "desk");
    const pid_t pid = site.instances()[0].process->pid();
    const std::int64_t before = peakMemoryKb(pid);
    SiteCall call = callTo(path, "");
    call.fields = {{"X-Deadline-Ms", std::to_string(Deadline.count())}};
    const auto answer = site.call(0, call);
    const bool isSuccess = answer && answer->head.status == 200;
    CHECK_FALSE(isSuccess);
    CHECK(waitUntil([&] { return server.closedByPeer() == server.requests(); }));
    CHECK(server.requests() > 0);
    CHECK_FALSE(server.reachedLimit());
    CHECK(peakMemoryKb(pid) - before < MaxGrowthKb);
    CHECK(site.readiness(0) == 200);
}

const std::string PlainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: raw-1\r\n";
const std::string StreamHead = PlainHead + "Content-Type: text/event-stream\r\n";

} // namespace

TEST_CASE("bytes: an upstream that sends bytes without end is cut off at the deadline, and memory stays flat")
{
    checkEndless("head", "/plain/x", {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Filler: ", Block});
    checkEndless("fields", "/plain/x", {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"});
    checkEndless("interim", "/plain/x", {"", "HTTP/1.1 100 Continue\r\n\r\n"});
    checkEndless("no-http", "/plain/x", {"", Block});
    checkEndless("body", "/plain/x", {PlainHead + "\r\n", Block});
    checkEndless("chunk-extension", "/plain/x", {PlainHead + "Transfer-Encoding: chunked\r\n\r\n5;", Block});
    checkEndless(
        "chunks", "/plain/x",
        {PlainHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + std::string(0x4000, 'x') + "\r\n"});
    checkEndless("refusal", "/plain/x",
                 {"HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\r\n", Block});
    checkEndless("stray", "/plain/x", {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", Block});
    checkEndless("event", "/stream/x", {StreamHead + "\r\nid: 1\ndata: ", Block});
    checkEndless("stream-drip", "/stream/x",
                 {StreamHead + "\r\nid: 1\ndata: ", "x", -1, std::chrono::milliseconds(1)});
}

TEST_CASE("bytes: a stream whose connection ends in the middle of an event is not passed on as complete")
{
    Site site("middle");
    const RawServer server({StreamHead + "\r\nid: 1\ndata: a\n\n", "id: 2\nda", 1});
    startWith(site, server, "chat");
    CHECK_FALSE(site.call(0, callTo("/stream/x", "m1")).has_value());
}

TEST_CASE("bytes: an answer that ends with its connection is passed on whole")
{
    Site stream("ends-stream");
    const RawServer events({StreamHead + "\r\n", "id: 1\ndata: a\n\n", 2});
    startWith(stream, events, "chat");
    const auto streamed = stream.call(0, callTo("/stream/x", "e1"));
    REQUIRE(streamed);
    CHECK(streamed->body == "id: 1\ndata: a\n\nid: 1\ndata: a\n\n");
    Site plain("ends-plain");
    const RawServer text({"HTTP/1.1 200 OK\r\nX-Attempt-Id: e2\r\n\r\n", "whole", 2});
    startWith(plain, text, "desk");
    const auto answer = plain.call(0, callTo("/plain/x", "e2"));
    REQUIRE(answer);
    CHECK(answer->body == "wholewhole");
}

TEST_CASE("bytes: a stream that sends an event now and then is passed on until its end")
{
    Site site("slow");
    const RawServer server({StreamHead + "\r\n", "id: 1\ndata: a\n\n", 10, std::chrono::milliseconds(250)});
    startWith(site, server, "chat");
    const auto answer = site.call(0, callTo("/stream/x", "s1"));
    REQUIRE(answer);
    std::size_t events = 0;
    for (auto at = answer->body.find("data: a"); at != std::string::npos;
         at = answer->body.find("data: a", at + 1))
        ++events;
    CHECK(events == 10);
}
