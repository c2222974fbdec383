#pragma once

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Connections to upstreams that rest between two requests. Not thread-safe.
class ConnectionPool
{
public:
    /// Most connections kept for one upstream.
    static constexpr std::size_t MaxIdlePerUpstream = 64;

    /// Takes the connection to an upstream that was used last; null when none is left that can be used.
    [[nodiscard]] std::unique_ptr<HttpClient> take(std::string_view upstream, Instant now);

    /// Keeps a connection whose response has ended, until `maxIdleTime` is over.
    void keep(std::string_view upstream, std::unique_ptr<HttpClient> client, milliseconds maxIdleTime,
              Instant now);

    /// Closes all kept connections to an upstream.
    void close(std::string_view upstream);

    /// Closes connections whose time is over.
    void expire(Instant now);

    /// Number of kept connections.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpClient> client;
        Instant expiresAt{};
    };

    std::map<std::string, std::vector<IdleConnection>, std::less<>> m_idle;
};

} // namespace chestnutsill
