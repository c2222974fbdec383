#pragma once

#include "chestnutsill/net/exchange.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace chestnutsill {

/// Bounds on what a caller may send.
struct HttpLimits
{
    std::size_t maxBody = 1 << 20;
    /// Most bytes of the request line and the header fields together.
    std::size_t maxHead = 16'384;
    /// Time to send the request line and the header fields after the first byte.
    std::chrono::milliseconds headTimeout{10000};
    /// Time to send a whole request after its first byte.
    std::chrono::milliseconds readTimeout{10000};
    /// Time that a connection may rest between requests.
    std::chrono::milliseconds idleTimeout{30000};
    /// Time that one write may take.
    std::chrono::milliseconds writeTimeout{10000};
};

/// Accepts connections and runs the handler for each request in a fiber of its own.
class HttpServer
{
public:
    using Handler = std::function<void(Exchange &, const Fiber &)>;
    /// Gives the limits for the next request of a connection.
    using LimitsSource = std::function<HttpLimits()>;

    /// Listens on `address` (IP address and port). Throws `std::runtime_error` when it can't.
    HttpServer(boost::asio::io_context &io, const std::string &address, HttpLimits limits, Handler handler);

    /// The same with limits that may change while the server runs.
    HttpServer(boost::asio::io_context &io, const std::string &address, LimitsSource limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Stops accepting connections. Requests in progress go on.
    void stopAccepting();

    /// Number of requests in progress.
    [[nodiscard]] int activeRequests() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace chestnutsill
