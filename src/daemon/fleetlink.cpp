#include "daemon/fleetlink.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/address.h"
#include "chestnutsill/observe/log.h"

#include <set>

namespace chestnutsill {

namespace {

using Udp = boost::asio::ip::udp;

/// Heartbeats between two tries of the seeds while others are known: a seed may lead to a part of the fleet
/// that this instance has lost sight of.
constexpr std::uint64_t SeedTurns = 10;

std::optional<Udp::endpoint> toEndpoint(std::string_view address)
{
    const auto parsed = toSocketAddress(address);
    return parsed && parsed->port != 0 ? std::optional(Udp::endpoint(parsed->ip, parsed->port))
                                       : std::nullopt;
}

} // namespace

FleetLink::FleetLink(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
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

void FleetLink::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                if (const auto beat = decodeGossip({m_buffer.data(), size}))
                    heard(*beat);
                else
                    log(LogLevel::Warning, "heartbeat-malformed", {{"from", m_sender.address().to_string()}});
            }
            receive();
        });
}

void FleetLink::heard(const GossipMessage &beat)
{
    const Instant time = now();
    m_state.fleet.hear(beat.self, time);
    m_state.fleet.heardDirectly(beat.self.name, time);
    for (const InstanceStatus &news : beat.others)
        m_state.fleet.hear(news, time);
    for (const LivenessDigest &sign : beat.digests)
        m_state.fleet.hear(sign, time);
    if (beat.loads)
        m_state.loads.hear(beat.self.name, *beat.loads, time);
    for (const PrefixCacheUpdate &copy : beat.cacheUpdates)
        m_state.parts.hear(copy, m_isHub);
    for (const CrashNotice &crash : beat.crashes)
        m_state.crashes.hear(crash, time, m_isHub);
    for (const std::uint64_t fingerprint : beat.cleared)
        m_state.crashes.hearCleared(fingerprint, m_isHub);
    m_heard[beat.self.peerAddress] = {beat.self.incarnation, beat.sentAt, time};
    const auto &table = m_state.catalog.table();
    const std::uint64_t ownVersion = table ? table->version : 0;
    if (beat.tableVersion > ownVersion)
        m_handlers.newerTable(beat.self.peerAddress, beat.tableVersion);
    else if (beat.tableVersion == ownVersion && table)
        confirm(beat, ownVersion, time);
    m_state.catalog.peerFollowed(beat.followedFor, time);
    if (beat.revision > m_handlers.revision())
        m_handlers.newerRevision(beat.revision);
    answer(beat, time);
}

void FleetLink::answer(const GossipMessage &beat, Instant time)
{
    const bool needsAll =
        m_state.fleet.knowsFarMoreThan(beat.digests.size() + 1, time) && !beat.digests.empty();
    const bool isNew =
        beat.digests.empty() && beat.others.empty() && !beat.loads && m_state.fleet.size(time) > 2;
    auto introduced = m_state.fleet.introduce(beat.unknownInstances, time);
    if (!needsAll && !isNew && introduced.empty())
        return;
    GossipMessage reply;
    reply.self = m_handlers.self();
    reply.others = m_state.fleet.newsToPass(time, m_turn);
    reply.others.insert(reply.others.end(), introduced.begin(), introduced.end());
    reply.digests = m_state.fleet.signsToPass(time);
    reply.sentAt = time;
    send(std::move(reply), beat.self.peerAddress, time);
}

void FleetLink::confirm(const GossipMessage &beat, std::uint64_t ownVersion, Instant time)
{
    if (!beat.confirmedAge)
        return;
    for (const HeartbeatEcho &echo : beat.echoes) {
        // The peer sent this after it had held an own heartbeat for so long, which dates its confirmation.
        const Instant earliestSend = echo.sentAt + std::max(echo.delay, Instant{});
        if (echo.incarnation == m_incarnation && earliestSend <= time)
            m_state.freshness.confirm(ownVersion, earliestSend - *beat.confirmedAge);
    }
}

GossipMessage FleetLink::news(Instant time)
{
    GossipMessage beat;
    beat.self = m_handlers.self();
    beat.tableVersion = m_state.catalog.table() ? m_state.catalog.table()->version : 0;
    if (const auto age = m_state.freshness.age(time))
        beat.confirmedAge = std::chrono::ceil<milliseconds>(*age);
    beat.revision = m_handlers.revision();
    beat.followedFor = m_handlers.followedFor();
    beat.cacheUpdates = m_state.parts.news();
    beat.crashes = m_state.crashes.news();
    beat.cleared = m_state.crashes.clearedNews();
    beat.unknownInstances = m_state.fleet.wanted();
    beat.sentAt = time;
    return beat;
}

void FleetLink::beat()
{
    const Instant time = now();
    std::erase_if(m_heard,
                  [&](const auto &item) { return time - item.second.arrivedAt > Membership::DeadAfter; });
    m_state.fleet.watchHub(time);
    GossipMessage beat = news(time);
    if (m_state.fleet.size(time) == 1 || m_turn % SeedTurns == 0)
        beatSeeds(beat, time);
    if (m_state.fleet.isLarge(time))
        beatLarge(std::move(beat), time);
    else
        beatSmall(std::move(beat), time);
    ++m_turn;
}

void FleetLink::beatSeeds(GossipMessage beat, Instant time)
{
    // Without signs of life it says that it knows nobody.
    beat.digests = m_state.fleet.signsToPass(time);
    for (const std::string &address : m_seeds) {
        if (address != beat.self.peerAddress)
            send(beat, address, time);
    }
}

void FleetLink::beatSmall(GossipMessage beat, Instant time)
{
    m_isHub = false;
    beat.loads = m_state.loads.own();
    gossip(std::move(beat), time);
}

void FleetLink::gossip(GossipMessage beat, Instant time)
{
    beat.others = m_state.fleet.newsToPass(time, m_turn);
    if (m_turn % Membership::GossipTurns == 0)
        beat.digests = m_state.fleet.signsToPass(time);
    for (const std::string &address : m_state.fleet.targets(time, m_turn))
        send(beat, address, time);
}

void FleetLink::beatLarge(GossipMessage beat, Instant time)
{
    if (m_turn % Membership::GossipTurns == 0)
        gossip(beat, time);
    const Membership::HubTargets targets = m_state.fleet.hubTargets(time);
    m_isHub = targets.isHub;
    if (!targets.isHub) {
        beat.loads = m_state.loads.own();
        for (const std::string &hub : targets.hubs)
            send(beat, hub, time);
        return;
    }
    if (m_turn % Membership::GossipTurns == 0)
        beat.digests = m_state.fleet.signsToPass(time);
    std::set<std::string, std::less<>> elsewhere;
    for (const InstanceStatus &instance : m_state.fleet.alive(time)) {
        if (instance.zone != beat.self.zone)
            elsewhere.insert(instance.name);
    }
    beat.loads = m_state.loads.sumWithout(elsewhere, time);
    for (const std::string &hub : targets.hubs)
        send(beat, hub, time);
    for (const InstanceStatus &member : targets.members) {
        beat.loads = m_state.loads.sumWithout({member.name}, time);
        send(beat, member.peerAddress, time);
    }
}

void FleetLink::send(GossipMessage beat, const std::string &address, Instant time)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        return;
    if (const auto found = m_heard.find(address); found != m_heard.end())
        beat.echoes = {{found->second.incarnation, found->second.sentAt, time - found->second.arrivedAt}};
    boost::system::error_code error;
    // A datagram that can't be sent is lost like one on the way; the next heartbeat makes up for it.
    m_socket.send_to(boost::asio::buffer(encodeGossip(beat)), *endpoint, 0, error);
}

void FleetLink::run(const Fiber &fiber)
{
    for (;;) {
        beat();
        sleepFor(Membership::Period, fiber);
    }
}

} // namespace chestnutsill
