#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/instant.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chestnutsill {

/// A request to a server.
struct HttpCall
{
    std::string_view method = "GET";
    std::string_view target = "/";
    std::span<const HttpField> fields{};
    std::string_view body{};
};

/// One connection to an HTTP server. The destructor closes the connection, which cancels pending operations.
/// Functions that connect, send or receive return false or nothing on failure and set `lastReason`.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Connects to an IP address and port, from the IP address `source` unless it is empty.
    [[nodiscard]] bool connect(std::string_view address, std::chrono::milliseconds timeout,
                               const Fiber &fiber, const std::string &source = {});

    /// Sends a request. The server may have received it even if this returns false.
    [[nodiscard]] bool send(const HttpCall &call, std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Starts sending a request and returns at once, so that the response can be read meanwhile, because some
    /// servers respond before they have read the body. The body must stay valid until sending has ended.
    void startSend(const HttpCall &call, std::chrono::milliseconds timeout);

    /// Whether the complete request of `startSend` has been handed to the network.
    [[nodiscard]] bool sendFinished() const noexcept;

    /// Whether the connection can take another request: it is open as far as the local host knows, nothing is
    /// being sent, and nothing has arrived since the last response.
    [[nodiscard]] bool isIdle();

    /// Is called with the memory in bytes that a head takes so far. Returns false to stop reading it.
    using MemoryCheck = std::function<bool(std::size_t)>;

    /// Reads the head of the response. Interim responses (1xx) are skipped; `timeout` applies to all
    /// together.
    [[nodiscard]] std::optional<HttpHead> readHead(std::chrono::milliseconds timeout, const Fiber &fiber,
                                                   const MemoryCheck &check = {});

    /// Reads a piece of the body of at most 16 KiB; an empty piece marks its end. Fails if the body is cut
    /// short or nothing arrives before the timeout.
    [[nodiscard]] std::optional<std::string> readPiece(std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Sends a request and reads its complete response. Fails if the body is larger than `maxBody` bytes.
    /// `timeout` applies separately to sending, to the head and to each piece of the body; all pieces
    /// together may take four times as long.
    [[nodiscard]] std::optional<HttpResponse> call(const HttpCall &call, std::size_t maxBody,
                                                   std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Closes the connection; pending operations fail.
    void close();

    /// Resets the connection, so that bytes of a request that are still in transit are lost instead of being
    /// delivered late.
    void reset();

    /// When the connection was opened.
    [[nodiscard]] Instant connectedAt() const noexcept;

    /// Whether the last failure was a timeout.
    [[nodiscard]] bool timedOut() const noexcept;

    /// Whether `call` failed because the body was larger than its maximum.
    [[nodiscard]] bool isTooLarge() const noexcept;

    /// Reason of the last failure.
    [[nodiscard]] const std::string &lastReason() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/// Sends one request on a new connection and reads the response, with a body of at most 4 MiB. `timeout`
/// applies separately to connecting and as in `HttpClient::call`. Returns nothing
/// on failure and sets `reason`.
[[nodiscard]] std::optional<HttpResponse> fetch(std::string_view address, const HttpCall &call,
                                                std::chrono::milliseconds timeout, const Fiber &fiber,
                                                std::string &reason);

} // namespace chestnutsill
