#include "site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Site;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Instances = 6;
/// More instances than `Membership::MaxDirectPeers`, so that heartbeats go through a hub.
constexpr std::size_t LargeCount = 13;
/// Time in which all instances learn of a rate that one of them has been told.
constexpr std::int64_t SpreadMs = 500;
constexpr std::int64_t WindowMs = 4000;

/// Largest number of requests that an upstream that accepts `perSecond` may get in any window of 4 s.
int mostInWindow(double perSecond)
{
    return static_cast<int>(1.5 * perSecond * 4) + 5;
}

/// Callers that send requests at a fixed pace to all instances in turn.
class Load
{
public:
    Load(Site &site, std::string path, int callers, milliseconds pause)
    {
        for (int caller = 0; caller < callers; ++caller) {
            m_callers.push_back(std::async(std::launch::async, [this, &site, path, pause, caller] {
                for (auto i = static_cast<std::size_t>(caller); !m_stopped; ++i) {
                    const auto next = std::chrono::steady_clock::now() + pause;
                    const auto id =
                        "rate-" + std::to_string(caller) + '-' + std::to_string(i) + path.substr(1, 6);
                    const auto answer = site.call(i % site.instances().size(), callTo(path, id));
                    ++(answer && answer->head.status == 200 ? m_served : m_refused);
                    std::this_thread::sleep_until(next);
                }
            }));
        }
    }

    void stop()
    {
        m_stopped = true;
        m_callers.clear();
    }

    [[nodiscard]] int served() const { return m_served; }
    [[nodiscard]] int refused() const { return m_refused; }

private:
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_refused = 0;
    std::vector<std::future<void>> m_callers;
};

/// Largest number of requests that an upstream got in a window, from the moment at which all instances knew
/// its rate. It named it in each of its responses.
int largestWindow(const Site &site, const std::string &upstream)
{
    std::vector<std::int64_t> times = site.runTimes(upstream);
    std::sort(times.begin(), times.end());
    if (times.empty())
        return 0;
    std::erase_if(times, [first = times.front()](std::int64_t at) { return at < first + SpreadMs; });
    int largest = 0;
    for (auto from = times.begin(); from != times.end(); ++from) {
        const auto to = std::lower_bound(from, times.end(), *from + WindowMs);
        largest = std::max(largest, static_cast<int>(to - from));
    }
    return largest;
}

void startSite(Site &site, std::size_t count = Instances)
{
    site.start(static_cast<int>(count));
    REQUIRE(site.waitReady());
}

} // namespace

TEST_CASE(
    "request rate: six instances, and thirteen, send an upstream no more requests than it says it accepts")
{
    for (const std::size_t count : {Instances, LargeCount}) {
        CAPTURE(count);
        Site site("request-rate-" + std::to_string(count));
        Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"rate":"1"})");
        site.addUpstream("chat-2", "chat");
        site.addUpstream("chat-3", "chat");
        startSite(site, count);
        Load load(site, "/streamonce/stream/x", 6, milliseconds(200));
        CHECK(support::waitUntil([&] { return load.served() + load.refused() >= 240; },
                                 std::chrono::seconds(40)));
        load.stop();
        CHECK(largestWindow(site, "chat-1") <= mostInWindow(1));
        CHECK(load.refused() == 0);
    }
}

TEST_CASE("request rate: retries and resumed streams count against the rate that an upstream accepts")
{
    Site site("request-rate-retries");
    Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"rate":"1"})");
    Site::commandUpstream(site.addUpstream("chat-2", "chat"), R"({"mode":"cut"})");
    Site::commandUpstream(site.addUpstream("desk-1", "desk"), R"({"rate":"1"})");
    Site::commandUpstream(site.addUpstream("desk-2", "desk"), R"({"mode":"error"})");
    startSite(site);
    Load streams(site, "/stream/stream/x", 6, milliseconds(200));
    Load plain(site, "/plain/x", 6, milliseconds(200));
    CHECK(support::waitUntil([&] { return streams.served() + streams.refused() >= 200; },
                             std::chrono::seconds(40)));
    streams.stop();
    plain.stop();
    CHECK(largestWindow(site, "chat-1") <= mostInWindow(1));
    CHECK(largestWindow(site, "desk-1") <= mostInWindow(1));
}

TEST_CASE(
    "request rate: an upstream that is alone serves as much as it accepts, and all once it names no rate")
{
    Site site("request-rate-alone");
    auto &upstream = site.addUpstream("chat-1", "chat");
    Site::commandUpstream(upstream, R"({"rate":"3"})");
    startSite(site);
    Load load(site, "/streamonce/stream/x", 6, milliseconds(250));
    CHECK(support::waitUntil([&] { return load.served() >= 40; }, std::chrono::seconds(40)));
    load.stop();
    CHECK(largestWindow(site, "chat-1") <= mostInWindow(3));
    Site::commandUpstream(upstream, R"({"rate":""})");
    CHECK(support::waitUntil([&] {
        for (std::size_t i = 0; i < 4 * Instances; ++i) {
            const auto answer = site.call(i % Instances, callTo("/streamonce/stream/x", ""));
            if (!answer || answer->head.status != 200)
                return false;
        }
        return true;
    }));
}

TEST_CASE("request rate: a value that is not a decimal number neither limits an upstream nor ends its limit")
{
    Site site("request-rate-malformed");
    auto &upstream = site.addUpstream("chat-1", "chat");
    startSite(site);
    const auto isServed = [&](std::size_t i) {
        const auto answer = site.call(i % Instances, callTo("/streamonce/stream/x", ""));
        return answer && answer->head.status == 200;
    };
    for (const char *value : {"-1", "few", "1,5", "inf"}) {
        CAPTURE(value);
        Site::commandUpstream(upstream, R"({"rate":")" + std::string(value) + R"("})");
        for (std::size_t i = 0; i < 2 * Instances; ++i)
            CHECK(isServed(i));
    }
    Site::commandUpstream(upstream, R"({"rate":"1"})");
    CHECK(support::waitUntil([&] {
        for (std::size_t i = 0; i < Instances; ++i) {
            if (isServed(i))
                return false;
        }
        return true;
    }));
    Site::commandUpstream(upstream, R"({"rate":"few"})");
    Load load(site, "/streamonce/stream/x", 6, milliseconds(100));
    CHECK(support::waitUntil([&] { return load.served() >= 8; }, std::chrono::seconds(40)));
    load.stop();
    CHECK(load.refused() > 4 * load.served());
}

TEST_CASE(
    "request rate: requests go on within the rate while each instance, and so the issuer, is killed once")
{
    constexpr std::size_t Count = 4;
    Site site("request-rate-issuer");
    Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"rate":"5"})");
    startSite(site, Count);
    Load load(site, "/streamonce/stream/x", 6, milliseconds(150));
    for (std::size_t i = 0; i < Count; ++i) {
        site.instances()[i].process->kill();
        const int before = load.served();
        CHECK(support::waitUntil([&] { return load.served() >= before + 10; }, std::chrono::seconds(40)));
        site.startInstance(i);
        CHECK(support::waitUntil([&] { return site.readiness(i) == 200; }));
    }
    load.stop();
    CHECK(largestWindow(site, "chat-1") <= mostInWindow(5));
}
