#include "crowd.h"
#include "rawcaller.h"
#include "rawserver.h"
#include "site.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Crowd;
using support::RawServer;
using support::Site;
using support::waitUntil;

namespace {

/// Memory and descriptors that the settings of these tests give to an instance.
constexpr std::int64_t MemoryMb = 48;
constexpr std::int64_t FileDescriptors = 128;
/// Number of abnormal clients.
constexpr int CrowdSize = 200;
/// An instance is back at its memory before the crowd if it holds at most this much more: a sixth of its
/// memory.
constexpr std::int64_t MaxKeptKb = (MemoryMb << 10) / 6;
/// Limits of the routing table: the default head size and a body that a caller of long prompts may send.
constexpr int MaxHeadBytes = 16'384;
constexpr int MaxBodyBytes = 1 << 20;
/// How long the crowd stays after it has sent everything.
constexpr std::chrono::milliseconds CrowdStay{1000};

/// How often a server that holds a connection without sending checks whether the test ends.
constexpr std::chrono::milliseconds HoldPause{50};

/// A value in KB from the status of a process.
std::int64_t statusKb(pid_t pid, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name + ':'))
            return std::stoll(line.substr(name.size() + 1));
    }
    return 0;
}

std::int64_t openDescriptors(pid_t pid)
{
    std::int64_t count = 0;
    std::error_code error;
    const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error))
        ++count;
    return count;
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() + text.size() <= bytes)
        all += text;
    return all;
}

std::string startOfHead(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: odd\r\n"
           + "Authorization: Bearer key-1\r\n";
}

/// A head of almost the maximum size that consists of `line` again and again, without its end.
std::string oddHead(const std::string &line, const std::string &path = "/plain/x")
{
    const std::string start = startOfHead(path);
    constexpr std::size_t EndBytes = 64;
    return start + repeated(line, MaxHeadBytes - start.size() - EndBytes);
}

const std::string ShortLine = "a:\r\n";

struct MemorySite
{
    explicit MemorySite(const std::string &name)
        : site("memory-" + name)
    {
        site.limits() = {{"memory_mb", MemoryMb}, {"file_descriptors", FileDescriptors}};
        auto &limits = site.table().at("limits").as_object();
        limits["max_header_bytes"] = MaxHeadBytes;
        limits["max_body_bytes"] = MaxBodyBytes;
        // Longer than a test, so that no timeout ends a request of the crowd before it has taken effect.
        limits["header_timeout_ms"] = 20'000;
        site.publishTable();
        site.addUpstream("desk-1", "desk");
    }

    void start()
    {
        site.start(1);
        REQUIRE(site.waitReady());
        pid = site.instances()[0].process->pid();
        memoryBefore = statusKb(pid, "VmRSS");
    }

    /// Starts with a server of raw bytes as the only upstream of the service of streams.
    void startWith(const RawServer &server)
    {
        Site::Upstream upstream;
        upstream.id = "raw-1";
        upstream.service = "chat";
        upstream.zone = "a";
        upstream.publishedAddress = server.address();
        site.publishUpstream(upstream, "ready");
        site.start(1);
        REQUIRE(waitUntil([&] {
            const boost::json::object state = site.state(0);
            return state.contains("upstreams") && state.at("upstreams").as_array().size() == 2;
        }));
        pid = site.instances()[0].process->pid();
        memoryBefore = statusKb(pid, "VmRSS");
        REQUIRE(waitUntil([&] { return isServed(); }));
    }

    [[nodiscard]] bool isServed()
    {
        const auto answer = site.call(0, callTo("/plain/x", ""));
        return answer && answer->head.status == 200;
    }

    /// Lets a crowd send `bytes` to a port. Checks that the process stays alive and within its memory and
    /// descriptors, serves an ordinary caller meanwhile and afterwards, and releases the memory.
    void check(const std::string &name, int port, const std::string &bytes, int connections = CrowdSize)
    {
        CAPTURE(name);
        {
            Crowd crowd(site.address(0, port), connections);
            crowd.sendAll(bytes);
            std::this_thread::sleep_for(CrowdStay);
            CHECK(openDescriptors(pid) <= FileDescriptors);
            CHECK(waitUntil([&] { return isServed(); }));
        }
        CHECK(statusKb(pid, "VmHWM") <= MemoryMb << 10);
        CHECK(waitUntil([&] { return isServed(); }));
        CHECK(waitUntil([&] { return statusKb(pid, "VmRSS") <= memoryBefore + MaxKeptKb; }));
        CHECK(site.instances()[0].process->waitForExit(0) == -1);
        MESSAGE(name << ": memory before " << memoryBefore << " KB, peak " << statusKb(pid, "VmHWM")
                     << " KB, after " << statusKb(pid, "VmRSS") << " KB");
    }

    Site site;
    pid_t pid = -1;
    std::int64_t memoryBefore = 0;
};

/// Runs one crowd against the callers' port of an instance of its own.
void checkCallers(const std::string &name, const std::string &bytes)
{
    MemorySite memory(name);
    memory.start();
    memory.check(name, memory.site.callerPort(), bytes);
}

} // namespace

// Guards against a process that runs out of memory because clients send requests of legal size that cost many
// times their bytes, or never end.
TEST_CASE("memory bound: heads that never end")
{
    checkCallers("short-lines", oddHead(ShortLine));
    checkCallers("folded", oddHead("a:\r\n b\r\n"));
    checkCallers("empty-values", oddHead("Some-Name:\r\n"));
    checkCallers("long-line", startOfHead("/plain/x") + "a: " + std::string(MaxHeadBytes - 512, 'x'));
}

TEST_CASE("memory bound: bodies that never end")
{
    checkCallers("no-body", oddHead(ShortLine) + "Content-Length: 10\r\n\r\n");
    checkCallers("half-body", startOfHead("/plain/x") + "Content-Length: " + std::to_string(MaxBodyBytes)
                                  + "\r\n\r\n" + std::string(MaxBodyBytes - 1, 'x'));
    const std::string chunked = startOfHead("/plain/x") + "Transfer-Encoding: chunked\r\n\r\n";
    checkCallers("chunk-extension", chunked + "5;" + std::string(256 << 10, 'x'));
    checkCallers("small-chunks", chunked + repeated("1\r\nx\r\n", 64 << 10));
    checkCallers("trailers", chunked + "5\r\nhello\r\n0\r\n" + repeated(ShortLine, 60 << 10));
}

TEST_CASE("memory bound: complete requests that an upstream doesn't answer, and pipelined ones")
{
    const std::string complete = oddHead(ShortLine, "/stream/x") + "Content-Length: 2\r\n\r\n{}";
    MemorySite memory("unanswered");
    const RawServer silent({"", "", -1, HoldPause});
    memory.startWith(silent);
    memory.check("unanswered", memory.site.callerPort(), complete);
    checkCallers("pipelined", repeated(oddHead(ShortLine) + "Content-Length: 2\r\n\r\n{}", 128 << 10));
}

TEST_CASE("memory bound: callers that don't read large answers")
{
    MemorySite memory("unread");
    const RawServer large({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: "
                           "text/plain\r\nContent-Length: 33554432\r\n\r\n",
                           std::string(64 << 10, 'x'), 512});
    memory.startWith(large);
    // An answer of another type on a streaming route is passed on as a whole response.
    memory.check("unread", memory.site.callerPort(),
                 startOfHead("/streamonce/x") + "Content-Length: 2\r\n\r\n{}");
}

TEST_CASE("memory bound: upstreams that answer with very many lines")
{
    MemorySite memory("upstream-head");
    const RawServer odd(
        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n" + repeated(ShortLine, 7'900), "", -1, HoldPause});
    memory.startWith(odd);
    memory.check("upstream-head", memory.site.callerPort(),
                 oddHead(ShortLine, "/streamonce/x") + "Content-Length: 2\r\n\r\n{}");
}

TEST_CASE("memory bound: odd heads at the ports for peers, directory, readiness and metrics")
{
    MemorySite memory("ports");
    memory.start();
    for (const int port : {memory.site.peerPort(), memory.site.directoryPort(), memory.site.readinessPort(),
                           memory.site.metricsPort()})
        memory.check("port " + std::to_string(port), port, oddHead(ShortLine));
}

TEST_CASE("memory bound: connections on which nothing arrives leave descriptors free")
{
    MemorySite memory("descriptors");
    memory.start();
    memory.check("silent", memory.site.callerPort(), "", 3 * static_cast<int>(FileDescriptors));
}

TEST_CASE("memory bound: a single request of the maximum size in any lines is served")
{
    MemorySite memory("single");
    // Takes a head of any size, which grows by a space in each line when it is passed on.
    const RawServer server({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: text/plain\r\n"
                            "Content-Length: 2\r\n\r\n{}",
                            "", 0});
    memory.startWith(server);
    int id = 0;
    for (const std::string &line : {ShortLine, std::string("Some-Name:\r\n"), std::string("a:\r\n b\r\n")}) {
        CAPTURE(line);
        const std::string head = "POST /stream/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: single-"
                                 + std::to_string(++id)
                                 + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n";
        const std::string end = "Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n";
        const auto answer =
            support::exchangeBytes(memory.site.address(0, memory.site.callerPort()),
                                   head + repeated(line, MaxHeadBytes - head.size() - end.size()) + end
                                       + std::string(MaxBodyBytes, 'x'),
                                   std::chrono::seconds(10));
        CHECK(support::statusOf(answer) == 200);
    }
}

// Guards against values of other writers that an instance keeps while it reads the store.
TEST_CASE("memory bound: large items of other writers in the store are not kept")
{
    constexpr int Items = 200;
    Site site("memory-items");
    const std::string large(300'000, 'x');
    for (int i = 0; i < Items; ++i)
        site.writeItem((i % 2 == 0 ? "servers/odd-" : "batch/") + std::to_string(i), large);
    site.addUpstream("zone-desk", "desk");
    site.start(1);
    REQUIRE(waitUntil([&] { return site.readiness(0) == 200; }));
    const auto answer = site.call(0, callTo("/plain/x", ""));
    const bool isServed = answer && answer->head.status == 200;
    CHECK(isServed);
    CHECK(statusKb(site.instances()[0].process->pid(), "VmHWM") < MemoryMb << 10);
}
