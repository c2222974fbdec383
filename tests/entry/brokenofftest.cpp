#include "rawcaller.h"
#include "rawserver.h"
#include "site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <memory>
#include <set>
#include <sstream>

using namespace chestnutsill;
using support::exchangeBytes;
using support::looksComplete;
using support::RawAnswer;
using support::RawResponse;
using support::RawServer;
using support::Site;
using support::statusOf;
using support::waitUntil;

namespace {

constexpr std::chrono::milliseconds CallTimeout{8000};

const std::string PlainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: raw\r\n";
const std::string StreamHead = PlainHead + "Content-Type: text/event-stream\r\n";
const std::string Event = "id: 1\ndata: a\n\n";
const std::string HalfEvent = "id: 2\nda";
/// Larger than what an instance buffers of a response, so that forwarding begins before the end.
const std::string LargeBody(3 << 20, 'x');

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string withLength(const std::string &head, std::size_t length)
{
    return head + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string inChunks(const std::string &head)
{
    return head + "Transfer-Encoding: chunked\r\n\r\n";
}

/// One instance whose services each have one server of raw bytes as their only upstream.
class RawSite
{
public:
    explicit RawSite(const std::string &name)
        : m_site(name)
    {
        m_site.table().at("limits").as_object()["max_body_bytes"] = 32 << 20;
        m_site.publishTable();
        m_site.start(1);
        REQUIRE(m_site.waitReady());
    }

    /// Replaces all upstreams by one for each service under a new id, about which the instance knows nothing.
    void use(RawResponse response)
    {
        m_server = std::make_unique<RawServer>(std::move(response));
        publish({"chat", "desk"});
    }

    /// Replaces all upstreams by two that send `resumed` to requests that take a stream up.
    void use(RawResponse response, RawResponse resumed)
    {
        m_server = std::make_unique<RawServer>(std::move(response), std::move(resumed));
        publish({"chat", "chat"});
    }

    /// Sends a request to the instance and receives until the connection ends.
    RawAnswer call(const std::string &path, const std::string &version, const std::string &body = "{}",
                   const std::function<void(const std::string &)> &onBytes = {},
                   const std::string &fields = "")
    {
        const std::string id = "broken-" + std::to_string(++m_calls);
        return exchangeBytes(m_site.address(0, m_site.callerPort()),
                             "POST " + path + id + " HTTP/" + version
                                 + "\r\nHost: site.example\r\nX-Attempt-Id: " + id
                                 + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body,
                             CallTimeout, onBytes);
    }

    [[nodiscard]] Site &site() noexcept { return m_site; }
    /// Number of calls, which is also that in the id of the last one.
    [[nodiscard]] int calls() const noexcept { return m_calls; }
    [[nodiscard]] const RawServer &server() const noexcept { return *m_server; }

private:
    /// Publishes one upstream for each of these services at the address of the server, and no others.
    void publish(const std::vector<std::string> &services)
    {
        for (const std::string &id : m_published)
            m_site.removeItem("servers/" + id);
        m_published.clear();
        for (const std::string &service : services) {
            Site::Upstream upstream;
            upstream.id = service + '-' + std::to_string(++m_number);
            upstream.service = service;
            upstream.zone = "a";
            upstream.publishedAddress = m_server->address();
            m_site.publishUpstream(upstream, "ready");
            m_published.insert(upstream.id);
        }
        REQUIRE(waitUntil([&] {
            const auto state = m_site.state(0);
            std::set<std::string> known;
            for (const auto &upstream : state.at("upstreams").as_array())
                known.emplace(upstream.at("upstream").as_string());
            // A connection that ends without any response may look like one that can't be opened.
            return known == m_published && state.at("servicesOutOfReach").as_array().empty();
        }));
    }

    Site m_site;
    std::unique_ptr<RawServer> m_server;
    std::set<std::string> m_published;
    int m_number = 0;
    int m_calls = 0;
};

/// Checks that callers of both versions see that the answer is broken off.
void checkBroken(RawSite &site, const std::string &name, const std::string &path, const RawResponse &response,
                 const std::string &body = "{}")
{
    CAPTURE(name);
    CAPTURE(path);
    for (const std::string version : {"1.1", "1.0"}) {
        CAPTURE(version);
        site.use(response);
        const RawAnswer answer = site.call(path, version, body);
        CHECK(site.server().requests() > 0);
        const bool isSuccess = statusOf(answer) == 200 && looksComplete(answer, version == "1.1");
        CHECK_FALSE(isSuccess);
        CHECK(answer.end != RawAnswer::End::TimedOut);
    }
}

/// A response that has no end of its own, with an event now and then.
RawResponse endlessStream()
{
    return {inChunks(StreamHead), chunk(Event), -1, std::chrono::milliseconds(50)};
}

} // namespace

TEST_CASE(
    "broken off: a stream that ends inside an event or before the first one is not passed on as complete")
{
    RawSite site("broken-stream");
    const std::string cut = Event + HalfEvent;
    for (const std::string path : {"/stream/", "/streamonce/"}) {
        checkBroken(site, "length", path, {withLength(StreamHead, cut.size()) + cut, "", 0});
        checkBroken(site, "chunks", path, {inChunks(StreamHead) + chunk(cut) + "0\r\n\r\n", "", 0});
        checkBroken(site, "connection", path, {StreamHead + "\r\n" + cut, "", 0});
        checkBroken(site, "connection, no event", path, {StreamHead + "\r\n", "", 0});
        checkBroken(site, "connection, half an event", path, {StreamHead + "\r\n" + HalfEvent, "", 0});
    }
}

TEST_CASE("broken off: an answer whose connection ends or is reset too early is not passed on as complete")
{
    RawSite site("broken-connection");
    for (const bool resets : {false, true}) {
        CAPTURE(resets);
        for (const std::string path : {"/stream/", "/streamonce/"}) {
            checkBroken(site, "length", path,
                        {withLength(StreamHead, 2 * Event.size()), Event, 1, {}, resets});
            checkBroken(site, "chunks", path, {inChunks(StreamHead), chunk(Event), 1, {}, resets});
        }
        checkBroken(site, "length", "/plain/", {withLength(PlainHead, 20), "body", 1, {}, resets});
        checkBroken(site, "chunks", "/plain/", {inChunks(PlainHead), chunk("body"), 1, {}, resets});
        checkBroken(site, "length, large", "/plain/",
                    {withLength(PlainHead, 2 * LargeBody.size()), LargeBody, 1, {}, resets});
        checkBroken(site, "chunks, large", "/plain/", {inChunks(PlainHead), chunk(LargeBody), 1, {}, resets});
    }
    const std::chrono::milliseconds pause{50};
    for (const std::string path : {"/stream/", "/streamonce/"})
        checkBroken(site, "connection", path, {StreamHead + "\r\n", Event, 1, pause, true});
    checkBroken(site, "connection", "/plain/", {PlainHead + "\r\n", "body", 1, pause, true});
    checkBroken(site, "connection, large", "/plain/", {PlainHead + "\r\n", LargeBody, 1, pause, true});
}

TEST_CASE(
    "broken off: a reset that arrives while the request is being sent is not taken for the end of the answer")
{
    RawSite site("broken-early");
    const std::string body(16 << 20, 'x');
    const std::chrono::milliseconds pause{100};
    for (const std::string path : {"/stream/", "/streamonce/"})
        checkBroken(site, "stream", path, {StreamHead + "\r\n", Event, 2, pause, true}, body);
    checkBroken(site, "plain", "/plain/", {PlainHead + "\r\n", "body", 2, pause, true}, body);
}

// Guards against the begin of an answer that passes for the whole because a close precedes the reset.
TEST_CASE(
    "broken off: an answer whose upstream closes and resets before it has read the request is not whole")
{
    RawSite site("broken-unread");
    const std::string body(3 << 20, 'x');
    for (const int delayMs : {0, 5, 50, 300}) {
        CAPTURE(delayMs);
        const std::chrono::milliseconds delay{delayMs};
        for (const std::string path : {"/stream/", "/streamonce/"})
            checkBroken(site, "stream", path, {StreamHead + "\r\n", Event, 2, {}, true, delay}, body);
        checkBroken(site, "plain", "/plain/", {PlainHead + "\r\n", "body", 2, {}, true, delay}, body);
        checkBroken(site, "plain, large", "/plain/", {PlainHead + "\r\n", LargeBody, 1, {}, true, delay},
                    body);
    }
    checkBroken(site, "never read", "/plain/", {PlainHead + "\r\n", "body", 2}, body);
}

TEST_CASE(
    "broken off: an answer that ends before the request is read is whole if its upstream reads the rest")
{
    RawSite site("early-whole");
    const std::string body(3 << 20, 'x');
    RawResponse response{PlainHead + "\r\n", "body", 2};
    response.readsRest = true;
    site.use(response);
    const RawAnswer answer = site.call("/plain/", "1.1", body);
    CHECK(statusOf(answer) == 200);
    CHECK(looksComplete(answer, true));
    site.use({"HTTP/1.1 413 Too large\r\nX-Attempt-Id: {id}\r\n\r\n", "body", 2});
    CHECK(statusOf(site.call("/plain/", "1.1", body)) == 413);
}

// Shows what held before: callers get no status that an upstream in trouble has made up.
TEST_CASE("broken off: an answer whose status is none is not passed on")
{
    RawSite site("odd-status");
    for (const std::string status :
         {"000", "001", "099", "600", "999", "2", "20", "2000", "+20", "-20", "abc"}) {
        CAPTURE(status);
        site.use(
            {"HTTP/1.1 " + status + " Odd\r\nX-Attempt-Id: {id}\r\nContent-Length: 4\r\n\r\n", "body", 1});
        CHECK(statusOf(site.call("/plain/", "1.1")) == 502);
        CHECK(site.server().requests() > 0);
    }
}

TEST_CASE("broken off: a stream that reaches its deadline does not end as complete")
{
    RawSite site("broken-deadline");
    for (const std::string path : {"/stream/", "/streamonce/"})
        checkBroken(site, "deadline", path, endlessStream());
}

TEST_CASE("broken off: an instance that is stopped or killed ends no stream as complete")
{
    for (const int signal : {SIGTERM, SIGKILL}) {
        for (const std::string version : {"1.1", "1.0"}) {
            CAPTURE(signal);
            CAPTURE(version);
            RawSite site("broken-stop-" + std::to_string(signal) + '-' + version);
            site.use(endlessStream());
            std::atomic<bool> begun = false;
            auto answer = std::async(std::launch::async, [&] {
                return site.call("/stream/", version, "{}", [&](const std::string &bytes) {
                    begun = begun || bytes.find("data: a") != std::string::npos;
                });
            });
            CHECK(waitUntil([&] { return begun.load(); }));
            site.site().instances()[0].process->signal(signal);
            const RawAnswer received = answer.get();
            CHECK(statusOf(received) == 200);
            CHECK_FALSE(looksComplete(received, version == "1.1"));
            CHECK(received.end != RawAnswer::End::TimedOut);
        }
    }
}

TEST_CASE("broken off: a whole answer reaches callers that know no chunks as complete, in every framing")
{
    RawSite site("whole");
    for (const std::string path : {"/stream/", "/streamonce/", "/plain/"}) {
        const std::string head = path == "/plain/" ? PlainHead : StreamHead;
        const std::string body = Event + Event;
        for (const std::string &bytes : {withLength(head, body.size()) + body, head + "\r\n" + body,
                                         inChunks(head) + chunk(body) + "0\r\n\r\n"}) {
            CAPTURE(bytes);
            site.use({bytes, "", 0});
            const RawAnswer answer = site.call(path, "1.0");
            CHECK(statusOf(answer) == 200);
            CHECK(looksComplete(answer, false));
            CHECK(answer.bytes.ends_with("\r\n\r\n" + body));
        }
    }
}

TEST_CASE("broken off: a response whose head is cut short is not passed on as a whole success")
{
    RawSite site("cut-head");
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const std::string &head :
         {status, PlainHead + "Content-Length: 1", StreamHead, inChunks(StreamHead)}) {
        CAPTURE(head);
        for (const std::string path : {"/plain/", "/booking/", "/stream/", "/streamonce/"})
            checkBroken(site, "head", path, {head, "", 0});
    }
}

TEST_CASE("broken off: a stream goes on only with events that follow those that its caller has")
{
    RawSite site("continuation");
    const std::string events = Event + "id: 2\ndata: a\n\n";
    const RawResponse begun{inChunks(StreamHead) + chunk(events + HalfEvent), "", 0};
    const std::string other = "other\n\n";
    const std::string attempt = "\r\nX-Attempt-Id: {id}\r\n";
    const std::string html =
        "HTTP/1.1 200 OK" + attempt + "X-Server-Seal: raw\r\nContent-Type: text/html\r\n";
    const std::string untyped = "HTTP/1.1 200 OK" + attempt + "X-Server-Seal: raw\r\n";
    const std::string error = "HTTP/1.1 500 Failed" + attempt + "Content-Type: text/event-stream\r\n";
    const std::string partial = "HTTP/1.1 206 Partial" + attempt + "Content-Type: text/event-stream\r\n";
    const std::string refusal = "HTTP/1.1 503 Full" + attempt + "X-Not-Executed: 1\r\n";
    const std::string repeated = Event + "id: 2\ndata: other\n\n";
    const std::vector<std::string> responses{
        withLength(html, other.size()) + other,
        inChunks(html) + chunk(other) + "0\r\n\r\n",
        html + "\r\n" + other,
        withLength(untyped, other.size()) + other,
        withLength(error, other.size()) + other,
        inChunks(error) + chunk(other) + "0\r\n\r\n",
        withLength(partial, other.size()) + other,
        withLength(refusal, other.size()) + other,
        withLength("HTTP/1.1 404 Gone" + attempt, other.size()) + other,
        "other\r\n\r\nother\n\n",
        "HTTP/1.1 200 OK" + attempt + "other",
        inChunks(StreamHead) + chunk("data: other\n\n") + "0\r\n\r\n",
        inChunks(StreamHead) + chunk(repeated) + "0\r\n\r\n",
        inChunks(StreamHead) + chunk("event: error\ndata: other\n\n") + "0\r\n\r\n",
    };
    for (const std::string &response : responses) {
        CAPTURE(response);
        site.use(begun, {response, "", 0});
        const RawAnswer answer = site.call("/stream/", "1.1");
        CHECK(statusOf(answer) == 200);
        CHECK_FALSE(looksComplete(answer, true));
        CHECK(answer.bytes.find("id: 2") != std::string::npos);
        CHECK(answer.bytes.find("other") == std::string::npos);
        CHECK(answer.bytes.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(site.server().requests() >= 2);
    }
    // A caller that takes a stream up itself gets no event twice either.
    site.use(begun, {inChunks(StreamHead) + chunk(repeated) + "0\r\n\r\n", "", 0});
    const std::string takenUp =
        "Resumes: broken-" + std::to_string(site.calls() + 1) + "\r\nLast-Event-Id: 2\r\n";
    CHECK(statusOf(site.call("/stream/", "1.1")) == 200);
    const RawAnswer again = site.call("/stream/", "1.1", "{}", {}, takenUp);
    CHECK(again.bytes.find("other") == std::string::npos);
    CHECK_FALSE((statusOf(again) == 200 && looksComplete(again, true)));
    site.use(begun, {inChunks(StreamHead) + chunk("id: 3\ndata: a\n\n") + "0\r\n\r\n", "", 0});
    CHECK(looksComplete(site.call("/stream/", "1.1"), true));
}

TEST_CASE("broken off: a success on a streaming route that is no event stream is passed on whole")
{
    RawSite site("no-event-stream");
    const std::string body = "a\n\nb";
    const std::string head = PlainHead + "Content-Type: application/json\r\n";
    for (const std::string path : {"/stream/", "/streamonce/"}) {
        for (const std::string &bytes :
             {withLength(head, body.size()) + body, inChunks(head) + chunk(body) + "0\r\n\r\n"}) {
            CAPTURE(bytes);
            site.use({bytes, "", 0});
            const RawAnswer answer = site.call(path, "1.1");
            CHECK(statusOf(answer) == 200);
            CHECK(looksComplete(answer, true));
            CHECK(answer.bytes.find(body) != std::string::npos);
        }
    }
}
