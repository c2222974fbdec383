#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/gossipmessage.h"
#include "chestnutsill/router/router.h"
#include "daemon/pendingreplies.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnutsill {

/// Gossip and failure detection among instances by UDP heartbeats. Datagrams are used because a lost or
/// delayed one does not hold up those behind it.
class UdpGossip
{
public:
    /// State of this instance for its heartbeats, and callbacks for a peer that has newer published data.
    struct Handlers
    {
        std::function<InstanceStatus()> self;
        /// Returns the store revision up to which this instance has applied all changes.
        std::function<StoreRevision()> revision;
        /// Returns how long this instance has followed the store without a gap.
        std::function<milliseconds()> followedFor;
        /// Called for each heartbeat of a peer that has a newer routing table.
        std::function<void(const std::string &peerAddress, std::uint64_t version)> onNewerTable;
        /// Called for each heartbeat of a peer that has applied a newer store revision.
        std::function<void(StoreRevision revision)> onNewerRevision;
    };

    /// Binds to `address` (IP address and port); throws `std::runtime_error` on failure. `seeds` are
    /// contacted in every round while no other instance is known, and at longer intervals later.
    UdpGossip(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
              RouterState &state, Handlers handlers);

    /// Replaces the seed addresses.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// Sends a round of heartbeats every `Membership::HeartbeatPeriod` until the process ends.
    void run(const Fiber &fiber);

    /// Sends one round of heartbeats now.
    void sendRound();

    /// Asks the instance at a peer address for a permit. Returns nothing if no reply arrives within
    /// `PermitTimeout`; a later one is ignored.
    [[nodiscard]] std::optional<Permit> requestPermit(const std::string &address,
                                                      const PermitRequest &request, const Fiber &fiber);

    /// Tells the origin of a stream to the peers that keep it; see `StreamOrigins`.
    void tellOrigin(std::uint64_t stream, const StreamOrigin &origin);

    /// Asks peers for the origin of a stream. Returns nothing if none of them knows it for certain.
    [[nodiscard]] std::optional<StreamOrigin> requestOrigin(std::uint64_t stream, const Fiber &fiber);

private:
    /// The last heartbeat received from a peer, echoed to it in the next heartbeat.
    struct LastHeartbeat
    {
        std::uint64_t incarnation = 0;
        /// By the peer's clock.
        Instant sentAt{};
        /// By this instance's clock.
        Instant arrivedAt{};
    };

    void receive();
    void handle(const GossipMessage &message);
    void issuePermit(const GossipMessage &message, Instant time);
    void answerOrigin(const GossipMessage &message, Instant time);
    void handleHeartbeat(const GossipMessage &message);
    void replyTo(const GossipMessage &message, Instant time);
    /// `sentAt` is the earliest instant at which the message was sent.
    void mergeDisproofs(const GossipMessage &message, Instant sentAt, Instant time);
    void mergeSpeeds(const GossipMessage &message, Instant time);
    /// Computes the speeds of all published upstreams.
    void updateSpeeds(Instant time);
    void recordSilentUpstreams(std::span<const std::uint64_t> upstreams, Instant time);
    void confirmFreshness(const GossipMessage &message, std::uint64_t ownVersion,
                          std::optional<Instant> earliestSentAt);
    /// The latest instant that a heartbeat proves to be no later than its sending; nothing without an echo.
    [[nodiscard]] std::optional<Instant> earliestSendOf(const GossipMessage &message, Instant time) const;

    [[nodiscard]] GossipMessage makeHeartbeat(Instant time);
    /// Sends a round in a small cluster, where each instance sends its heartbeats to all others.
    void sendSmallRound(GossipMessage message, Instant time);
    /// Sends a round in a large cluster, where the hub of each availability zone aggregates the loads and
    /// passes them on.
    void sendLargeRound(GossipMessage message, Instant time);
    void sendGossip(GossipMessage message, Instant time);
    void sendToSeeds(GossipMessage message, Instant time);
    void send(GossipMessage message, const std::string &address, Instant time);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer{};
    std::vector<std::string> m_seeds;
    RouterState &m_state;
    Handlers m_handlers;
    std::uint64_t m_incarnation;
    /// Last heartbeats by peer address.
    std::map<std::string, LastHeartbeat> m_lastHeartbeats;
    std::uint64_t m_round = 0;
    PendingReplies<Permit> m_pendingPermits;
    PendingReplies<std::optional<StreamOrigin>> m_pendingOrigins;
    /// Whether this instance was the hub of its availability zone in the last round. A hub forwards
    /// what it receives about prefix caches and crashes.
    bool m_isHub = false;
};

} // namespace chestnutsill
