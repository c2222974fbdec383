#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/peernode.h"
#include "chestnutsill/policy/pooltypes.h"
#include "daemon/clusterview.h"
#include "daemon/identity.h"
#include "daemon/localpools.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chestnutsill {

/// What a request needs capacity for.
struct SlotDemand
{
    std::string model;
    /// What homes are asked for; its ticket is set anew for each ask.
    SlotRequest request;
};

/// A grant held by this instance.
struct HeldGrant
{
    Grant grant;
    std::string pool;
    /// Instant by which the send must begin.
    Instant useBy{};
};

/// Obtains slots from the homes of pools, here or at peers, and gives them back. Safe from any thread.
class SlotClient
{
public:
    SlotClient(boost::asio::io_context &io, ClusterView &view, LocalPools &localPools, Identity identity);

    /// Connects to peers. Call once, before any other function.
    void setPeers(PeerNode *peers) noexcept { m_peers = peers; }

    /// Waits for a slot on an upstream of the model until `need.ask.startBy`, or until `isAbandoned` returns
    /// true. Pools are tried from the least loaded on. Returns the last refusal when there is none.
    [[nodiscard]] std::variant<HeldGrant, RefusalReason>
    acquire(const SlotDemand &demand, const std::function<bool()> &isAbandoned, const Fiber &fiber);

    /// Gives a slot back. The home is told until it answers or has changed.
    void release(const HeldGrant &held, const Release &ended);

    /// Tells new homes what this instance holds in their pools. Call it at regular times.
    void reportToNewHomes();

    /// Number of slots held.
    [[nodiscard]] std::size_t heldCount();

private:
    struct Holding
    {
        HeldSlot slot;
        /// Name of the home that knows of it.
        std::string home;
    };

    /// Order in which pools are tried, and the load by which they were ordered.
    [[nodiscard]] std::vector<std::string> poolsByLoad(const SlotDemand &demand);
    [[nodiscard]] std::variant<HeldGrant, RefusalReason> acquireFrom(const std::string &pool,
                                                                     const SlotDemand &demand,
                                                                     const std::function<bool()> &isAbandoned,
                                                                     const Fiber &fiber);
    void sendSlotRequest(const std::string &pool, const Member &home, const SlotRequest &request,
                         std::function<void(Decision)> done);
    void sendRelease(const std::string &pool, const Release &ended, int attemptsLeft);

    boost::asio::io_context &m_io;
    ClusterView &m_view;
    LocalPools &m_localPools;
    const Identity m_identity;
    PeerNode *m_peers = nullptr;
    std::atomic<std::uint64_t> m_nextTicket = 1;
    std::mutex m_mutex;
    std::map<Ticket, Holding> m_holdings;
};

} // namespace chestnutsill
