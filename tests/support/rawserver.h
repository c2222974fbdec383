#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chestnutsill::support {

/// What a `RawServer` sends on each connection after the head of a request: `head`, then `filler` again and
/// again. In `head`, `{id}` stands for the attempt id of the request.
struct RawResponse
{
    std::string head;
    std::string filler;
    /// How often `filler` is sent before the server closes the connection; -1 until the peer closes it.
    int fillerCount = -1;
    /// Pause after each `filler`.
    std::chrono::milliseconds pause{0};
    /// Whether the server resets the connection at the end instead of closing it.
    bool resets = false;
    /// How long before a reset the server closes its side; not at all if it is negative.
    std::chrono::milliseconds closedBeforeReset{-1};
    /// Whether the server reads the rest of the request after it has closed its side.
    bool readsRest = false;
};

/// A TCP server on loopback that sends bytes of the test's choice, whether or not they are HTTP. It stops
/// sending after `MaxBytes` on a connection, so that a peer that never closes it fails the test.
class RawServer
{
public:
    static constexpr std::int64_t MaxBytes = 512 << 20;

    explicit RawServer(RawResponse response);
    /// Sends `resumed` to requests that take a stream up, and `response` to all others.
    RawServer(RawResponse response, RawResponse resumed);
    ~RawServer();

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// IP address and port.
    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /// Number of requests received, and of connections that the peer has closed while the server was sending.
    [[nodiscard]] int requests() const noexcept { return m_requests; }
    [[nodiscard]] int closedByPeer() const noexcept { return m_closedByPeer; }

    /// Whether `MaxBytes` were sent on any connection.
    [[nodiscard]] bool reachedLimit() const noexcept { return m_reachedLimit; }

private:
    void acceptConnections();
    void serve(int connection);
    void reset(int connection);
    static void readRest(int connection);
    [[nodiscard]] bool sendAll(int connection, const std::string &bytes);

    RawResponse m_response;
    RawResponse m_resumed;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_closedByPeer = 0;
    std::atomic<bool> m_reachedLimit = false;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::vector<int> m_connections;
};

} // namespace chestnutsill::support
