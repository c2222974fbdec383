#pragma once

#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/requestpermits.h"
#include "chestnutsill/policy/storerevision.h"
#include "chestnutsill/policy/streamorigins.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/policy/upstreamratelimits.h"
#include "chestnutsill/policy/upstreamspeeds.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnutsill {

/// Proves to the receiver of a heartbeat that it was sent after one of the receiver's own heartbeats. The
/// time of arrival alone says nothing about the age of a datagram, because it may have waited in the socket
/// buffer while the receiving process was stopped.
struct HeartbeatEcho
{
    /// Incarnation of the instance whose heartbeat is echoed.
    std::uint64_t incarnation = 0;
    /// Time by that instance's clock when it sent the echoed heartbeat.
    Instant sentAt{};
    /// Time from the arrival of the echoed heartbeat to the sending of the one that carries this echo.
    Instant delay{};
};

/// Request of an instance to a peer, or the reply to it.
template<typename Content>
struct PeerQuery
{
    /// Chosen by the asking instance.
    std::uint64_t id = 0;
    Content content;
};

/// Tells a peer the origin of a stream that has begun.
struct StreamNotice
{
    std::uint64_t stream = 0;
    StreamOrigin origin;
};

/// Heartbeat with gossip about other instances and upstreams, sent to peers at short intervals as one
/// datagram.
struct GossipMessage
{
    InstanceStatus self;
    std::vector<InstanceStatus> others;
    /// Version of the sender's active routing table; 0 before the first.
    std::uint64_t tableVersion = 0;
    /// Age of the confirmation that this version is the newest published; empty when it was never confirmed.
    std::optional<milliseconds> confirmedAge;
    /// Empty when the message carries no loads. In a large cluster only messages to and from hubs carry them.
    std::optional<std::vector<UpstreamLoad>> loads;
    /// Time of sending by the sender's clock.
    Instant sentAt{};
    std::vector<HeartbeatEcho> echoes;
    std::vector<PrefixCacheUpdate> cacheUpdates;
    /// Crashes with times by the sender's clock, no later than `sentAt`.
    std::vector<CrashNotice> crashes;
    /// Upstreams that were alive after their crash had been reported, with times like `crashes`.
    std::vector<CrashDisproof> disproofs;
    std::vector<LivenessDigest> digests;
    /// Hashes of the names of instances that the sender has no status of and asks for.
    std::vector<std::uint32_t> unknownInstances;
    /// Store revision up to which the sender has applied all changes.
    StoreRevision revision;
    /// How long the sender has followed the store without a gap; 0 when it can't read the store.
    milliseconds followedFor{};
    /// Fingerprints of requests that were suspected of causing a crash and have since completed.
    std::vector<std::uint64_t> cleared;
    /// Prompt parts and whole requests that the sender refuses; see `CrashingParts`.
    std::vector<PartBan> bans;
    /// Prompt parts that were suspected of causing a crash and have since been served.
    std::vector<std::uint64_t> servedParts;
    /// Hashes of the ids of upstreams that are silent for the sender; see `SilenceDetector`.
    std::vector<std::uint64_t> silentUpstreams;
    /// Request rates that upstreams name in their responses; see `UpstreamRateLimits`.
    std::vector<RateLimitNotice> rateLimits;
    /// Speeds of upstreams that have changed since they were last sent; see `UpstreamSpeeds`. Sent where
    /// loads are.
    SpeedReports speeds;
    /// A message with one of these holds nothing else but `self` and is not a heartbeat.
    std::optional<PeerQuery<PermitRequest>> permitRequest;
    std::optional<PeerQuery<Permit>> permit;
    std::optional<StreamNotice> streamNotice;
    /// The content of the request is the stream; that of the reply is nothing if its origin is not known.
    std::optional<PeerQuery<std::uint64_t>> originRequest;
    std::optional<PeerQuery<std::optional<StreamOrigin>>> origin;
};

/// Encodes a heartbeat as a packed Cap'n Proto message.
[[nodiscard]] std::string encodeGossip(const GossipMessage &gossip);

/// Decodes a heartbeat. Returns `std::nullopt` when the bytes are not a valid message or name no sender.
[[nodiscard]] std::optional<GossipMessage> decodeGossip(std::span<const char> bytes);

} // namespace chestnutsill
