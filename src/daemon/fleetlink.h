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

/// Sends and receives heartbeats by datagrams, which can't get stuck behind one another.
class FleetLink
{
public:
    /// What is told of this instance, and what to do about a peer that has read more of what is published.
    struct Handlers
    {
        std::function<InstanceStatus()> self;
        std::function<std::uint64_t()> revision;
        std::function<milliseconds()> followedFor;
        std::function<void(const std::string &peerAddress, std::uint64_t version)> newerTable;
        std::function<void(std::uint64_t revision)> newerRevision;
    };

    /// Listens on `address`. `seeds` are addresses to try while no other instance is known.
    FleetLink(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
              RouterState &state, Handlers handlers);

    /// Replaces the addresses to try while no other instance is known.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// Sends heartbeats until the process ends.
    void run(const Fiber &fiber);

    /// Sends the heartbeats of one turn now.
    void beat();

private:
    /// A peer's last heartbeat, to be echoed to it.
    struct Heard
    {
        std::uint64_t incarnation = 0;
        Instant sentAt{};
        Instant arrivedAt{};
    };

    void receive();
    void heard(const GossipMessage &beat);
    void answer(const GossipMessage &beat, Instant time);
    void confirm(const GossipMessage &beat, std::uint64_t ownVersion, Instant time);

    [[nodiscard]] GossipMessage news(Instant time);
    void beatSmall(GossipMessage beat, Instant time);
    void beatLarge(GossipMessage beat, Instant time);
    void gossip(GossipMessage beat, Instant time);
    void beatSeeds(GossipMessage beat, Instant time);
    void send(GossipMessage beat, const std::string &address, Instant time);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer{};
    std::vector<std::string> m_seeds;
    RouterState &m_state;
    Handlers m_handlers;
    std::uint64_t m_incarnation;
    /// By address of the peer.
    std::map<std::string, Heard> m_heard;
    std::uint64_t m_turn = 0;
    bool m_isHub = false;
};

} // namespace chestnutsill
