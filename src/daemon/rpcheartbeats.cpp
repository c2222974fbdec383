#include "daemon/rpcheartbeats.h"

#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/requestid.h"

#include <algorithm>
#include <random>
#include <vector>

namespace chestnutsill {

namespace {

constexpr milliseconds HeartbeatPeriod{300};
constexpr milliseconds HeartbeatTimeout{900};
constexpr milliseconds FetchTimeout{2000};
/// Maximum number of peers that receive a heartbeat in one round, however large the cluster is.
constexpr std::size_t MaxPeersPerRound = 8;

} // namespace

RpcHeartbeats::RpcHeartbeats(ClusterView &view, LocalPools &localPools, SlotClient &slots, Identity identity,
                             const std::atomic<bool> &leaving)
    : m_view(view)
    , m_localPools(localPools)
    , m_slots(slots)
    , m_identity(std::move(identity))
    , m_leaving(leaving)
{}

Heartbeat RpcHeartbeats::ownHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.name = m_identity.name;
    heartbeat.incarnation = m_identity.incarnation;
    heartbeat.address = m_identity.address;
    heartbeat.configVersion = m_view.published().version;
    heartbeat.listDigest = m_view.listDigest();
    heartbeat.leaving = m_leaving;
    heartbeat.ready = !m_leaving && m_view.state(now()) == ConfigurationState::Current;
    heartbeat.requestIdPrefix = requestIdPrefix(m_identity.name, m_identity.incarnation, now());
    heartbeat.pools = m_localPools.summaries();
    return heartbeat;
}

void RpcHeartbeats::handleHeartbeat(const Heartbeat &heartbeat)
{
    m_view.recordHeartbeat(heartbeat, now());
    m_localPools.recordHolderAlive(heartbeat.name, heartbeat.incarnation);
    if (heartbeat.configVersion <= m_view.published().version)
        return;
    const auto list = m_view.list();
    for (const Member &member : list ? list->members : std::vector<Member>{}) {
        if (member.name == heartbeat.name)
            fetchConfiguration(member.peerAddress);
    }
}

void RpcHeartbeats::fetchConfiguration(const std::string &peerAddress)
{
    m_peers->configuration(peerAddress, FetchTimeout, [this](const PeerResult<PublishedText> &result) {
        if (result.value && result.value->version > m_view.published().version)
            m_view.offer(result.value->text, now());
    });
}

void RpcHeartbeats::forEachPeer(const std::function<void(const Member &)> &each) const
{
    const auto list = m_view.list();
    for (const Member &member : list ? list->members : std::vector<Member>{}) {
        if (member.name != m_identity.name)
            each(member);
    }
}

void RpcHeartbeats::sendTo(const Member &member)
{
    m_peers->heartbeat(member.peerAddress, ownHeartbeat(), HeartbeatTimeout,
                       [this, name = member.name](const PeerResult<Heartbeat> &result) {
                           if (result.value && result.value->name == name) {
                               handleHeartbeat(*result.value);
                               return;
                           }
                           m_view.recordFailure(name, result.failure);
                           if (!result.value && result.failure == PeerFailure::Refused)
                               m_localPools.recordHolderGone(name);
                       });
}

void RpcHeartbeats::run(const Fiber &fiber)
{
    std::mt19937_64 random(randomNumber());
    for (;;) {
        std::vector<Member> peers;
        forEachPeer([&](const Member &member) { peers.push_back(member); });
        std::shuffle(peers.begin(), peers.end(), random);
        peers.resize(std::min(peers.size(), MaxPeersPerRound));
        for (const Member &member : peers)
            sendTo(member);
        m_localPools.recordHolderAlive(m_identity.name, m_identity.incarnation);
        m_slots.reportToNewHomes();
        m_view.confirmByPeers(now());
        sleepFor(HeartbeatPeriod, fiber);
    }
}

} // namespace chestnutsill
