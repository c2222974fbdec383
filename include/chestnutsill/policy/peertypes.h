#pragma once

#include "chestnutsill/policy/pooltypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill {

/// An upstream that its home has seen through cold start.
struct WarmUpstream
{
    std::string upstream;
    std::string incarnation;
};

/// Load of one pool as its home sees it.
struct PoolSummary
{
    std::string pool;
    /// Requests at once that the pool may run now.
    int capacity = 0;
    int inUse = 0;
    /// Waiting requests by tier.
    std::array<int, TierCount> waiting{};
    /// Tells the next home which upstreams need no new cold start.
    std::vector<WarmUpstream> warm;
};

/// What instances tell each other at each heartbeat.
struct Heartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    /// Address for callers.
    std::string address;
    std::uint64_t configVersion = 0;
    /// Hash of the instance list in use.
    std::uint64_t listDigest = 0;
    /// Whether callers may be sent to this instance.
    bool ready = false;
    bool leaving = false;
    /// Prefix for request ids that this instance will own.
    std::string requestIdPrefix;
    /// Pools of which the instance is home.
    std::vector<PoolSummary> pools;
};

/// A published configuration document.
struct PublishedText
{
    std::uint64_t version = 0;
    std::string text;
};

/// A slot held by an instance, told to the pool's new home.
struct HeldSlot
{
    Ticket ticket;
    std::string pool;
    std::string upstream;
    int tier = 0;
    std::uint64_t fingerprint = 0;
};

/// A request passed to the instance that its id names.
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
