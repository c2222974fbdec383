#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/net/httpserver.h"
#include "rawserver.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

constexpr const char *ServerAddress = "127.0.0.1:27191";
constexpr int ServerPort = 27191;

std::optional<int> option(int socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    return ::getsockopt(socket, level, name, &value, &size) == 0 ? std::optional(value) : std::nullopt;
}

/// The socket of this process that is connected to the server; -1 if there is none.
int connectedSocket()
{
    constexpr int MaxDescriptor = 256;
    for (int descriptor = 3; descriptor < MaxDescriptor; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && peer.sin_family == AF_INET && ntohs(peer.sin_port) == ServerPort)
            return descriptor;
    }
    return -1;
}

} // namespace

TEST_CASE("http client: a connection outlives a peer that is silent for two seconds when a probe is due")
{
    boost::asio::io_context io;
    HttpServer server(io, ServerAddress, HttpLimits{}, [](Exchange &, const Fiber &) {});
    HttpClient client;
    bool connected = false;
    startFiber(io, [&](const Fiber &fiber) {
        connected = client.connect(ServerAddress, std::chrono::milliseconds(1000), fiber);
        io.stop();
    });
    io.run();
    REQUIRE(connected);
    const int socket = connectedSocket();
    REQUIRE(socket >= 0);
    CHECK(option(socket, SOL_SOCKET, SO_KEEPALIVE).value_or(0) != 0);
    const int idleMs = 1000 * option(socket, IPPROTO_TCP, TCP_KEEPIDLE).value();
    const int probesMs = 1000 * option(socket, IPPROTO_TCP, TCP_KEEPINTVL).value()
                         * option(socket, IPPROTO_TCP, TCP_KEEPCNT).value();
    const int userTimeoutMs = option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT).value();
    // A user timeout replaces the count of probes, and runs from the last byte, not from the first probe.
    const int toleratedMs = userTimeoutMs > 0 ? userTimeoutMs - idleMs : probesMs;
    CHECK(toleratedMs > 2000);
    CHECK((userTimeoutMs == 0 || userTimeoutMs > 2000));
    CHECK(idleMs + toleratedMs <= 10000);
}

TEST_CASE("http client: a response that is cut short in its head or before its end is not read as whole")
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string head = status + "X-Name: value\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::vector<std::string> responses{
        "",
        "HTT",
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK",
        status,
        status + "X-Na",
        head,
        head + "Content-Len",
        head + "Content-Length: 1",
        head + "Content-Length: 0\r\n",
        head + "Content-Length: 0\r\n\r",
        head + "Content-Length: 10\r\n\r\n",
        head + "Content-Length: 10\r\n\r\nbody",
        head + "Transfer-Encoding: chunked\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n5",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
        interim,
        interim + "HTTP/1.1 200",
        interim + head,
    };
    for (const bool resets : {false, true}) {
        CAPTURE(resets);
        for (const std::string &response : responses) {
            CAPTURE(response);
            support::RawServer server({response, "", 0, std::chrono::milliseconds(0), resets});
            boost::asio::io_context io;
            std::optional<HttpResponse> received;
            std::string reason;
            startFiber(io, [&](const Fiber &fiber) {
                received = fetch(server.address(), {}, std::chrono::milliseconds(5000), fiber, reason);
            });
            io.run();
            CHECK(server.requests() == 1);
            CHECK_FALSE(received);
            CHECK(reason != "");
        }
    }
}

// Shows what holds for health checks, reports, the store and peers, which are all read by the same call.
TEST_CASE(
    "http client: bytes without end are not kept beyond the maximum of the body, nor read beyond a time")
{
    constexpr std::size_t MaxBody = 65'536;
    constexpr std::chrono::milliseconds Timeout{200};
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string block(64 << 10, 'x');
    const std::vector<support::RawResponse> responses{
        {ok + "\r\n", block},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
        {ok + "Content-Length: 99999999999\r\n\r\n", block},
        {ok + "Transfer-Encoding: chunked\r\n\r\n1;", block},
        {ok + "X-Name: ", block},
        {ok, "X-Name: value\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {ok + "\r\n", "x", -1, std::chrono::milliseconds(5)},
        {ok + "X-Name: ", "x", -1, std::chrono::milliseconds(5)},
    };
    for (std::size_t i = 0; i < responses.size(); ++i) {
        CAPTURE(i);
        const support::RawServer server(responses[i]);
        boost::asio::io_context io;
        bool failed = false;
        startFiber(io, [&](const Fiber &fiber) {
            HttpClient client;
            REQUIRE(client.connect(server.address(), std::chrono::milliseconds(1000), fiber));
            failed = !client.call({.target = "/healthz"}, MaxBody, Timeout, fiber);
            io.stop();
        });
        io.run();
        CHECK(failed);
        CHECK_FALSE(server.reachedLimit());
    }
}
