#pragma once

#include "chestnutsill/policy/pooltypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill {

/// An upstream that has completed its cold start, as its home reports.
struct WarmUpstream
{
    std::string upstream;
    std::string incarnation;
};

/// Load of one pool, as its home reports it.
struct PoolSummary
{
    std::string pool;
    /// Concurrent requests that the pool may run now.
    int capacity = 0;
    int inUse = 0;
    /// Waiting requests by tier.
    std::array<int, TierCount> waiting{};
    /// Upstreams that need no new cold start at the pool's next home.
    std::vector<WarmUpstream> warm;
};

/// State that instances send each other at each heartbeat.
struct Heartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    /// IP address and port for callers.
    std::string address;
    std::uint64_t configVersion = 0;
    /// Hash of the instance list in use.
    std::uint64_t listDigest = 0;
    /// Whether callers may be sent to this instance.
    bool ready = false;
    bool leaving = false;
    /// Prefix for request ids that this instance owns.
    std::string requestIdPrefix;
    /// Pools whose home is the instance.
    std::vector<PoolSummary> pools;
};

/// A published configuration document.
struct PublishedText
{
    std::uint64_t version = 0;
    std::string text;
};

/// A slot held by an instance, reported to the pool's new home.
struct HeldSlot
{
    Ticket ticket;
    std::string pool;
    std::string upstream;
    int tier = 0;
    std::uint64_t fingerprint = 0;
};

/// A request forwarded to the instance that owns its id.
struct ForwardedRequest
{
    std::string requestId;
    std::string account;
    std::string requestClass;
    std::string target;
    std::string contentType;
    std::string body;
};

} // namespace chestnutsill
