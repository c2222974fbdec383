#include "chestnutsill/peer/gossipmessage.h"

#include "impl/fleet.capnp.h"
#include "impl/wirebytes.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chestnutsill {

namespace {

using impl::toText;

constexpr std::int32_t NeverConfirmed = -1;

template<typename Number>
Number clampTo(std::int64_t value)
{
    return static_cast<Number>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<Number>::max()));
}

void write(wire::InstanceNews::Builder out, const InstanceStatus &status)
{
    out.setName(status.name.c_str());
    out.setIncarnation(status.incarnation);
    out.setZone(status.zone.c_str());
    out.setCallerAddress(status.callerAddress.c_str());
    out.setPeerAddress(status.peerAddress.c_str());
    out.setServing(status.serving);
    out.setAgeMs(clampTo<std::uint32_t>(status.age.count()));
    out.setStrength(clampTo<std::uint8_t>(status.strength));
}

InstanceStatus read(wire::InstanceNews::Reader in)
{
    return {toText(in.getName()),        in.getIncarnation(),
            toText(in.getZone()),        toText(in.getCallerAddress()),
            toText(in.getPeerAddress()), in.getServing(),
            milliseconds(in.getAgeMs()), in.getStrength()};
}

void write(wire::PartCopy::Builder out, const PrefixCacheUpdate &update)
{
    out.setUpstream(update.upstream);
    out.setRead(update.prefilled);
    auto parts = out.initParts(static_cast<unsigned>(update.parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        parts[i].setId(update.parts[i].id);
        parts[i].setTokens(update.parts[i].tokens);
    }
}

PrefixCacheUpdate read(wire::PartCopy::Reader in)
{
    PrefixCacheUpdate update;
    update.upstream = in.getUpstream();
    update.prefilled = in.getRead();
    for (const auto part : in.getParts())
        update.parts.push_back({part.getId(), part.getTokens()});
    return update;
}

constexpr unsigned HashShift = 32;
constexpr std::uint64_t ServingBit = 1ULL << 31;
constexpr std::uint64_t AgeMask = ServingBit - 1;

std::uint64_t pack(const LivenessDigest &digest)
{
    const auto age =
        std::min(clampTo<std::uint32_t>(digest.age.count()), static_cast<std::uint32_t>(AgeMask));
    return (static_cast<std::uint64_t>(digest.instance) << HashShift) | (digest.serving ? ServingBit : 0)
           | age;
}

LivenessDigest unpack(std::uint64_t packed)
{
    return {static_cast<std::uint32_t>(packed >> HashShift), (packed & ServingBit) != 0,
            milliseconds(static_cast<milliseconds::rep>(packed & AgeMask))};
}

constexpr std::int32_t NeverEnded = -1;

void write(wire::RateNews::Builder out, const RateLimitNotice &notice)
{
    out.setUpstream(notice.upstream);
    out.setPerSecond(notice.perSecond);
    out.setNamedAgeMs(clampTo<std::uint32_t>(notice.namedAge.count()));
    out.setEndedAgeMs(notice.endedAge ? clampTo<std::int32_t>(notice.endedAge->count()) : NeverEnded);
}

/// Whether a rate was read from a response, so that it may be used as one.
bool isRate(double perSecond) noexcept
{
    return std::isfinite(perSecond) && perSecond >= 0;
}

RateLimitNotice read(wire::RateNews::Reader in)
{
    RateLimitNotice notice{in.getUpstream(), in.getPerSecond(), milliseconds(in.getNamedAgeMs()), {}};
    if (in.getEndedAgeMs() >= 0)
        notice.endedAge = milliseconds(in.getEndedAgeMs());
    return notice;
}

void write(wire::PermitAsk::Builder out, const PeerQuery<PermitRequest> &ask)
{
    out.setId(ask.id);
    out.setUpstream(ask.content.upstream);
    out.setPerSecond(ask.content.perSecond);
    out.setMaxDelayMs(clampTo<std::uint32_t>(ask.content.maxDelay.count()));
    out.setRank(clampTo<std::uint8_t>(ask.content.rank));
}

PeerQuery<PermitRequest> read(wire::PermitAsk::Reader in)
{
    return {in.getId(),
            {in.getUpstream(), in.getPerSecond(), milliseconds(in.getMaxDelayMs()), in.getRank()}};
}

void write(wire::PermitReply::Builder out, const PeerQuery<Permit> &reply)
{
    out.setId(reply.id);
    out.setGranted(reply.content.granted);
    out.setDelayMs(clampTo<std::uint32_t>(reply.content.delay.count()));
}

PeerQuery<Permit> read(wire::PermitReply::Reader in)
{
    return {in.getId(), {in.getGranted(), milliseconds(in.getDelayMs())}};
}

void write(wire::StreamOrigin::Builder out, const StreamOrigin &origin)
{
    out.setService(origin.service.c_str());
    out.setSoftwareVersion(origin.softwareVersion.c_str());
}

StreamOrigin read(wire::StreamOrigin::Reader in)
{
    return {toText(in.getService()), toText(in.getSoftwareVersion())};
}

void write(wire::StreamNews::Builder out, const StreamNotice &notice)
{
    out.setStream(notice.stream);
    write(out.initOrigin(), notice.origin);
}

void write(wire::OriginAsk::Builder out, const PeerQuery<std::uint64_t> &ask)
{
    out.setId(ask.id);
    out.setStream(ask.content);
}

void write(wire::OriginReply::Builder out, const PeerQuery<std::optional<StreamOrigin>> &reply)
{
    out.setId(reply.id);
    if (reply.content)
        write(out.initOrigin(), *reply.content);
}

PeerQuery<std::optional<StreamOrigin>> read(wire::OriginReply::Reader in)
{
    return {in.getId(), in.hasOrigin() ? std::optional(read(in.getOrigin())) : std::nullopt};
}

void write(wire::SpeedNews::Builder out, const SpeedReport &report)
{
    out.setKey(report.key);
    out.setLogValue(report.logValue);
    out.setWeight(report.weight);
}

SpeedReport read(wire::SpeedNews::Reader in)
{
    return {in.getKey(), in.getLogValue(), in.getWeight()};
}

void writeSpeeds(wire::FleetBeat::Builder root, const SpeedReports &reports)
{
    auto speeds = root.initSpeeds(static_cast<unsigned>(reports.upstreams.size()));
    for (unsigned i = 0; i < speeds.size(); ++i)
        write(speeds[i], reports.upstreams[i]);
    auto baselines = root.initSpeedBaselines(static_cast<unsigned>(reports.baselines.size()));
    for (unsigned i = 0; i < baselines.size(); ++i)
        write(baselines[i], reports.baselines[i]);
}

std::vector<SpeedReport> readSpeeds(capnp::List<wire::SpeedNews>::Reader list)
{
    std::vector<SpeedReport> reports;
    reports.reserve(list.size());
    for (const auto report : list)
        reports.push_back(read(report));
    return reports;
}

void writeLoads(wire::FleetBeat::Builder root, const std::vector<UpstreamLoad> &upstreamLoads)
{
    auto loads = root.initLoads(static_cast<unsigned>(upstreamLoads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setUpstream(upstreamLoads[i].upstream);
        loads[i].setRunning(clampTo<std::uint16_t>(upstreamLoads[i].load.running));
        loads[i].setUnreadTokens(static_cast<float>(upstreamLoads[i].load.tokensToPrefill));
        loads[i].setGapSensitive(clampTo<std::uint16_t>(upstreamLoads[i].load.gapSensitive));
    }
}

std::vector<UpstreamLoad> readLoads(capnp::List<wire::LoadShare>::Reader loads)
{
    std::vector<UpstreamLoad> upstreamLoads;
    upstreamLoads.reserve(loads.size());
    for (const auto load : loads)
        upstreamLoads.push_back(
            {load.getUpstream(), {load.getRunning(), load.getUnreadTokens(), load.getGapSensitive()}});
    return upstreamLoads;
}

/// Age of an instant when a message is sent.
std::uint32_t ageMs(Instant at, const GossipMessage &gossip)
{
    return clampTo<std::uint32_t>(std::chrono::duration_cast<milliseconds>(gossip.sentAt - at).count());
}

void writeCrashes(wire::FleetBeat::Builder root, const GossipMessage &gossip)
{
    auto crashes = root.initCrashes(static_cast<unsigned>(gossip.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        crashes[i].setIncarnation(gossip.crashes[i].incarnation);
        const auto &fingerprints = gossip.crashes[i].fingerprints;
        crashes[i].setFingerprints({fingerprints.data(), fingerprints.size()});
        crashes[i].setAgeMs(ageMs(gossip.crashes[i].at, gossip));
        const auto &suspects = gossip.crashes[i].parts;
        auto parts = crashes[i].initParts(static_cast<unsigned>(suspects.size()));
        for (unsigned j = 0; j < parts.size(); ++j) {
            parts[j].setPart(suspects[j].part);
            parts[j].setFollowing(suspects[j].following);
        }
    }
}

void writeDisproofs(wire::FleetBeat::Builder root, const GossipMessage &gossip)
{
    auto lives = root.initLives(static_cast<unsigned>(gossip.disproofs.size()));
    for (unsigned i = 0; i < lives.size(); ++i) {
        lives[i].setIncarnation(gossip.disproofs[i].incarnation);
        lives[i].setAgeMs(ageMs(gossip.disproofs[i].aliveAt, gossip));
    }
}

std::vector<std::uint64_t> toNumbers(capnp::List<std::uint64_t>::Reader list)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(list.size());
    for (const std::uint64_t number : list)
        numbers.push_back(number);
    return numbers;
}

} // namespace

std::string encodeGossip(const GossipMessage &gossip)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FleetBeat>();
    write(root.initSelf(), gossip.self);
    auto others = root.initOthers(static_cast<unsigned>(gossip.others.size()));
    for (unsigned i = 0; i < others.size(); ++i)
        write(others[i], gossip.others[i]);
    root.setTableVersion(gossip.tableVersion);
    root.setConfirmedAgeMs(gossip.confirmedAge ? clampTo<std::int32_t>(gossip.confirmedAge->count())
                                               : NeverConfirmed);
    root.setHasLoads(gossip.loads.has_value());
    if (gossip.loads)
        writeLoads(root, *gossip.loads);
    auto signs = root.initSigns(static_cast<unsigned>(gossip.digests.size()));
    for (unsigned i = 0; i < signs.size(); ++i)
        signs.set(i, pack(gossip.digests[i]));
    root.setWanted({gossip.unknownInstances.data(), gossip.unknownInstances.size()});
    root.setRevision(gossip.revision.number);
    root.setEra(gossip.revision.era);
    root.setFollowedMs(clampTo<std::uint32_t>(gossip.followedFor.count()));
    root.setSentAt(gossip.sentAt.count());
    auto echoes = root.initEchoes(static_cast<unsigned>(gossip.echoes.size()));
    for (unsigned i = 0; i < echoes.size(); ++i) {
        echoes[i].setIncarnation(gossip.echoes[i].incarnation);
        echoes[i].setSentAt(gossip.echoes[i].sentAt.count());
        echoes[i].setHeld(gossip.echoes[i].delay.count());
    }
    auto copies = root.initCopies(static_cast<unsigned>(gossip.cacheUpdates.size()));
    for (unsigned i = 0; i < copies.size(); ++i)
        write(copies[i], gossip.cacheUpdates[i]);
    writeCrashes(root, gossip);
    writeDisproofs(root, gossip);
    auto bans = root.initBans(static_cast<unsigned>(gossip.bans.size()));
    for (unsigned i = 0; i < bans.size(); ++i) {
        bans[i].setPart(gossip.bans[i].part);
        bans[i].setStrikes(clampTo<std::uint16_t>(gossip.bans[i].strikes));
        bans[i].setAgeMs(clampTo<std::uint32_t>(gossip.bans[i].age.count()));
    }
    root.setServedParts({gossip.servedParts.data(), gossip.servedParts.size()});
    root.setCleared({gossip.cleared.data(), gossip.cleared.size()});
    root.setSilent({gossip.silentUpstreams.data(), gossip.silentUpstreams.size()});
    auto rates = root.initRates(static_cast<unsigned>(gossip.rateLimits.size()));
    for (unsigned i = 0; i < rates.size(); ++i)
        write(rates[i], gossip.rateLimits[i]);
    writeSpeeds(root, gossip.speeds);
    if (gossip.permitRequest)
        write(root.initPermitAsk(), *gossip.permitRequest);
    if (gossip.permit)
        write(root.initPermitReply(), *gossip.permit);
    if (gossip.streamNotice)
        write(root.initStreamNews(), *gossip.streamNotice);
    if (gossip.originRequest)
        write(root.initOriginAsk(), *gossip.originRequest);
    if (gossip.origin)
        write(root.initOriginReply(), *gossip.origin);
    return impl::toBytes(message);
}

std::optional<GossipMessage> decodeGossip(std::span<const char> bytes)
{
    GossipMessage gossip;
    const bool isValid = impl::readBytes<wire::FleetBeat>(bytes, {}, [&](wire::FleetBeat::Reader root) {
        gossip.self = read(root.getSelf());
        for (const auto other : root.getOthers())
            gossip.others.push_back(read(other));
        gossip.tableVersion = root.getTableVersion();
        if (root.getConfirmedAgeMs() >= 0)
            gossip.confirmedAge = milliseconds(root.getConfirmedAgeMs());
        if (root.getHasLoads())
            gossip.loads = readLoads(root.getLoads());
        for (const std::uint64_t digest : root.getSigns())
            gossip.digests.push_back(unpack(digest));
        for (const std::uint32_t instance : root.getWanted())
            gossip.unknownInstances.push_back(instance);
        gossip.revision = {root.getEra(), root.getRevision()};
        gossip.followedFor = milliseconds(root.getFollowedMs());
        gossip.sentAt = Instant(root.getSentAt());
        for (const auto echo : root.getEchoes())
            gossip.echoes.push_back(
                {echo.getIncarnation(), Instant(echo.getSentAt()), Instant(echo.getHeld())});
        for (const auto update : root.getCopies())
            gossip.cacheUpdates.push_back(read(update));
        for (const auto crash : root.getCrashes()) {
            gossip.crashes.push_back({crash.getIncarnation(),
                                      toNumbers(crash.getFingerprints()),
                                      {},
                                      gossip.sentAt - milliseconds(crash.getAgeMs())});
            for (const auto suspect : crash.getParts())
                gossip.crashes.back().parts.push_back({suspect.getPart(), suspect.getFollowing()});
        }
        for (const auto life : root.getLives())
            gossip.disproofs.push_back(
                {life.getIncarnation(), gossip.sentAt - milliseconds(life.getAgeMs())});
        for (const auto ban : root.getBans())
            gossip.bans.push_back({ban.getPart(), ban.getStrikes(), milliseconds(ban.getAgeMs())});
        gossip.servedParts = toNumbers(root.getServedParts());
        gossip.cleared = toNumbers(root.getCleared());
        gossip.silentUpstreams = toNumbers(root.getSilent());
        for (const auto rate : root.getRates()) {
            if (isRate(rate.getPerSecond()))
                gossip.rateLimits.push_back(read(rate));
        }
        gossip.speeds = {readSpeeds(root.getSpeeds()), readSpeeds(root.getSpeedBaselines())};
        if (root.hasPermitAsk() && isRate(root.getPermitAsk().getPerSecond()))
            gossip.permitRequest = read(root.getPermitAsk());
        if (root.hasPermitReply())
            gossip.permit = read(root.getPermitReply());
        if (root.hasStreamNews() && root.getStreamNews().hasOrigin())
            gossip.streamNotice =
                StreamNotice{root.getStreamNews().getStream(), read(root.getStreamNews().getOrigin())};
        if (root.hasOriginAsk())
            gossip.originRequest = {root.getOriginAsk().getId(), root.getOriginAsk().getStream()};
        if (root.hasOriginReply())
            gossip.origin = read(root.getOriginReply());
    });
    if (!isValid || gossip.self.name.empty())
        return std::nullopt;
    return gossip;
}

} // namespace chestnutsill
