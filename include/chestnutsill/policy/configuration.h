#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/pool.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// A request class: its latency target, tier and whether its requests are idempotent.
struct RequestClass
{
    std::string name;
    /// 0 is the highest tier.
    int tier = 0;
    /// Model or plain service that serves the class.
    std::string model;
    /// Target time from arrival to the first token, or to the whole answer of a plain service.
    milliseconds firstTokenTarget{1100};
    /// Maximum time from arrival to the end of the answer.
    milliseconds deadline{60000};
    /// Whether requests may be retried; false when a request must run at most once.
    bool repeatable = true;
    /// Forecast number of requests in a month.
    std::uint64_t monthlyRequests = 0;
    /// Forecast mean number of tokens of a request and its answer.
    std::uint64_t tokensPerRequest = 0;

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/// A tier and the minimum share of starts that higher tiers leave it.
struct Tier
{
    std::string name;
    double floor = 0;

    friend bool operator==(const Tier &, const Tier &) = default;
};

/// An availability zone.
struct Zone
{
    std::string name;
    /// Whether an operator has taken the zone out of service.
    bool out = false;

    friend bool operator==(const Zone &, const Zone &) = default;
};

/// An upstream: a model engine or a plain service.
struct Upstream
{
    std::string name;
    /// IP address and port.
    std::string address;
    std::string zone;
    /// Model or plain service that the upstream serves.
    std::string model;
    /// Concurrent requests after cold start.
    int slots = 1;
    /// Concurrent requests at the beginning of a cold start.
    int coldSlots = 1;
    /// Whether an operator has taken the upstream out of service.
    bool out = false;

    friend bool operator==(const Upstream &, const Upstream &) = default;
};

/// The published configuration. Every instance replaces a lower version by a higher one and never goes back.
struct Configuration
{
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<Tier> tiers;
    std::vector<RequestClass> classes;
    std::vector<std::string> accounts;
    std::vector<Zone> zones;
    std::vector<Upstream> upstreams;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// The class with this name, or null.
[[nodiscard]] const RequestClass *findClass(const Configuration &configuration,
                                            std::string_view name) noexcept;

/// The upstream with this name, or null.
[[nodiscard]] const Upstream *findUpstream(const Configuration &configuration,
                                           std::string_view name) noexcept;

/// Whether the upstream and its availability zone are both in service.
[[nodiscard]] bool isOpen(const Configuration &configuration, const Upstream &upstream) noexcept;

/// Name of the pool of an upstream: `<model>/<zone>`.
[[nodiscard]] std::string poolOf(const Upstream &upstream);

/// Names of the pools that have an open upstream for this model, sorted.
[[nodiscard]] std::vector<std::string> openPools(const Configuration &configuration, std::string_view model);

/// Names of all pools, sorted.
[[nodiscard]] std::vector<std::string> allPools(const Configuration &configuration);

/// The upstreams of one pool. Those named in `leaving` are not open.
[[nodiscard]] std::vector<UpstreamSpec> poolSpecs(const Configuration &configuration, std::string_view pool,
                                                  std::span<const std::string> leaving);

/// Minimum share of starts of each tier; zero for tiers that the configuration does not name.
[[nodiscard]] std::array<double, TierCount> tierFloors(const Configuration &configuration) noexcept;

} // namespace chestnutsill
