#pragma once

#include "chestnutsill/net/httpclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// Makes calls to one server after the other over a connection that it keeps. A connection on which a call
/// has failed, or that the server has closed, is not used again.
class KeepAliveClient
{
public:
    explicit KeepAliveClient(std::chrono::milliseconds connectTimeout)
        : m_connectTimeout(connectTimeout)
    {}

    /// Makes a call, on a new connection if there is none to this address. Returns nothing on failure and
    /// sets `lastReason`.
    [[nodiscard]] std::optional<HttpResponse> call(const std::string &address, const HttpCall &call,
                                                   std::size_t maxBody, std::chrono::milliseconds timeout,
                                                   const Fiber &fiber);

    /// Closes the connection; a call that waits on it fails.
    void close();

    /// Why the last call failed.
    [[nodiscard]] const std::string &lastReason() const noexcept { return m_reason; }

private:
    std::chrono::milliseconds m_connectTimeout;
    std::string m_address;
    std::unique_ptr<HttpClient> m_client;
    std::string m_reason;
};

} // namespace chestnutsill
