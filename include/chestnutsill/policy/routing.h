#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// Whether a request may be retried when its outcome is unknown.
enum class RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The response is a stream of events; at most once unless the route is resumable.
    Streaming,
};

/// One of the services among which the requests of a route are split.
struct WeightedService
{
    std::string service;
    /// Its share is the weight divided by the sum of all weights of the route.
    int weight = 0;
};

/// How requests with one host and path prefix are served.
struct Route
{
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// Time from the arrival of a request to its deadline, unless the caller sets a shorter one.
    milliseconds timeout{};
    /// Target latency of the response, or of its first event.
    milliseconds target{};
    /// Target for the gap between two events of a stream.
    milliseconds gapTarget{};
    /// Priority tier; 0 is the highest.
    int tier = 0;
    /// Maximum number of upstreams to which one request may be sent.
    int maxAttempts = 1;
    /// Whether callers need no API key.
    bool anonymous = false;
    /// Whether an interrupted stream may be continued at another upstream after its last event.
    bool resumable = false;
    std::vector<WeightedService> services;
};

/// Properties of the model engines of a service.
struct EngineTraits
{
    /// Size of the KV cache of one engine, in tokens of prompts and responses.
    std::uint64_t cacheTokens = 0;
    /// Tokens per millisecond that an engine fetches from another engine's prefix cache; 0 if it can't.
    double fetchTokensPerMs = 0;
};

/// A group of upstreams that serve the same routes.
struct Service
{
    /// Path of the upstreams' health check, with which suspected upstreams are verified.
    std::string healthPath;
    /// Maximum number of connections, as published. Not used for routing.
    int maxConnections = 0;
    /// Duration of the cold start after an upstream starts.
    milliseconds coldStart{};
    /// Requests per second that an upstream in its cold start accepts from all instances together.
    double coldPerSecond = 0;
    /// Set if the upstreams are model engines.
    std::optional<EngineTraits> engine;
};

/// Limits on the requests of callers.
struct CallerLimits
{
    /// Maximum size of the request line and header fields together, in bytes.
    std::size_t maxHead = 16'384;
    /// Maximum size of a request body in bytes.
    std::size_t maxBody = 1 << 20;
    /// Time for the request line and header fields to arrive, from their first byte.
    milliseconds headTimeout{3000};
    /// Time that a connection may stay idle between requests.
    milliseconds idleTimeout{15000};
};

/// One client account.
struct ClientAccount
{
    std::string name;
    /// Priority tier; takes precedence over the tier of the route.
    std::optional<int> tier;
};

/// One published version of routes, services and client accounts.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    std::vector<ClientAccount> accounts;
    /// Index into `accounts` by API key.
    std::unordered_map<std::string, std::size_t> accountByKey;
    CallerLimits limits;
};

/// The route of a host with the longest matching path prefix, or null if none matches. The port of the host
/// is ignored and its case is not significant.
[[nodiscard]] const Route *findRoute(const RoutingTable &table, std::string_view host,
                                     std::string_view path) noexcept;

/// The client account that owns an API key, or null if the key is unknown.
[[nodiscard]] const ClientAccount *findAccount(const RoutingTable &table, std::string_view key);

/// Priority rank of a request at an engine, from 0 (most urgent) to 9: ordered by the tier of the account,
/// then by the tier of the route. Higher ranks are reduced to 9.
[[nodiscard]] int engineRank(const RoutingTable &table, const Route &route,
                             const ClientAccount *account) noexcept;

/// Name of the service for one request of a route, selected by weight. The same seed gives the same service
/// while the weights don't change. The first service if no weight is positive; empty if the route has none.
[[nodiscard]] std::string_view selectService(const Route &route, std::uint64_t seed) noexcept;

} // namespace chestnutsill
