#include "daemon/udpgossip.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/address.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <set>

namespace chestnutsill {

namespace {

using Udp = boost::asio::ip::udp;

/// Rounds between two heartbeats to the seeds while other instances are known. After a network partition a
/// seed may reach members that this instance has lost.
constexpr std::uint64_t SeedRounds = 10;
/// Maximum number of silent upstreams in a heartbeat, which has to fit into a datagram.
constexpr std::size_t MaxSilentUpstreams = 64;
/// Time for the reply to a request for a permit: many round trips between instances.
constexpr milliseconds PermitTimeout{100};
/// Time for the replies to a request for the origin of a stream, whose caller would have to begin it anew.
constexpr milliseconds OriginTimeout{250};

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
                const auto message = decodeGossip({m_buffer.data(), size});
                if (message)
                    handle(*message);
                else
                    log(LogLevel::Warning, "heartbeat-malformed", {{"from", m_sender.address().to_string()}});
            }
            receive();
        });
}

void UdpGossip::handle(const GossipMessage &message)
{
    if (message.permitRequest)
        issuePermit(message, now());
    else if (message.permit)
        m_pendingPermits.receive(*message.permit);
    else if (message.streamNotice)
        m_state.streamOrigins.record(message.streamNotice->stream, message.streamNotice->origin, now());
    else if (message.originRequest)
        answerOrigin(message, now());
    else if (message.origin)
        m_pendingOrigins.receive(*message.origin);
    else
        handleHeartbeat(message);
}

void UdpGossip::issuePermit(const GossipMessage &message, Instant time)
{
    /// Time until an instance that is not the issuer may be asked again, since views of the membership agree
    /// after a few heartbeats.
    constexpr milliseconds NotIssuerDelay{200};
    PermitRequest request = message.permitRequest->content;
    const bool isIssuer = !m_state.membership.firstRanked(request.upstream, time);
    // The rate may have fallen since the sender was told of it.
    if (const auto known = m_state.rateLimits.perSecond(request.upstream))
        request.perSecond = std::min(request.perSecond, *known);
    Permit permit{false, NotIssuerDelay};
    if (isIssuer && !m_state.leaving)
        permit = m_state.permitIssuer.issue(request, m_state.membership.isSettled(time), time);
    GossipMessage reply;
    reply.self = m_handlers.self();
    reply.permit = {message.permitRequest->id, permit};
    send(std::move(reply), message.self.peerAddress, time);
}

std::optional<Permit> UdpGossip::requestPermit(const std::string &address, const PermitRequest &request,
                                               const Fiber &fiber)
{
    const auto ask = [&](std::uint64_t id) {
        GossipMessage message;
        message.self = m_handlers.self();
        message.permitRequest = {id, request};
        send(std::move(message), address, now());
        return std::size_t{1};
    };
    return m_pendingPermits.request(
        PermitTimeout, ask, [](const Permit &) { return true; }, fiber);
}

void UdpGossip::tellOrigin(std::uint64_t stream, const StreamOrigin &origin)
{
    const Instant time = now();
    GossipMessage message;
    message.self = m_handlers.self();
    message.streamNotice = {stream, origin};
    for (const std::string &address : m_state.membership.rankedPeers(stream, StreamOrigins::ToldPeers, time))
        send(message, address, time);
}

void UdpGossip::answerOrigin(const GossipMessage &message, Instant time)
{
    GossipMessage reply;
    reply.self = m_handlers.self();
    reply.origin = {message.originRequest->id,
                    m_state.streamOrigins.find(message.originRequest->content, time)};
    send(std::move(reply), message.self.peerAddress, time);
}

std::optional<StreamOrigin> UdpGossip::requestOrigin(std::uint64_t stream, const Fiber &fiber)
{
    const auto ask = [&](std::uint64_t id) {
        const Instant time = now();
        GossipMessage message;
        message.self = m_handlers.self();
        message.originRequest = {id, stream};
        const auto addresses = m_state.membership.rankedPeers(stream, StreamOrigins::AskedPeers, time);
        for (const std::string &address : addresses)
            send(message, address, time);
        return addresses.size();
    };
    const auto isKnown = [](const std::optional<StreamOrigin> &origin) { return origin.has_value(); };
    return m_pendingOrigins.request(OriginTimeout, ask, isKnown, fiber).value_or(std::nullopt);
}

void UdpGossip::handleHeartbeat(const GossipMessage &message)
{
    const Instant time = now();
    m_state.membership.mergeStatus(message.self, time);
    m_state.membership.recordHeartbeat(message.self.name, time);
    for (const InstanceStatus &status : message.others)
        m_state.membership.mergeStatus(status, time);
    for (const LivenessDigest &digest : message.digests)
        m_state.membership.mergeDigest(digest, time);
    if (message.loads)
        m_state.loadTable.mergeLoads(message.self.name, *message.loads, time);
    mergeSpeeds(message, time);
    for (const PrefixCacheUpdate &update : message.cacheUpdates)
        m_state.prefixCacheIndex.mergeUpdate(update, m_isHub);
    for (CrashNotice notice : message.crashes) {
        notice.at = time - (message.sentAt - notice.at);
        if (m_state.crashTracker.mergeNotice(notice, time, m_isHub))
            log(LogLevel::Info, "crash-reported",
                {{"from", message.self.name},
                 {"incarnation", std::to_string(notice.incarnation)},
                 {"requests", static_cast<std::int64_t>(notice.fingerprints.size())},
                 {"parts", static_cast<std::int64_t>(notice.parts.size())}});
        m_state.catalog.recordPeerCrash(notice.incarnation, notice.at);
    }
    const auto earliestSentAt = earliestSendOf(message, time);
    if (earliestSentAt)
        mergeDisproofs(message, *earliestSentAt, time);
    for (const std::uint64_t fingerprint : message.cleared)
        m_state.crashTracker.mergeCleared(fingerprint, time, m_isHub);
    for (const std::uint64_t part : message.servedParts)
        m_state.crashTracker.mergeServedPart(part, time, m_isHub);
    for (const PartBan &ban : message.bans)
        m_state.crashTracker.parts().mergeBan(ban, time);
    recordSilentUpstreams(message.silentUpstreams, time);
    for (const RateLimitNotice &notice : message.rateLimits)
        m_state.rateLimits.merge(notice, earliestSentAt, time);
    m_lastHeartbeats[message.self.peerAddress] = {message.self.incarnation, message.sentAt, time};
    const auto &table = m_state.catalog.table();
    const std::uint64_t ownVersion = table ? table->version : 0;
    if (message.tableVersion > ownVersion)
        m_handlers.onNewerTable(message.self.peerAddress, message.tableVersion);
    else if (message.tableVersion == ownVersion && table)
        confirmFreshness(message, ownVersion, earliestSentAt);
    // A peer of an older era has followed a store that was restored since.
    if (message.revision.era == m_handlers.revision().era)
        m_state.catalog.recordPeerFollowed(message.followedFor, time);
    if (message.revision > m_handlers.revision())
        m_handlers.onNewerRevision(message.revision);
    replyTo(message, time);
}

void UdpGossip::mergeDisproofs(const GossipMessage &message, Instant sentAt, Instant time)
{
    for (CrashDisproof disproof : message.disproofs) {
        disproof.aliveAt = sentAt - (message.sentAt - disproof.aliveAt);
        m_state.crashTracker.mergeDisproof(disproof, time, m_isHub);
        m_state.catalog.recordAlive(disproof.incarnation, disproof.aliveAt);
    }
}

void UdpGossip::mergeSpeeds(const GossipMessage &message, Instant time)
{
    if (message.speeds.upstreams.empty() && message.speeds.baselines.empty())
        return;
    // In a large cluster only hubs send what they have combined, and only a hub receives from the instances
    // of its zone.
    const bool isOfHub =
        m_state.membership.isLarge(time) && (!m_isHub || message.self.zone != m_handlers.self().zone);
    m_state.upstreamSpeeds.merge(message.self.name,
                                 isOfHub ? SpeedReportOrigin::Hub : SpeedReportOrigin::Instance,
                                 message.speeds, time);
    m_state.metrics.add("speed_reports_total", "received", message.speeds.upstreams.size());
}

void UdpGossip::updateSpeeds(Instant time)
{
    std::vector<SpeedSubject> published;
    published.reserve(m_state.catalog.upstreams().size());
    for (const auto &[id, record] : m_state.catalog.upstreams())
        published.push_back({record.entry.service, id, record.entry.startUnixMs});
    m_state.upstreamSpeeds.update(published, time);
}

void UdpGossip::recordSilentUpstreams(std::span<const std::uint64_t> upstreams, Instant time)
{
    if (upstreams.empty())
        return;
    for (const auto &[id, record] : m_state.catalog.upstreams()) {
        if (std::find(upstreams.begin(), upstreams.end(), stableHash(id)) != upstreams.end())
            m_state.silenceDetector.recordPeerReport(id, time);
    }
}

void UdpGossip::replyTo(const GossipMessage &message, Instant time)
{
    // Reply at once to a sender that knows few instances or none, or that asks for statuses; it would need
    // several rounds of gossip to learn of them. With only two live instances there is no other to report.
    const bool senderKnowsFew =
        m_state.membership.knowsFarMoreThan(message.digests.size() + 1, time) && !message.digests.empty();
    const bool senderKnowsNone = message.digests.empty() && message.others.empty() && !message.loads
                                 && m_state.membership.size(time) > 2;
    auto requested = m_state.membership.statusesOf(message.unknownInstances, time);
    if (!senderKnowsFew && !senderKnowsNone && requested.empty())
        return;
    GossipMessage reply;
    reply.self = m_handlers.self();
    reply.others = m_state.membership.statusesToSend(time, m_round);
    reply.others.insert(reply.others.end(), requested.begin(), requested.end());
    reply.digests = m_state.membership.digestsToSend(time);
    reply.bans = m_state.crashTracker.parts().bans(time);
    reply.sentAt = time;
    send(std::move(reply), message.self.peerAddress, time);
}

void UdpGossip::confirmFreshness(const GossipMessage &message, std::uint64_t ownVersion,
                                 std::optional<Instant> earliestSentAt)
{
    // Dating the confirmation from that instant never makes it look newer than it is.
    if (message.confirmedAge && earliestSentAt)
        m_state.freshness.confirm(ownVersion, *earliestSentAt - *message.confirmedAge);
}

std::optional<Instant> UdpGossip::earliestSendOf(const GossipMessage &message, Instant time) const
{
    std::optional<Instant> latest;
    for (const HeartbeatEcho &echo : message.echoes) {
        // The peer sent this heartbeat no earlier than `delay` after this instance had sent the echoed one.
        const Instant earliestSend = echo.sentAt + std::max(echo.delay, Instant{});
        if (echo.incarnation == m_incarnation && earliestSend <= time)
            latest = std::max(latest.value_or(earliestSend), earliestSend);
    }
    return latest;
}

GossipMessage UdpGossip::makeHeartbeat(Instant time)
{
    GossipMessage message;
    message.self = m_handlers.self();
    message.tableVersion = m_state.catalog.table() ? m_state.catalog.table()->version : 0;
    if (const auto age = m_state.freshness.age(time))
        message.confirmedAge = std::chrono::ceil<milliseconds>(*age);
    message.revision = m_handlers.revision();
    message.followedFor = m_handlers.followedFor();
    message.cacheUpdates = m_state.prefixCacheIndex.takeUpdates();
    message.crashes = m_state.crashTracker.takeNotices();
    message.disproofs = m_state.crashTracker.takeDisproofs();
    message.cleared = m_state.crashTracker.takeCleared();
    message.bans = m_state.crashTracker.parts().bans(time);
    message.servedParts = m_state.crashTracker.takeServedParts();
    for (const std::string_view upstream : m_state.silenceDetector.silentUpstreams()) {
        // Silence proves nothing while no upstream of the service is reached.
        const UpstreamRecord *record = m_state.catalog.find(upstream);
        if (record != nullptr && m_state.upstreamReach.isCutOff(record->entry.service))
            continue;
        if (message.silentUpstreams.size() < MaxSilentUpstreams)
            message.silentUpstreams.push_back(stableHash(upstream));
    }
    message.rateLimits = m_state.rateLimits.notices(m_round, time);
    message.unknownInstances = m_state.membership.unknownInstances();
    message.sentAt = time;
    return message;
}

void UdpGossip::sendRound()
{
    const Instant time = now();
    std::erase_if(m_lastHeartbeats,
                  [&](const auto &item) { return time - item.second.arrivedAt > Membership::DeadAfter; });
    m_state.membership.checkHub(time);
    m_state.membership.checkActive(time);
    updateSpeeds(time);
    GossipMessage message = makeHeartbeat(time);
    if (m_state.membership.size(time) == 1 || m_round % SeedRounds == 0)
        sendToSeeds(message, time);
    if (m_state.membership.isLarge(time))
        sendLargeRound(std::move(message), time);
    else
        sendSmallRound(std::move(message), time);
    ++m_round;
}

void UdpGossip::sendToSeeds(GossipMessage message, Instant time)
{
    // An empty list of liveness digests would tell the receiver that this instance knows no other.
    message.digests = m_state.membership.digestsToSend(time);
    for (const std::string &address : m_seeds) {
        if (address != message.self.peerAddress)
            send(message, address, time);
    }
}

void UdpGossip::sendSmallRound(GossipMessage message, Instant time)
{
    m_isHub = false;
    message.loads = m_state.loadTable.localLoads();
    message.speeds = m_state.upstreamSpeeds.takeOwn(time);
    sendGossip(std::move(message), time);
}

void UdpGossip::sendGossip(GossipMessage message, Instant time)
{
    message.others = m_state.membership.statusesToSend(time, m_round);
    if (m_round % Membership::RoundsPerGossip == 0)
        message.digests = m_state.membership.digestsToSend(time);
    for (const std::string &address : m_state.membership.gossipTargets(time, m_round))
        send(message, address, time);
}

void UdpGossip::sendLargeRound(GossipMessage message, Instant time)
{
    if (m_round % Membership::RoundsPerGossip == 0)
        sendGossip(message, time);
    const Membership::HubTargets targets = m_state.membership.hubTargets(time);
    m_isHub = targets.isHub;
    if (!targets.isHub) {
        message.loads = m_state.loadTable.localLoads();
        message.speeds = m_state.upstreamSpeeds.takeOwn(time);
        for (const std::string &hub : targets.hubs)
            send(message, hub, time);
        return;
    }
    if (m_round % Membership::RoundsPerGossip == 0)
        message.digests = m_state.membership.digestsToSend(time);
    std::set<std::string, std::less<>> inOtherZones;
    for (const InstanceStatus &instance : m_state.membership.alive(time)) {
        if (instance.zone != message.self.zone)
            inOtherZones.insert(instance.name);
    }
    message.loads = m_state.loadTable.sumExcluding(inOtherZones, time);
    message.speeds = m_state.upstreamSpeeds.takeZone(time);
    for (const std::string &hub : targets.hubs)
        send(message, hub, time);
    const auto speeds = m_state.upstreamSpeeds.takeAll(time);
    for (const InstanceStatus &member : targets.members) {
        message.loads = m_state.loadTable.sumExcluding({member.name}, time);
        message.speeds = m_state.upstreamSpeeds.withoutPeer(speeds, member.name, time);
        send(message, member.peerAddress, time);
    }
}

void UdpGossip::send(GossipMessage message, const std::string &address, Instant time)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        return;
    if (const auto found = m_lastHeartbeats.find(address); found != m_lastHeartbeats.end())
        message.echoes = {{found->second.incarnation, found->second.sentAt, time - found->second.arrivedAt}};
    boost::system::error_code error;
    // A send failure has the same effect as a lost datagram; the next heartbeat makes up for it.
    m_socket.send_to(boost::asio::buffer(encodeGossip(message)), *endpoint, 0, error);
}

void UdpGossip::run(const Fiber &fiber)
{
    for (;;) {
        sendRound();
        sleepFor(Membership::HeartbeatPeriod, fiber);
    }
}

} // namespace chestnutsill
