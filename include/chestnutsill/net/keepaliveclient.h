#pragma once

#include "chestnutsill/net/httpclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// Sends requests one after another over a persistent connection. It opens a new connection if the address
/// changes, the last call failed or the server has closed the connection.
class KeepAliveClient
{
public:
    explicit KeepAliveClient(std::chrono::milliseconds connectTimeout)
        : m_connectTimeout(connectTimeout)
    {}

    /// Sends a request and reads its response, with a body of at most `maxBody` bytes. `timeout` applies as
    /// in `HttpClient::call`. Returns nothing on failure and sets `lastReason`.
    [[nodiscard]] std::optional<HttpResponse> call(const std::string &address, const HttpCall &call,
                                                   std::size_t maxBody, std::chrono::milliseconds timeout,
                                                   const Fiber &fiber);

    /// Closes the connection; a pending call fails.
    void close();

    /// Whether the last call failed because of the size of its response.
    [[nodiscard]] bool isTooLarge() const noexcept { return m_tooLarge; }

    /// Why the last call failed.
    [[nodiscard]] const std::string &lastReason() const noexcept { return m_reason; }

private:
    std::chrono::milliseconds m_connectTimeout;
    std::string m_address;
    std::unique_ptr<HttpClient> m_client;
    std::string m_reason;
    bool m_tooLarge = false;
};

} // namespace chestnutsill
