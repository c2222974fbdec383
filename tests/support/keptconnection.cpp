#include "keptconnection.h"

#include <utility>

namespace chestnutsill::support {

KeptConnection::KeptConnection(std::string address)
    : m_address(std::move(address))
{}

std::optional<HttpResponse> KeptConnection::call(const HttpCall &call, std::chrono::milliseconds timeout)
{
    constexpr std::size_t MaxBodyBytes = 4 << 20;
    std::optional<HttpResponse> response;
    m_io.restart();
    startFiber(m_io, [&](const Fiber &fiber) {
        if (!m_client || !m_client->isIdle()) {
            m_client = std::make_unique<HttpClient>();
            if (!m_client->connect(m_address, timeout, fiber)) {
                m_client.reset();
                return;
            }
        }
        response = m_client->call(call, MaxBodyBytes, timeout, fiber);
        if (!response)
            m_client.reset();
    });
    m_io.run();
    return response;
}

} // namespace chestnutsill::support
