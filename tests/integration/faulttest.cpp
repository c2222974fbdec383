#include "scenario.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <future>

using namespace chestnutsill;
using namespace chestnutsill::support;

namespace {

/// Sends chat requests from several threads until it is stopped.
class LoadGenerator
{
public:
    /// Sends through the instances with these indexes, or through all of them if there are none.
    LoadGenerator(Cluster &cluster, int threads, const std::string &requestClass,
                  std::vector<std::size_t> through = {})
    {
        for (std::size_t i = 0; i < cluster.instances().size(); ++i)
            m_through.push_back(i);
        if (!through.empty())
            m_through = std::move(through);
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, &cluster, i, requestClass] {
                for (int sent = 0; !m_stop; ++sent) {
                    const std::size_t index =
                        m_through[static_cast<std::size_t>(i + sent) % m_through.size()];
                    const Instance &instance = cluster.instances()[index];
                    const std::string content = requestClass + std::to_string(i) + '-' + std::to_string(sent);
                    const auto result = chat(instance, requestClass, content, R"({"tokens":8})", true,
                                             std::chrono::seconds(10));
                    m_answered += isComplete(result) ? 1 : 0;
                    m_refused += result.verdict == "not-run" ? 1 : 0;
                    if (result.status != 200)
                        std::this_thread::sleep_for(std::chrono::milliseconds(30));
                }
            });
        }
    }

    ~LoadGenerator() { stop(); }

    void stop()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    [[nodiscard]] int answered() const { return m_answered; }
    [[nodiscard]] int refused() const { return m_refused; }

    static bool isComplete(const CallerResponse &result)
    {
        return result.status == 200 && result.body.find("data: [DONE]") != std::string::npos;
    }

private:
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_refused = 0;
    std::vector<std::size_t> m_through;
    std::vector<std::thread> m_threads;
};

bool hasExplicitEnd(const CallerResponse &result)
{
    return LoadGenerator::isComplete(result) || result.status != 200
           || result.body.find("event: error") != std::string::npos;
}

} // namespace

TEST_CASE(
    "cold start: an upstream never gets more requests than it accepts, even if it restarts or a home is lost")
{
    Cluster cluster("cold");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    for (const char *name : {"engine-1", "engine-2"})
        addEngine(cluster, name, "za", 8, 2,
                  {"--cold-start", "1", "--cold-bear", "2", "--cold-requests", "8", "--fall-ms", "800"});
    addEngine(cluster, "engine-3", "zb", 8, 2,
              {"--cold-start", "1", "--cold-bear", "2", "--cold-requests", "8"});
    cluster.start(4);
    REQUIRE(cluster.waitReady());
    LoadGenerator load(cluster, 24, "history");
    const auto warm = [&](const char *name) {
        return waitUntil([&, name] { return cluster.count(name, "completed") > 30; });
    };
    for (const char *name : {"engine-1", "engine-2", "engine-3"})
        CHECK(warm(name));
    // The engine restarts cold while every instance has requests running on it.
    REQUIRE(call(cluster.upstream("engine-1").address, "POST", "/control", R"({"crash":true})"));
    const std::int64_t completed = cluster.count("engine-2", "completed");
    CHECK(waitUntil([&] { return cluster.count("engine-2", "completed") > completed + 20; }));
    // The pool's home is killed while an upstream is cold.
    REQUIRE(call(cluster.upstream("engine-2").address, "POST", "/control", R"({"crash":true})"));
    const std::string home = cluster.homeOf("m/za");
    for (Instance &instance : cluster.instances()) {
        if (instance.name == home)
            instance.process->kill();
    }
    cluster.publishList([&](const Instance &instance) { return instance.name != home; });
    const std::int64_t later = cluster.count("engine-2", "completed");
    CHECK(waitUntil([&] { return cluster.count("engine-2", "completed") > later + 30; }));
    load.stop();
    CHECK(load.answered() > 100);
    for (const char *name : {"engine-1", "engine-2", "engine-3"}) {
        CAPTURE(name);
        CHECK(cluster.count(name, "coldOverload") == 0);
    }
}

TEST_CASE("crash: a request that crashes engines is refused after a bounded number, and others are answered")
{
    Cluster cluster("killer");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    constexpr int Engines = 6;
    for (int i = 0; i < Engines; ++i)
        addEngine(cluster, "engine-" + std::to_string(i), i % 2 == 0 ? "za" : "zb", 8, 2,
                  {"--fall-ms", "500"});
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    LoadGenerator otherRequests(cluster, 8, "chat");
    for (int round = 0; round < 6; ++round) {
        std::vector<std::future<CallerResponse>> crashingRequests;
        for (const Instance &instance : cluster.instances()) {
            crashingRequests.push_back(std::async(std::launch::async, [&instance] {
                return chat(instance, "history", "killer", R"({"kill":true})", false);
            }));
        }
        for (auto &request : crashingRequests)
            CHECK(request.get().status != 200);
    }
    std::int64_t falls = 0;
    for (int i = 0; i < Engines; ++i)
        falls += cluster.count("engine-" + std::to_string(i), "falls");
    // Each of the two pools may run one copy at the same time, and one more may run before the fingerprint is
    // refused.
    CHECK(falls <= 3);
    const int before = otherRequests.answered();
    CHECK(waitUntil([&] { return otherRequests.answered() > before + 10; }));
    otherRequests.stop();
}

TEST_CASE("crashing part: requests that share a message that crashes engines are refused after few crashes")
{
    constexpr int MaxCrashes = 5;
    constexpr int Rounds = 14;
    Cluster cluster("crashing-message");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    constexpr int Engines = 6;
    for (int i = 0; i < Engines; ++i)
        addEngine(cluster, "engine-" + std::to_string(i), i % 2 == 0 ? "za" : "zb", 8, 2,
                  {"--fall-ms", "300"});
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    const auto chatAfter = [&](const std::string &first, int number) {
        return chatWithHistory(cluster.instances()[static_cast<std::size_t>(number) % 3], first,
                               "question " + std::to_string(number));
    };
    for (int round = 0; round < Rounds; ++round)
        CHECK(chatAfter("crashes engines", round).status != 200);
    std::int64_t falls = 0;
    for (int i = 0; i < Engines; ++i)
        falls += cluster.count("engine-" + std::to_string(i), "falls");
    CHECK(falls <= MaxCrashes);
    for (int instance = 0; instance < 3; ++instance) {
        CHECK(chatAfter("crashes engines", Rounds + instance).verdict == "not-run");
        CHECK(chatAfter("you are a sound assistant", Rounds + instance).status == 200);
    }
}

TEST_CASE("shutdown: a leaving instance is no longer listed and completes all requests in progress")
{
    Cluster cluster("shutdown");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 8, 8, {"--token-ms", "30"});
    cluster.start(3, {"--hold-ms=500", "--drain-ms=1000"});
    REQUIRE(cluster.waitReady());
    Instance &leaving = cluster.instances()[0];
    std::vector<std::future<CallerResponse>> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(std::async(std::launch::async, [&leaving, i] {
            return chat(leaving, "chat", "long" + std::to_string(i), R"({"tokens":120})", true);
        }));
    }
    REQUIRE(waitUntil([&] { return cluster.count("engine-1", "started") == 4; }));
    leaving.process->signal(SIGTERM);
    for (const Instance &instance : cluster.instances()) {
        CHECK(waitUntil([&] {
            const auto answer = call(instance.address, "GET", "/v1/addresses");
            return answer && answer->body.find(leaving.name) == std::string::npos;
        }));
    }
    for (auto &stream : streams) {
        const CallerResponse result = stream.get();
        CHECK(result.status == 200);
        CHECK(result.body.find("w119 ") != std::string::npos);
        CHECK(LoadGenerator::isComplete(result));
    }
    CHECK(leaving.process->waitForExit(10) == 0);
    CHECK(cluster.count("engine-1", "cancelled") == 0);
}

TEST_CASE(
    "silence: connections that the network drops silently delay answers for a bounded time and lose none")
{
    Cluster cluster("silence");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 8, 2);
    addEngine(cluster, "engine-2", "zb", 8, 2);
    cluster.prepare(3);
    std::vector<std::string> proxies;
    for (Instance &instance : cluster.instances()) {
        instance.listedPeerAddress = cluster.addProxy(instance.peerAddress);
        proxies.push_back(instance.listedPeerAddress);
    }
    cluster.startPlatform();
    for (std::size_t i = 0; i < 3; ++i)
        cluster.startInstance(i);
    REQUIRE(cluster.waitReady());
    for (const std::string &proxy : proxies)
        cluster.commandProxy(proxy, R"({"silenceOpen":true})");
    std::vector<std::future<CallerResponse>> bookings;
    for (const Instance &instance : cluster.instances()) {
        bookings.push_back(std::async(std::launch::async, [&instance] {
            return book(instance, newRequestId(instance, "nonce-silence"));
        }));
    }
    for (auto &booking : bookings)
        CHECK(booking.get().verdict == "answered");
    CHECK(cluster.count("desk-1", "started") == 3);
}

TEST_CASE("whole answers: a response with another id or one cut short never reaches a caller as complete")
{
    Cluster cluster("whole");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 8, 2, {"--fall-ms", "300"});
    addEngine(cluster, "engine-2", "zb", 8, 2, {"--fall-ms", "300"});
    cluster.start(2);
    REQUIRE(cluster.waitReady());
    REQUIRE(call(cluster.upstream("engine-1").address, "POST", "/control", R"({"crossed":true})"));
    for (int i = 0; i < 6; ++i) {
        const Instance &instance = cluster.instances()[static_cast<std::size_t>(i) % 2];
        const auto result = chat(instance, "chat", "crossed" + std::to_string(i), R"({"tokens":3})", true);
        CHECK(result.body.find(R"("id":"another")") == std::string::npos);
        CHECK(hasExplicitEnd(result));
    }
    REQUIRE(call(cluster.upstream("engine-1").address, "POST", "/control", R"({"crossed":false})"));
    auto cut = std::async(std::launch::async, [&] {
        return chat(cluster.instances()[0], "chat", "cut", R"({"tokens":200})", true);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    for (const char *name : {"engine-1", "engine-2"})
        REQUIRE(call(cluster.upstream(name).address, "POST", "/control", R"({"crash":true})"));
    const CallerResponse result = cut.get();
    CHECK_FALSE(LoadGenerator::isComplete(result));
    CHECK(hasExplicitEnd(result));
}

TEST_CASE(
    "whole answers: a stream that breaks off in the middle of an event ends with an error event of its own")
{
    Cluster cluster("broken-event");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 8, 4);
    cluster.start(2);
    REQUIRE(cluster.waitReady());
    REQUIRE(call(cluster.upstream("engine-1").address, "POST", "/control", R"({"breakEvents":true})"));
    const auto result = chat(cluster.instances()[0], "chat", "broken", R"({"tokens":3})", true);
    CHECK(result.status == 200);
    CHECK_FALSE(LoadGenerator::isComplete(result));
    CHECK(result.body.find("data: {") == 0);
    CHECK(result.body.find("\n\nevent: error\ndata: {") != std::string::npos);
    CHECK(result.body.ends_with("}\n\n"));
}

TEST_CASE("waste: the run is cancelled when the caller disconnects, streamed or not")
{
    Cluster cluster("cancel");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 8, 4, {"--first-token-ms", "100", "--token-ms", "50"});
    cluster.start(2);
    REQUIRE(cluster.waitReady());
    std::int64_t cancelled = 0;
    for (const bool stream : {true, false}) {
        CAPTURE(stream);
        chatAndDisconnect(cluster.instances()[0], "chat", R"({"tokens":400})", stream,
                          std::chrono::milliseconds(700));
        ++cancelled;
        CHECK(waitUntil([&] { return cluster.count("engine-1", "cancelled") == cancelled; },
                        std::chrono::seconds(3)));
    }
    CHECK(cluster.count("engine-1", "tokens") < 200);
}

TEST_CASE("tiers: a higher tier at one instance precedes a lower tier at the others, which is still served")
{
    Cluster cluster("tiers");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 4, 4, {"--first-token-ms", "100", "--token-ms", "10"});
    cluster.start(4);
    REQUIRE(cluster.waitReady());
    LoadGenerator history(cluster, 30, "history", {1, 2, 3});
    REQUIRE(waitUntil([&] { return history.answered() > 4; }));
    const int historyBefore = history.answered();
    // On its own, the higher tier would use about half of the engine.
    LoadGenerator chats(cluster, 2, "chat", {0});
    CHECK(waitUntil([&] { return chats.answered() >= 30; }));
    chats.stop();
    const int historyDuring = history.answered() - historyBefore;
    history.stop();
    CHECK(chats.refused() == 0);
    CHECK(historyDuring > 0);
}

TEST_CASE("homes: a pool whose home was killed is served again although the instance list still names it")
{
    Cluster cluster("home-gone");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 4, 4);
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    const std::string home = cluster.homeOf("desk/za");
    std::size_t other = 0;
    for (std::size_t i = 0; i < cluster.instances().size(); ++i) {
        if (cluster.instances()[i].name == home)
            cluster.instances()[i].process->kill();
        else
            other = i;
    }
    const Instance &instance = cluster.instances()[other];
    int attempts = 0;
    CHECK(waitUntil([&] {
        return book(instance, newRequestId(instance, "nonce-home-" + std::to_string(++attempts))).verdict
               == "answered";
    }));
}
