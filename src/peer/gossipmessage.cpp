#include "chestnutsill/peer/gossipmessage.h"

#include "impl/fleet.capnp.h"
#include "impl/wirebytes.h"

#include <algorithm>
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

void write(wire::InstanceNews::Builder out, const InstanceStatus &news)
{
    out.setName(news.name.c_str());
    out.setIncarnation(news.incarnation);
    out.setZone(news.zone.c_str());
    out.setCallerAddress(news.callerAddress.c_str());
    out.setPeerAddress(news.peerAddress.c_str());
    out.setServing(news.serving);
    out.setAgeMs(clampTo<std::uint32_t>(news.age.count()));
    out.setStrength(clampTo<std::uint8_t>(news.strength));
}

InstanceStatus read(wire::InstanceNews::Reader in)
{
    return {toText(in.getName()),        in.getIncarnation(),
            toText(in.getZone()),        toText(in.getCallerAddress()),
            toText(in.getPeerAddress()), in.getServing(),
            milliseconds(in.getAgeMs()), in.getStrength()};
}

void write(wire::PartCopy::Builder out, const PrefixCacheUpdate &copy)
{
    out.setUpstream(copy.upstream);
    out.setRead(copy.read);
    auto parts = out.initParts(static_cast<unsigned>(copy.parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        parts[i].setId(copy.parts[i].id);
        parts[i].setTokens(copy.parts[i].tokens);
    }
}

PrefixCacheUpdate read(wire::PartCopy::Reader in)
{
    PrefixCacheUpdate copy;
    copy.upstream = in.getUpstream();
    copy.read = in.getRead();
    for (const auto part : in.getParts())
        copy.parts.push_back({part.getId(), part.getTokens()});
    return copy;
}

constexpr unsigned HashShift = 32;
constexpr std::uint64_t ServingBit = 1ULL << 31;
constexpr std::uint64_t AgeMask = ServingBit - 1;

std::uint64_t pack(const LivenessDigest &sign)
{
    const auto age = std::min(clampTo<std::uint32_t>(sign.age.count()), static_cast<std::uint32_t>(AgeMask));
    return (static_cast<std::uint64_t>(sign.instance) << HashShift) | (sign.serving ? ServingBit : 0) | age;
}

LivenessDigest unpack(std::uint64_t packed)
{
    return {static_cast<std::uint32_t>(packed >> HashShift), (packed & ServingBit) != 0,
            milliseconds(static_cast<milliseconds::rep>(packed & AgeMask))};
}

void writeLoads(wire::FleetBeat::Builder root, const std::vector<UpstreamLoad> &shares)
{
    auto loads = root.initLoads(static_cast<unsigned>(shares.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setUpstream(shares[i].upstream);
        loads[i].setRunning(clampTo<std::uint16_t>(shares[i].load.running));
        loads[i].setUnreadTokens(static_cast<float>(shares[i].load.unreadTokens));
    }
}

std::vector<UpstreamLoad> readLoads(capnp::List<wire::LoadShare>::Reader loads)
{
    std::vector<UpstreamLoad> shares;
    shares.reserve(loads.size());
    for (const auto load : loads)
        shares.push_back({load.getUpstream(), {load.getRunning(), load.getUnreadTokens()}});
    return shares;
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

std::string encodeGossip(const GossipMessage &beat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FleetBeat>();
    write(root.initSelf(), beat.self);
    auto others = root.initOthers(static_cast<unsigned>(beat.others.size()));
    for (unsigned i = 0; i < others.size(); ++i)
        write(others[i], beat.others[i]);
    root.setTableVersion(beat.tableVersion);
    root.setConfirmedAgeMs(beat.confirmedAge ? clampTo<std::int32_t>(beat.confirmedAge->count())
                                             : NeverConfirmed);
    root.setHasLoads(beat.loads.has_value());
    if (beat.loads)
        writeLoads(root, *beat.loads);
    auto signs = root.initSigns(static_cast<unsigned>(beat.signs.size()));
    for (unsigned i = 0; i < signs.size(); ++i)
        signs.set(i, pack(beat.signs[i]));
    root.setWanted({beat.wanted.data(), beat.wanted.size()});
    root.setRevision(beat.revision);
    root.setFollowedMs(clampTo<std::uint32_t>(beat.followedFor.count()));
    root.setSentAt(beat.sentAt.count());
    auto echoes = root.initEchoes(static_cast<unsigned>(beat.echoes.size()));
    for (unsigned i = 0; i < echoes.size(); ++i) {
        echoes[i].setIncarnation(beat.echoes[i].incarnation);
        echoes[i].setSentAt(beat.echoes[i].sentAt.count());
        echoes[i].setHeld(beat.echoes[i].held.count());
    }
    auto copies = root.initCopies(static_cast<unsigned>(beat.copies.size()));
    for (unsigned i = 0; i < copies.size(); ++i)
        write(copies[i], beat.copies[i]);
    auto crashes = root.initCrashes(static_cast<unsigned>(beat.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        crashes[i].setIncarnation(beat.crashes[i].incarnation);
        const auto &fingerprints = beat.crashes[i].fingerprints;
        crashes[i].setFingerprints({fingerprints.data(), fingerprints.size()});
    }
    root.setCleared({beat.cleared.data(), beat.cleared.size()});
    return impl::toBytes(message);
}

std::optional<GossipMessage> decodeGossip(std::span<const char> bytes)
{
    GossipMessage beat;
    const bool isWhole = impl::readBytes<wire::FleetBeat>(bytes, {}, [&](wire::FleetBeat::Reader root) {
        beat.self = read(root.getSelf());
        for (const auto other : root.getOthers())
            beat.others.push_back(read(other));
        beat.tableVersion = root.getTableVersion();
        if (root.getConfirmedAgeMs() >= 0)
            beat.confirmedAge = milliseconds(root.getConfirmedAgeMs());
        if (root.getHasLoads())
            beat.loads = readLoads(root.getLoads());
        for (const std::uint64_t sign : root.getSigns())
            beat.signs.push_back(unpack(sign));
        for (const std::uint32_t instance : root.getWanted())
            beat.wanted.push_back(instance);
        beat.revision = root.getRevision();
        beat.followedFor = milliseconds(root.getFollowedMs());
        beat.sentAt = Instant(root.getSentAt());
        for (const auto echo : root.getEchoes())
            beat.echoes.push_back(
                {echo.getIncarnation(), Instant(echo.getSentAt()), Instant(echo.getHeld())});
        for (const auto copy : root.getCopies())
            beat.copies.push_back(read(copy));
        for (const auto crash : root.getCrashes()) {
            beat.crashes.push_back({crash.getIncarnation(), toNumbers(crash.getFingerprints())});
        }
        beat.cleared = toNumbers(root.getCleared());
    });
    if (!isWhole || beat.self.name.empty())
        return std::nullopt;
    return beat;
}

} // namespace chestnutsill
