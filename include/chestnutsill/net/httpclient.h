#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/net/http.h"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chestnutsill {

/// What is sent to a server.
struct HttpCall
{
    std::string_view method = "GET";
    std::string_view target = "/";
    std::span<const HttpField> fields{};
    std::string_view body{};
};

/// One connection to an HTTP server. Destroying it closes the connection, which cancels what runs on it. Each
/// function returns false or nothing on failure and sets `lastReason`.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Connects to an IP address and port.
    [[nodiscard]] bool connect(std::string_view address, std::chrono::milliseconds timeout,
                               const Fiber &fiber);

    /// Sends a request. When it returns false the server may have received it.
    [[nodiscard]] bool send(const HttpCall &call, std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Starts sending a request and returns at once, so that the response can be read meanwhile. Some servers
    /// answer before they have read the body. The body must outlive the exchange.
    void startSend(const HttpCall &call, std::chrono::milliseconds timeout);

    /// Whether the request of `startSend` has been handed to the network as a whole.
    [[nodiscard]] bool sendFinished() const noexcept;

    /// Whether nothing has arrived since the last response and the connection is open, as far as is known
    /// here.
    [[nodiscard]] bool isIdle();

    /// Reads the head of the response. Interim responses (1xx) are skipped.
    [[nodiscard]] std::optional<HttpHead> readHead(std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Reads a piece of the body of at most 16 KiB; an empty piece ends it. Fails when the body is cut short
    /// or nothing arrives in time.
    [[nodiscard]] std::optional<std::string> readPiece(std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Sends a request and reads its whole response of at most `maxBody` bytes.
    [[nodiscard]] std::optional<HttpResponse> call(const HttpCall &call, std::size_t maxBody,
                                                   std::chrono::milliseconds timeout, const Fiber &fiber);

    /// Closes the connection; what waits on it fails.
    void close();

    /// Resets the connection, so that bytes of a request which are still on their way are lost rather than
    /// delivered late.
    void reset();

    /// Whether the last failure was a timeout.
    [[nodiscard]] bool timedOut() const noexcept;

    /// What went wrong last.
    [[nodiscard]] const std::string &lastReason() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/// Makes one call on a connection of its own. Returns nothing on failure and sets `reason`.
[[nodiscard]] std::optional<HttpResponse> fetch(std::string_view address, const HttpCall &call,
                                                std::chrono::milliseconds timeout, const Fiber &fiber,
                                                std::string &reason);

} // namespace chestnutsill
