#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/net/http.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace chestnutsill {

/// One request of a caller and the means to respond to it, with a complete response or a stream. Functions
/// that send return false if sending fails or has failed before.
class Exchange
{
public:
    virtual ~Exchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;

    /// Sends a complete response.
    virtual bool respond(int status, std::string_view contentType, std::string_view body,
                         std::span<const HttpField> fields, const Fiber &fiber) = 0;

    /// Sends the head of a streamed response.
    virtual bool startStream(int status, std::string_view contentType, std::span<const HttpField> fields,
                             const Fiber &fiber) = 0;

    /// Sends the head of a relayed response with these fields, besides those for connection and length. The
    /// pieces that follow add up to `length` bytes; without a length they are sent with chunked transfer
    /// encoding or, to a caller that speaks HTTP/1.0, end with the connection.
    virtual bool startRelay(int status, std::span<const HttpField> fields,
                            std::optional<std::uint64_t> length, const Fiber &fiber) = 0;

    /// Sends a piece of a streamed or relayed response.
    virtual bool sendPiece(std::string_view piece, const Fiber &fiber) = 0;

    /// Marks a streamed or relayed response as complete.
    virtual bool endStream(const Fiber &fiber) = 0;

    /// Ends the connection without completing the response, so that the caller can tell that it is cut short:
    /// closes it or, if a close would mark the end of the response, resets it.
    virtual void abort() = 0;

    /// Whether the caller has closed its connection.
    [[nodiscard]] virtual bool callerGone() = 0;

    /// Calls `onGone` once if the caller closes its connection before the exchange ends.
    virtual void watchCaller(std::function<void()> onGone) = 0;

    /// Reserves memory for reading and buffering the response, in place of what was reserved before. Returns
    /// false if the process has none left for it.
    [[nodiscard]] virtual bool reserveMemory(std::size_t /*bytes*/) { return true; }

    /// Makes the response announce that the connection closes after it.
    virtual void closeAfterResponse() = 0;
};

} // namespace chestnutsill
