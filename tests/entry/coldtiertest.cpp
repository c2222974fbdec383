#include "site.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace chestnutsill;
using support::callTo;
using support::Site;

namespace {

/// Sends requests of one route at a fixed pace for a time, to all instances in turn, and counts the refused.
class PacedCaller
{
public:
    PacedCaller(Site &site, std::string path, std::chrono::milliseconds pause, std::chrono::milliseconds time)
        : m_thread(
            [this, &site, path = std::move(path), pause, end = std::chrono::steady_clock::now() + time] {
                for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
                    const auto next = std::chrono::steady_clock::now() + pause;
                    auto call = callTo(path, path.substr(1, 7) + "cold-" + std::to_string(i));
                    call.key = "key-2";
                    const auto answer = site.call(i % site.instances().size(), call);
                    ++m_sent;
                    m_refused += answer && answer->head.status == 200 ? 0 : 1;
                    std::this_thread::sleep_until(next);
                }
            })
    {}

    void join() { m_thread.join(); }

    [[nodiscard]] int sent() const { return m_sent; }
    [[nodiscard]] int refused() const { return m_refused; }

private:
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_refused = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE(
    "cold start: urgent requests are not refused while less urgent ones begin, when all engines are cold")
{
    Site site("cold-tiers");
    for (const std::string id : {"cold-0", "cold-1", "cold-2", "cold-3"})
        site.addUpstream(id, "chat");
    site.start(2);
    REQUIRE(site.waitReady());
    for (std::size_t i = 0; i < site.upstreamCount(); ++i) {
        Site::commandUpstream(site.upstreamAt(i), R"({"events":1,"eventMs":1})");
        site.publishUpstream(site.upstreamAt(i), "ready", 20'000);
    }
    REQUIRE(support::waitUntil([&] {
        const auto state = site.state(1);
        for (const auto &upstream : state.at("upstreams").as_array()) {
            if (upstream.at("coldForMs").to_number<double>() < 10'000)
                return false;
        }
        return true;
    }));
    constexpr std::chrono::milliseconds Time{5000};
    PacedCaller urgent(site, "/streamonce/x", std::chrono::milliseconds(200), Time);
    PacedCaller lessUrgent(site, "/stream/x", std::chrono::milliseconds(10), Time);
    PacedCaller lessUrgentToo(site, "/stream/y", std::chrono::milliseconds(10), Time);
    urgent.join();
    lessUrgent.join();
    lessUrgentToo.join();
    REQUIRE(lessUrgent.refused() > 0);
    REQUIRE(lessUrgent.sent() > lessUrgent.refused());
    CHECK(12 * urgent.refused() <= urgent.sent());
}
