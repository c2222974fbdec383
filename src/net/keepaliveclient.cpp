#include "chestnutsill/net/keepaliveclient.h"

namespace chestnutsill {

std::optional<HttpResponse> KeepAliveClient::call(const std::string &address, const HttpCall &call,
                                                  std::size_t maxBody, std::chrono::milliseconds timeout,
                                                  const Fiber &fiber)
{
    m_tooLarge = false;
    if (!m_client || m_address != address || !m_client->isIdle()) {
        m_address = address;
        m_client = std::make_unique<HttpClient>();
        if (!m_client->connect(address, m_connectTimeout, fiber)) {
            m_reason = m_client->lastReason();
            m_client.reset();
            return std::nullopt;
        }
    }
    auto response = m_client->call(call, maxBody, timeout, fiber);
    if (!response) {
        m_reason = m_client->lastReason();
        m_tooLarge = m_client->isTooLarge();
    }
    if (!response || !response->head.keepAlive)
        m_client.reset();
    return response;
}

void KeepAliveClient::close()
{
    if (m_client)
        m_client->close();
}

} // namespace chestnutsill
