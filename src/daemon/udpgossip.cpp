#include "daemon/udpgossip.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/address.h"
#include "chestnutsill/observe/log.h"

#include <set>

namespace chestnutsill {

namespace {

using Udp = boost::asio::ip::udp;

/// Rounds between two heartbeats to the seeds while other instances are known. After a network partition a
/// seed may reach members that this instance has lost.
constexpr std::uint64_t SeedRounds = 10;

std::optional<Udp::endpoint> toEndpoint(std::string_view address)
{
    const auto parsed = toSocketAddress(address);
    return parsed && parsed->port != 0 ? std::optional(Udp::endpoint(parsed->ip, parsed->port))
                                       : std::nullopt;
}

} // namespace

UdpGossip::UdpGossip(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
                     RouterState &state, Handlers handlers)
    : m_socket(io)
    , m_seeds(std::move(seeds))
    , m_state(state)
    , m_handlers(std::move(handlers))
    , m_incarnation(m_handlers.self().incarnation)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        throw std::runtime_error("cannot listen on " + address + ": not an IP address and port");
    m_socket.open(endpoint->protocol());
    m_socket.bind(*endpoint);
    m_socket.non_blocking(true);
    receive();
}

void UdpGossip::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                if (const auto beat = decodeGossip({m_buffer.data(), size}))
                    handleHeartbeat(*beat);
                else
                    log(LogLevel::Warning, "heartbeat-malformed", {{"from", m_sender.address().to_string()}});
            }
            receive();
        });
}

void UdpGossip::handleHeartbeat(const GossipMessage &beat)
{
    const Instant time = now();
    m_state.membership.mergeStatus(beat.self, time);
    m_state.membership.recordHeartbeat(beat.self.name, time);
    for (const InstanceStatus &news : beat.others)
        m_state.membership.mergeStatus(news, time);
    for (const LivenessDigest &sign : beat.digests)
        m_state.membership.mergeDigest(sign, time);
    if (beat.loads)
        m_state.loadTable.mergeLoads(beat.self.name, *beat.loads, time);
    for (const PrefixCacheUpdate &copy : beat.cacheUpdates)
        m_state.prefixCacheIndex.mergeUpdate(copy, m_isHub);
    for (const CrashNotice &crash : beat.crashes)
        m_state.crashTracker.mergeNotice(crash, time, m_isHub);
    for (const std::uint64_t fingerprint : beat.cleared)
        m_state.crashTracker.mergeCleared(fingerprint, m_isHub);
    m_lastHeartbeats[beat.self.peerAddress] = {beat.self.incarnation, beat.sentAt, time};
    const auto &table = m_state.catalog.table();
    const std::uint64_t ownVersion = table ? table->version : 0;
    if (beat.tableVersion > ownVersion)
        m_handlers.onNewerTable(beat.self.peerAddress, beat.tableVersion);
    else if (beat.tableVersion == ownVersion && table)
        confirmFreshness(beat, ownVersion, time);
    m_state.catalog.recordPeerFollowed(beat.followedFor, time);
    if (beat.revision > m_handlers.revision())
        m_handlers.onNewerRevision(beat.revision);
    replyTo(beat, time);
}

void UdpGossip::replyTo(const GossipMessage &beat, Instant time)
{
    const bool needsAll =
        m_state.membership.knowsFarMoreThan(beat.digests.size() + 1, time) && !beat.digests.empty();
    const bool isNew =
        beat.digests.empty() && beat.others.empty() && !beat.loads && m_state.membership.size(time) > 2;
    auto introduced = m_state.membership.statusesOf(beat.unknownInstances, time);
    if (!needsAll && !isNew && introduced.empty())
        return;
    GossipMessage reply;
    reply.self = m_handlers.self();
    reply.others = m_state.membership.statusesToSend(time, m_turn);
    reply.others.insert(reply.others.end(), introduced.begin(), introduced.end());
    reply.digests = m_state.membership.digestsToSend(time);
    reply.sentAt = time;
    send(std::move(reply), beat.self.peerAddress, time);
}

void UdpGossip::confirmFreshness(const GossipMessage &beat, std::uint64_t ownVersion, Instant time)
{
    if (!beat.confirmedAge)
        return;
    for (const HeartbeatEcho &echo : beat.echoes) {
        // The peer sent this heartbeat no earlier than `held` after this instance had sent the echoed one.
        // Dating the confirmation from that instant never makes it look newer than it is.
        const Instant earliestSend = echo.sentAt + std::max(echo.delay, Instant{});
        if (echo.incarnation == m_incarnation && earliestSend <= time)
            m_state.freshness.confirm(ownVersion, earliestSend - *beat.confirmedAge);
    }
}

GossipMessage UdpGossip::makeHeartbeat(Instant time)
{
    GossipMessage beat;
    beat.self = m_handlers.self();
    beat.tableVersion = m_state.catalog.table() ? m_state.catalog.table()->version : 0;
    if (const auto age = m_state.freshness.age(time))
        beat.confirmedAge = std::chrono::ceil<milliseconds>(*age);
    beat.revision = m_handlers.revision();
    beat.followedFor = m_handlers.followedFor();
    beat.cacheUpdates = m_state.prefixCacheIndex.takeUpdates();
    beat.crashes = m_state.crashTracker.takeNotices();
    beat.cleared = m_state.crashTracker.takeCleared();
    beat.unknownInstances = m_state.membership.wanted();
    beat.sentAt = time;
    return beat;
}

void UdpGossip::sendRound()
{
    const Instant time = now();
    std::erase_if(m_lastHeartbeats,
                  [&](const auto &item) { return time - item.second.arrivedAt > Membership::DeadAfter; });
    m_state.membership.checkHub(time);
    GossipMessage beat = makeHeartbeat(time);
    if (m_state.membership.size(time) == 1 || m_turn % SeedRounds == 0)
        sendToSeeds(beat, time);
    if (m_state.membership.isLarge(time))
        sendLargeRound(std::move(beat), time);
    else
        sendSmallRound(std::move(beat), time);
    ++m_turn;
}

void UdpGossip::sendToSeeds(GossipMessage beat, Instant time)
{
    // An empty list of liveness digests would tell the receiver that this instance knows no other.
    beat.digests = m_state.membership.digestsToSend(time);
    for (const std::string &address : m_seeds) {
        if (address != beat.self.peerAddress)
            send(beat, address, time);
    }
}

void UdpGossip::sendSmallRound(GossipMessage beat, Instant time)
{
    m_isHub = false;
    beat.loads = m_state.loadTable.localLoads();
    sendGossip(std::move(beat), time);
}

void UdpGossip::sendGossip(GossipMessage beat, Instant time)
{
    beat.others = m_state.membership.statusesToSend(time, m_turn);
    if (m_turn % Membership::RoundsPerGossip == 0)
        beat.digests = m_state.membership.digestsToSend(time);
    for (const std::string &address : m_state.membership.gossipTargets(time, m_turn))
        send(beat, address, time);
}

void UdpGossip::sendLargeRound(GossipMessage beat, Instant time)
{
    if (m_turn % Membership::RoundsPerGossip == 0)
        sendGossip(beat, time);
    const Membership::HubTargets targets = m_state.membership.hubTargets(time);
    m_isHub = targets.isHub;
    if (!targets.isHub) {
        beat.loads = m_state.loadTable.localLoads();
        for (const std::string &hub : targets.hubs)
            send(beat, hub, time);
        return;
    }
    if (m_turn % Membership::RoundsPerGossip == 0)
        beat.digests = m_state.membership.digestsToSend(time);
    std::set<std::string, std::less<>> elsewhere;
    for (const InstanceStatus &instance : m_state.membership.alive(time)) {
        if (instance.zone != beat.self.zone)
            elsewhere.insert(instance.name);
    }
    beat.loads = m_state.loadTable.sumExcluding(elsewhere, time);
    for (const std::string &hub : targets.hubs)
        send(beat, hub, time);
    for (const InstanceStatus &member : targets.members) {
        beat.loads = m_state.loadTable.sumExcluding({member.name}, time);
        send(beat, member.peerAddress, time);
    }
}

void UdpGossip::send(GossipMessage beat, const std::string &address, Instant time)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        return;
    if (const auto found = m_lastHeartbeats.find(address); found != m_lastHeartbeats.end())
        beat.echoes = {{found->second.incarnation, found->second.sentAt, time - found->second.arrivedAt}};
    boost::system::error_code error;
    // A send failure has the same effect as a lost datagram; the next heartbeat makes up for it.
    m_socket.send_to(boost::asio::buffer(encodeGossip(beat)), *endpoint, 0, error);
}

void UdpGossip::run(const Fiber &fiber)
{
    for (;;) {
        sendRound();
        sleepFor(Membership::HeartbeatPeriod, fiber);
    }
}

} // namespace chestnutsill
