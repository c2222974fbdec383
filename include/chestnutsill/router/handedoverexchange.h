#pragma once

#include "chestnutsill/net/exchange.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace chestnutsill {

/// Path at which peers take requests that are handed over to them.
inline constexpr std::string_view HandOverPath = "/handover";

/// Exchange with a peer that has handed over a request of one of its callers. It shows that request instead
/// of the peer's, and marks relayed responses as answered by an upstream.
class HandedOverExchange : public Exchange
{
public:
    explicit HandedOverExchange(Exchange &peer);

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
    void closeAfterResponse() override;

private:
    Exchange &m_peer;
    HttpRequest m_request;
};

} // namespace chestnutsill
