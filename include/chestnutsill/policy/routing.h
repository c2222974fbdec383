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

/// What may be repeated when the outcome of a request is unknown.
enum class RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events; at most once unless the route is resumable.
    Streaming,
};

/// One of the services that a route is split over.
struct WeightedService
{
    std::string service;
    /// Share relative to the sum of all weights of the route.
    int weight = 0;
};

/// How requests of one host and path prefix are served.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{};
    /// Time within which the answer, or its first event, is on time.
    milliseconds target{};
    /// Longest pause between events that is still on time.
    milliseconds gapTarget{};
    /// Tier, 0 the highest.
    int tier = 0;
    /// Most upstreams that one request may be sent to.
    int maxAttempts = 1;
    /// Whether callers need no key.
    bool anonymous = false;
    /// Whether a stream may continue at another upstream after its last event.
    bool resumable = false;
    std::vector<WeightedService> services;
};

/// What an engine of a service can do.
struct EngineTraits
{
    /// Tokens of prompts and answers that fit into its memory.
    std::uint64_t cacheTokens = 0;
    /// Tokens that one engine fetches from the memory of another in a millisecond; 0 when it can't.
    double fetchTokensPerMs = 0;
};

/// A group of upstreams that serve the same routes.
struct Service
{
    std::string healthPath;
    int maxConnections = 0;
    /// How long an upstream stays cold after its start.
    milliseconds coldStart{};
    /// Requests per second that a cold upstream bears, from all instances together.
    double coldPerSecond = 0;
    /// Set for services of model engines.
    std::optional<EngineTraits> engine;
};

/// Bounds on what callers may send.
struct CallerLimits
{
    std::size_t maxHead = 16'384;
    std::size_t maxBody = 1 << 20;
    milliseconds headTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One client account.
struct ClientAccount
{
    std::string name;
    /// Tier that goes before the tier of the route, if set.
    std::optional<int> tier;
};

/// One published version of routes, services and client accounts.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    std::vector<ClientAccount> accounts;
    /// Index into `accounts` by key.
    std::unordered_map<std::string, std::size_t> accountByKey;
    CallerLimits limits;
};

/// The route of a host with the longest prefix that begins the path; null when there is none. The host is
/// compared without its port and without regard to case.
[[nodiscard]] const Route *findRoute(const RoutingTable &table, std::string_view host,
                                     std::string_view path) noexcept;

/// The account that holds a key; null when there is none.
[[nodiscard]] const ClientAccount *findAccount(const RoutingTable &table, std::string_view key);

/// Rank of a request at an engine, 0 the most urgent and 9 the least: by the account's tier first, and among
/// equal accounts by the route's. Ranks beyond the range are cut off at its end.
[[nodiscard]] int engineRank(const RoutingTable &table, const Route &route,
                             const ClientAccount *account) noexcept;

/// The service for one request of a route: the same for the same seed while the weights stay. Empty when the
/// route has no service.
[[nodiscard]] std::string_view selectService(const Route &route, std::uint64_t seed) noexcept;

} // namespace chestnutsill
