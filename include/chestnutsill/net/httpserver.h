#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/policy/memorybudget.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace chestnutsill {

class ConnectionBudget;

/// Size limits and timeouts for the connections of callers.
struct HttpLimits
{
    /// Maximum size of a request body in bytes.
    std::size_t maxBody = 1 << 20;
    /// Maximum size of the request line and header fields together, in bytes.
    std::size_t maxHead = 16'384;
    /// Time for the request line and header fields to arrive, from their first byte.
    std::chrono::milliseconds headTimeout{10000};
    /// Time for the body to arrive after the header fields.
    std::chrono::milliseconds readTimeout{10000};
    /// Time that a connection may stay idle between requests.
    std::chrono::milliseconds idleTimeout{30000};
    /// Timeout of one write.
    std::chrono::milliseconds writeTimeout{10000};
};

/// The part of a process's memory budget that a server uses. Memory is not bounded without a budget.
struct ServerMemory
{
    std::shared_ptr<ConnectionBudget> budget;
    MemoryBudget::Origin origin = MemoryBudget::Origin::Caller;
};

/// Accepts connections, each served in its own fiber, and runs the handler for each request.
class HttpServer
{
public:
    using Handler = std::function<void(Exchange &, const Fiber &)>;
    /// Returns the limits for the next request of a connection.
    using LimitsSource = std::function<HttpLimits()>;

    /// Listens on `address` (IP address and port). Throws `std::runtime_error` on failure.
    HttpServer(boost::asio::io_context &io, const std::string &address, HttpLimits limits, Handler handler,
               ServerMemory memory = {});

    /// Same as above, with limits that may change while the server runs.
    HttpServer(boost::asio::io_context &io, const std::string &address, LimitsSource limits, Handler handler,
               ServerMemory memory = {});
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Stops accepting connections. Requests in progress continue.
    void stopAccepting();

    /// Refuses the requests that have arrived in part, as not run.
    void refuseUnfinished();

    /// Number of requests in progress.
    [[nodiscard]] int activeRequests() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace chestnutsill
