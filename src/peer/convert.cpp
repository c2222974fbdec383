#include "impl/convert.h"

#include "impl/wirebytes.h"

#include <algorithm>

namespace chestnutsill::impl {

namespace {

template<typename Enum>
Enum toEnum(int value, Enum last)
{
    return static_cast<Enum>(std::clamp(value, 0, static_cast<int>(last)));
}

int toTier(int value)
{
    return std::clamp(value, 0, TierCount - 1);
}

void writeTicket(wire::Ticket::Builder out, const Ticket &value)
{
    out.setHolder(value.holder.c_str());
    out.setIncarnation(value.incarnation);
    out.setNumber(value.number);
}

Ticket readTicket(wire::Ticket::Reader in)
{
    return {toText(in.getHolder()), in.getIncarnation(), in.getNumber()};
}

} // namespace

void write(wire::Ask::Builder out, const SlotRequest &value, Instant now)
{
    writeTicket(out.initTicket(), value.ticket);
    out.setTier(static_cast<std::uint8_t>(value.tier));
    out.setAccount(value.account.c_str());
    out.setFingerprint(value.fingerprint);
    out.setStrikes(static_cast<std::uint8_t>(std::min(value.strikes, 255)));
    out.setStartWithin((value.startBy - now).count());
    auto avoid = out.initAvoid(static_cast<unsigned>(value.avoid.size()));
    for (unsigned i = 0; i < avoid.size(); ++i)
        avoid.set(i, value.avoid[i].c_str());
    out.setOverForecast(value.overForecast);
}

SlotRequest read(wire::Ask::Reader in, Instant now)
{
    SlotRequest value;
    value.ticket = readTicket(in.getTicket());
    value.tier = toTier(in.getTier());
    value.account = toText(in.getAccount());
    value.fingerprint = in.getFingerprint();
    value.strikes = in.getStrikes();
    value.startBy = now + std::clamp(Instant(in.getStartWithin()), Instant{}, Instant(MaxRunTime));
    for (const auto name : in.getAvoid())
        value.avoid.push_back(toText(name));
    value.overForecast = in.getOverForecast();
    return value;
}

void write(wire::Decision::Builder out, const Decision &value)
{
    writeTicket(out.initTicket(), ticketOf(value));
    if (const auto *granted = std::get_if<Grant>(&value)) {
        auto grant = out.initGrant();
        grant.setUpstream(granted->upstream.c_str());
        grant.setAddress(granted->address.c_str());
        grant.setIncarnation(granted->incarnation.c_str());
        grant.setWaited(granted->waited.count());
        return;
    }
    const auto &refused = std::get<Refusal>(value);
    auto refusal = out.initRefusal();
    refusal.setReason(static_cast<std::uint8_t>(refused.reason));
    refusal.setRetryAfter(refused.retryAfter.count());
}

Decision read(wire::Decision::Reader in)
{
    const Ticket ticket = readTicket(in.getTicket());
    if (in.isGrant()) {
        const auto grant = in.getGrant();
        return Grant{ticket, toText(grant.getUpstream()), toText(grant.getAddress()),
                     toText(grant.getIncarnation()), Instant(grant.getWaited())};
    }
    const auto refusal = in.getRefusal();
    return Refusal{ticket, toEnum(refusal.getReason(), RefusalReason::Quarantined),
                   Instant(refusal.getRetryAfter())};
}

void write(wire::Release::Builder out, const Release &value)
{
    writeTicket(out.initTicket(), value.ticket);
    out.setOutcome(static_cast<std::uint8_t>(value.outcome));
    out.setIncarnationSeen(value.incarnationSeen.c_str());
    out.setFirstToken(value.firstToken.count());
}

Release read(wire::Release::Reader in)
{
    return {readTicket(in.getTicket()), toEnum(in.getOutcome(), RunOutcome::WrongAnswer),
            toText(in.getIncarnationSeen()), Instant(in.getFirstToken())};
}

void write(wire::Heartbeat::Builder out, const Heartbeat &value)
{
    out.setName(value.name.c_str());
    out.setIncarnation(value.incarnation);
    out.setAddress(value.address.c_str());
    out.setConfigVersion(value.configVersion);
    out.setListDigest(value.listDigest);
    out.setReady(value.ready);
    out.setLeaving(value.leaving);
    out.setRequestIdPrefix(value.requestIdPrefix.c_str());
    auto pools = out.initPools(static_cast<unsigned>(value.pools.size()));
    for (unsigned i = 0; i < pools.size(); ++i) {
        const PoolSummary &summary = value.pools[i];
        pools[i].setPool(summary.pool.c_str());
        pools[i].setCapacity(static_cast<unsigned>(summary.capacity));
        pools[i].setInUse(static_cast<unsigned>(summary.inUse));
        auto waiting = pools[i].initWaiting(TierCount);
        for (unsigned tier = 0; tier < TierCount; ++tier)
            waiting.set(tier, static_cast<unsigned>(summary.waiting[tier]));
        auto warm = pools[i].initWarm(static_cast<unsigned>(summary.warm.size()));
        for (unsigned j = 0; j < warm.size(); ++j) {
            warm[j].setUpstream(summary.warm[j].upstream.c_str());
            warm[j].setIncarnation(summary.warm[j].incarnation.c_str());
        }
    }
}

Heartbeat read(wire::Heartbeat::Reader in)
{
    Heartbeat value{toText(in.getName()),
                    in.getIncarnation(),
                    toText(in.getAddress()),
                    in.getConfigVersion(),
                    in.getListDigest(),
                    in.getReady(),
                    in.getLeaving(),
                    toText(in.getRequestIdPrefix()),
                    {}};
    for (const auto entry : in.getPools()) {
        PoolSummary summary;
        summary.pool = toText(entry.getPool());
        summary.capacity = static_cast<int>(entry.getCapacity());
        summary.inUse = static_cast<int>(entry.getInUse());
        const auto waiting = entry.getWaiting();
        for (unsigned tier = 0; tier < TierCount && tier < waiting.size(); ++tier)
            summary.waiting[tier] = static_cast<int>(waiting[tier]);
        for (const auto warm : entry.getWarm())
            summary.warm.push_back({toText(warm.getUpstream()), toText(warm.getIncarnation())});
        value.pools.push_back(std::move(summary));
    }
    return value;
}

void write(wire::HeldSlot::Builder out, const HeldSlot &value)
{
    writeTicket(out.initTicket(), value.ticket);
    out.setPool(value.pool.c_str());
    out.setUpstream(value.upstream.c_str());
    out.setTier(static_cast<std::uint8_t>(value.tier));
    out.setFingerprint(value.fingerprint);
}

HeldSlot read(wire::HeldSlot::Reader in)
{
    return {readTicket(in.getTicket()), toText(in.getPool()), toText(in.getUpstream()), toTier(in.getTier()),
            in.getFingerprint()};
}

void write(wire::ForwardedRequest::Builder out, const ForwardedRequest &value)
{
    out.setRequestId(value.requestId.c_str());
    out.setAccount(value.account.c_str());
    out.setRequestClass(value.requestClass.c_str());
    out.setTarget(value.target.c_str());
    out.setContentType(value.contentType.c_str());
    out.setBody(toData(value.body));
}

ForwardedRequest read(wire::ForwardedRequest::Reader in)
{
    return {toText(in.getRequestId()), toText(in.getAccount()),     toText(in.getRequestClass()),
            toText(in.getTarget()),    toText(in.getContentType()), toText(in.getBody())};
}

void write(wire::Answer::Builder out, const Answer &value)
{
    out.setStatus(static_cast<std::uint16_t>(value.status));
    out.setVerdict(static_cast<std::uint8_t>(value.verdict));
    out.setContentType(value.contentType.c_str());
    out.setBody(toData(value.body));
    out.setReason(value.reason.c_str());
}

Answer read(wire::Answer::Reader in)
{
    Answer value;
    value.status = in.getStatus();
    value.verdict = toEnum(in.getVerdict(), Verdict::MayHaveRun);
    value.contentType = toText(in.getContentType());
    value.body = toText(in.getBody());
    value.reason = toText(in.getReason());
    return value;
}

void write(wire::CrashReport::Builder out, const CrashReport &value)
{
    out.setUpstream(value.upstream.c_str());
    out.setIncarnation(value.incarnation.c_str());
    auto fingerprints = out.initFingerprints(static_cast<unsigned>(value.fingerprints.size()));
    for (unsigned i = 0; i < fingerprints.size(); ++i)
        fingerprints.set(i, value.fingerprints[i]);
    auto parts = out.initParts(static_cast<unsigned>(value.parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        parts[i].setPart(value.parts[i].part);
        parts[i].setFollowing(value.parts[i].following);
    }
}

CrashReport read(wire::CrashReport::Reader in)
{
    CrashReport value{toText(in.getUpstream()), toText(in.getIncarnation()), {}, {}};
    for (const std::uint64_t fingerprint : in.getFingerprints())
        value.fingerprints.push_back(fingerprint);
    for (const auto suspect : in.getParts())
        value.parts.push_back({suspect.getPart(), suspect.getFollowing()});
    return value;
}

} // namespace chestnutsill::impl
