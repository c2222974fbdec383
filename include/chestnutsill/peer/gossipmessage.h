#pragma once

#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/upstreamload.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnutsill {

/// Proof that a heartbeat was sent after one of the receiver's own. A datagram may lie unread while its
/// receiver is stopped, so its arrival says nothing about its age.
struct HeartbeatEcho
{
    /// Incarnation of the instance whose heartbeat is echoed.
    std::uint64_t incarnation = 0;
    /// Its clock when it sent that heartbeat.
    Instant sentAt{};
    /// Time from its arrival to the heartbeat that carries this echo.
    Instant held{};
};

/// What one instance tells others at short intervals in one datagram.
struct GossipMessage
{
    InstanceStatus self;
    std::vector<InstanceStatus> others;
    /// Version of the routing table in force; 0 before the first.
    std::uint64_t tableVersion = 0;
    /// Age of the confirmation that it is the newest; nothing when there is none.
    std::optional<milliseconds> confirmedAge;
    /// Nothing when the heartbeat says nothing about loads.
    std::optional<std::vector<UpstreamLoad>> loads;
    /// The sender's clock.
    Instant sentAt{};
    std::vector<HeartbeatEcho> echoes;
    std::vector<PrefixCacheUpdate> copies;
    std::vector<CrashNotice> crashes;
    std::vector<LivenessDigest> signs;
    /// Hashes of the names of instances that the sender doesn't know.
    std::vector<std::uint32_t> wanted;
    /// Revision of the store up to which the sender has followed it.
    std::uint64_t revision = 0;
    /// For how long the sender has followed the store without a gap; 0 when it can't read it.
    milliseconds followedFor{};
    /// Fingerprints of requests that were suspected of a crash and have completed.
    std::vector<std::uint64_t> cleared;
};

/// The bytes of a heartbeat.
[[nodiscard]] std::string encodeGossip(const GossipMessage &beat);

/// Reads a heartbeat. Returns nothing when the bytes are not one.
[[nodiscard]] std::optional<GossipMessage> decodeGossip(std::span<const char> bytes);

} // namespace chestnutsill
