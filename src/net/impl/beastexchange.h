#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/httpserver.h"
#include "impl/beast.h"

#include <functional>
#include <memory>
#include <optional>

namespace chestnutsill {
class ConnectionLease;
}

namespace chestnutsill::impl {

/// Exchange for one request on a caller's connection.
class BeastExchange : public Exchange
{
public:
    /// Responses without a length to a caller that doesn't know chunks end with their connection. `lease` is
    /// null if memory is not bounded; `reservedBytes` are reserved there for the request.
    BeastExchange(beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits, bool keepAlive,
                  bool knowsChunks, ConnectionLease *lease, std::size_t reservedBytes);

    [[nodiscard]] const HttpRequest &request() const noexcept override { return m_request; }

    bool respond(int status, std::string_view contentType, std::string_view body,
                 std::span<const HttpField> fields, const Fiber &fiber) override;
    bool startStream(int status, std::string_view contentType, std::span<const HttpField> fields,
                     const Fiber &fiber) override;
    bool startRelay(int status, std::span<const HttpField> fields, std::optional<std::uint64_t> length,
                    const Fiber &fiber) override;
    bool sendPiece(std::string_view piece, const Fiber &fiber) override;
    bool endStream(const Fiber &fiber) override;
    void abort() override;
    [[nodiscard]] bool callerGone() override;
    void watchCaller(std::function<void()> onGone) override;
    [[nodiscard]] bool reserveMemory(std::size_t bytes) override;
    void closeAfterResponse() override { m_keepAlive = false; }

    /// Stops watching the caller, so that the next request can be read from the connection.
    void stopWatchingCaller();

    /// Whether the connection can serve another request.
    [[nodiscard]] bool isReusable() const noexcept
    {
        return m_keepAlive && !m_failed && !m_streaming && !m_request.error;
    }

    /// Whether a response has begun and not reached its end.
    [[nodiscard]] bool isBrokenOff() const noexcept { return m_streaming; }

private:
    using Head = http::response<http::empty_body>;

    /// Sends the head of a response whose body follows in pieces.
    bool sendHead(Head &head, std::optional<std::uint64_t> length, const Fiber &fiber);

    /// Sets whether closing the connection resets it.
    void setResetOnClose(bool resets);

    /// Sets the fields of a response that this instance makes.
    void setFields(http::fields &response, std::string_view contentType, std::span<const HttpField> fields);

    bool checkResult(const boost::system::error_code &error);

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    const HttpLimits &m_limits;
    bool m_keepAlive;
    bool m_knowsChunks;
    ConnectionLease *const m_lease;
    const std::size_t m_reservedBytes;
    bool m_failed = false;
    bool m_streaming = false;
    bool m_chunked = true;
    /// Whether the end of the connection marks the end of the response.
    bool m_endsWithConnection = false;
    /// Set while the caller is watched; the pending wait holds a weak reference.
    std::shared_ptr<std::function<void()>> m_onGone;
};

} // namespace chestnutsill::impl
