#pragma once

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Idle connections to upstreams, kept for reuse by later requests. Not thread-safe.
class ConnectionPool
{
public:
    /// Maximum number of idle connections kept for one upstream; more are closed.
    static constexpr std::size_t MaxIdlePerUpstream = 64;

    /// Sets how many idle connections to all upstreams are kept at most.
    void setMaxIdle(std::size_t count) noexcept { m_maxIdle = count; }

    /// Removes and returns the most recently used connection to an upstream; null if there is none that can
    /// be reused.
    [[nodiscard]] std::unique_ptr<HttpClient> acquire(std::string_view upstream, Instant now);

    /// Keeps a connection whose response is complete for at most `maxIdleTime`.
    void release(std::string_view upstream, std::unique_ptr<HttpClient> client, milliseconds maxIdleTime,
                 Instant now);

    /// Whether an idle connection to an upstream is kept.
    [[nodiscard]] bool has(std::string_view upstream) const;

    /// Closes all idle connections to an upstream.
    void close(std::string_view upstream);

    /// Closes connections that have been idle for too long.
    void expire(Instant now);

    /// Number of idle connections to all upstreams.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpClient> client;
        Instant expiresAt{};
    };

    std::map<std::string, std::vector<IdleConnection>, std::less<>> m_idle;
    std::size_t m_maxIdle = SIZE_MAX;
};

} // namespace chestnutsill
