#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/gossipmessage.h"
#include "chestnutsill/router/router.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
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
        std::function<std::uint64_t()> revision;
        std::function<milliseconds()> followedFor;
        std::function<void(const std::string &peerAddress, std::uint64_t version)> onNewerTable;
        std::function<void(std::uint64_t revision)> onNewerRevision;
    };

    /// Binds to `address`. `seeds` are addresses to contact while no other instance is known.
    UdpGossip(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
              RouterState &state, Handlers handlers);

    /// Replaces the seed addresses.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// Sends rounds of heartbeats periodically until the process ends.
    void run(const Fiber &fiber);

    /// Sends one round of heartbeats now.
    void sendRound();

private:
    /// The last heartbeat received from a peer, echoed to it in the next heartbeat.
    struct LastHeartbeat
    {
        std::uint64_t incarnation = 0;
        Instant sentAt{};
        Instant arrivedAt{};
    };

    void receive();
    void handleHeartbeat(const GossipMessage &message);
    void replyTo(const GossipMessage &message, Instant time);
    void confirmFreshness(const GossipMessage &message, std::uint64_t ownVersion, Instant time);

    [[nodiscard]] GossipMessage makeHeartbeat(Instant time);
    /// Rounds with few members, where each instance sends to the others directly, and with many, where the
    /// hub of each availability zone aggregates the loads and passes them on.
    void sendSmallRound(GossipMessage message, Instant time);
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
    bool m_isHub = false;
};

} // namespace chestnutsill
