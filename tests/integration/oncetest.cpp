#include "scenario.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

using namespace chestnutsill;
using namespace chestnutsill::support;

namespace {

/// Starts three instances with a desk in each of the two availability zones.
void startWithTwoDesks(Cluster &cluster)
{
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addDesk(cluster, "desk-2", "zb");
    addEngine(cluster, "engine-1", "za", 4, 2);
    cluster.start(3);
    REQUIRE(cluster.waitReady());
}

} // namespace

TEST_CASE("booking: runs once, and a resend through any instance gets the same outcome")
{
    Cluster cluster("booking-once");
    startWithTwoDesks(cluster);
    const auto &instances = cluster.instances();
    const CallerResponse without = book(instances[0], {});
    CHECK(without.status == 428);
    CHECK(without.verdict == "not-run");
    const std::string id = newRequestId(instances[0], "nonce-once-1");
    const CallerResponse first = book(instances[0], id);
    CHECK(first.status == 200);
    CHECK(first.verdict == "answered");
    for (const Instance &instance : instances) {
        const CallerResponse again = book(instance, id);
        CHECK(again.verdict == "answered");
        CHECK(again.body == first.body);
    }
    CHECK(cluster.runsOf(id) == 1);
}

TEST_CASE("booking: concurrent copies through all instances run once")
{
    Cluster cluster("booking-copies");
    startWithTwoDesks(cluster);
    const std::string id = newRequestId(cluster.instances()[1], "nonce-copies");
    std::vector<std::future<CallerResponse>> copies;
    for (int i = 0; i < 9; ++i) {
        const Instance &instance = cluster.instances()[static_cast<std::size_t>(i) % 3];
        copies.push_back(std::async(std::launch::async, [&instance, &id] { return book(instance, id); }));
    }
    for (auto &copy : copies) {
        const CallerResponse result = copy.get();
        CHECK(result.verdict == "answered");
        CHECK(result.body.find(id) != std::string::npos);
    }
    CHECK(cluster.runsOf(id) == 1);
}

TEST_CASE(
    "booking: an upstream that closes after receiving the request yields may-have-run and no second run")
{
    Cluster cluster("booking-closed");
    startWithTwoDesks(cluster);
    for (const char *command : {R"({"closeAfterRun":1})", R"({"closeBeforeRun":1})"}) {
        CAPTURE(command);
        for (const char *desk : {"desk-1", "desk-2"})
            REQUIRE(call(cluster.upstream(desk).address, "POST", "/control", command));
        const std::string id = newRequestId(cluster.instances()[0], "nonce-closed-1");
        const CallerResponse result = book(cluster.instances()[0], id);
        CHECK(result.verdict == "may-have-run");
        for (const Instance &instance : cluster.instances())
            CHECK(book(instance, id).verdict == "may-have-run");
        CHECK(cluster.runsOf(id) <= 1);
    }
}

TEST_CASE("booking: an owner frozen after admission sends nothing when it resumes after the deadline")
{
    Cluster cluster("booking-frozen");
    configureWorkload(cluster);
    addEngine(cluster, "engine-1", "za", 4, 2);
    addDesk(cluster, "desk-1", "za");
    const std::string proxy = cluster.addProxy(cluster.upstream("desk-1").address);
    cluster.configuration().upstreams.back().address = proxy;
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    Instance &owner = cluster.instances()[0];
    const std::string id = newRequestId(owner, "nonce-frozen-1");
    // The connection to the desk is slow, so that the owner can be frozen after admission and before the
    // first byte, while the desk's load report is in transit.
    cluster.commandProxy(proxy, R"({"delayMs":200})");
    auto first = std::async(std::launch::async, [&] { return book(owner, id, std::chrono::seconds(20)); });
    REQUIRE(waitUntil([&] {
        const auto state = readObject(owner.adminAddress, "/state");
        return state.contains("heldSlots") && state.at("heldSlots").to_number<int>() > 0;
    }));
    owner.process->signal(SIGSTOP);
    const CallerResponse elsewhere = book(cluster.instances()[1], id);
    CHECK(elsewhere.verdict == "may-have-run");
    std::this_thread::sleep_for(std::chrono::seconds(7));
    owner.process->signal(SIGCONT);
    const CallerResponse late = first.get();
    CHECK(late.verdict != "answered");
    CHECK(cluster.runsOf(id) == 0);
    CHECK(book(cluster.instances()[2], id).verdict != "answered");
    CHECK(cluster.runsOf(id) == 0);
}

TEST_CASE("booking: an owner restarted on the same address does not run a booking again")
{
    Cluster cluster("booking-restart");
    startWithTwoDesks(cluster);
    Instance &owner = cluster.instances()[0];
    const std::string id = newRequestId(owner, "nonce-restart");
    CHECK(book(owner, id).verdict == "answered");
    owner.process->kill();
    CHECK(book(cluster.instances()[1], id).verdict == "may-have-run");
    cluster.startInstance(0);
    REQUIRE(cluster.waitReady());
    for (const Instance &instance : cluster.instances())
        CHECK(book(instance, id).verdict == "may-have-run");
    CHECK(cluster.runsOf(id) == 1);
}

TEST_CASE("booking: a bad request is refused and the response names the field")
{
    Cluster cluster("booking-bad");
    startWithTwoDesks(cluster);
    const std::string address = cluster.instances()[0].address;
    struct Case
    {
        std::string target;
        std::string body;
        std::vector<HttpField> fields;
        int status;
        std::string field;
    };
    const HttpField account{"chestnutsill-account", "one"};
    const Case cases[] = {
        {"/v1/chat/completions", "{}", {}, 401, "chestnutsill-account"},
        {"/v1/chat/completions", "{", {account}, 400, "body"},
        {"/v1/chat/completions", "{}", {account}, 400, "chestnutsill-class"},
        {"/x", "{}", {account, {"chestnutsill-class", "none"}}, 400, "chestnutsill-class"},
        {"/v1/chat/completions",
         R"({"model":"m"})",
         {account, {"chestnutsill-deadline-ms", "soon"}},
         400,
         "chestnutsill-deadline-ms"},
        {"/v1/chat/completions",
         R"({"model":"m"})",
         {account, {"chestnutsill-deadline-ms", "0"}},
         504,
         "chestnutsill-deadline-ms"},
        {"/x",
         "{}",
         {account, {"chestnutsill-class", "booking"}, {"chestnutsill-request-id", "x"}},
         400,
         "chestnutsill-request-id"},
        {"/v1/chat/completions", std::string(2 << 20, ' '), {account}, 413, "body"},
    };
    for (const Case &item : cases) {
        CAPTURE(item.field);
        const auto response = call(address, "POST", item.target, item.body, item.fields);
        REQUIRE(response);
        CHECK(response->head.status == item.status);
        CHECK(response->head.field("chestnutsill-verdict") == "not-run");
        CHECK(response->body.find('"' + item.field + '"') != std::string::npos);
    }
}

TEST_CASE("caller: a slow request, an oversized head and malformed HTTP get a status and \"not-run\"")
{
    Cluster cluster("caller-slow");
    configureWorkload(cluster);
    addDesk(cluster, "desk-1", "za");
    addEngine(cluster, "engine-1", "za", 4, 2);
    cluster.start(1, {"--read-timeout-ms=300"});
    REQUIRE(cluster.waitReady());
    struct Case
    {
        std::string text;
        std::string status;
        std::string reason;
    };
    const Case cases[] = {
        {"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", "408", "request-too-slow"},
        {"POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nab", "408", "request-too-slow"},
        {"POST /x HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n", "431", "head-too-large"},
        {"hello\r\n\r\n", "400", "malformed-request"},
    };
    for (const Case &item : cases) {
        CAPTURE(item.reason);
        const std::string reply = sendRaw(cluster.instances()[0], item.text);
        CHECK(reply.find("HTTP/1.1 " + item.status) == 0);
        CHECK(reply.find(item.reason) != std::string::npos);
        CHECK(reply.find("chestnutsill-verdict: not-run") != std::string::npos);
    }
}
