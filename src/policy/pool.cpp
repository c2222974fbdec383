#include "chestnutsill/policy/pool.h"

#include "impl/upstreams.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chestnutsill {

namespace {

using impl::applyOutcome;
using impl::crashReportOf;
using impl::enterCold;
using Phase = UpstreamState::Phase;

constexpr seconds QuarantineRetryDelay{60};
/// Maximum number of starts that a tier behind its floor can catch up on.
constexpr double MaxFloorCredit = 2;

bool hasSuspect(const UpstreamState &upstream)
{
    return std::any_of(upstream.slots.begin(), upstream.slots.end(),
                       [](const auto &slot) { return slot.second.suspect; });
}

bool runsFingerprint(const PoolState &pool, std::uint64_t fingerprint)
{
    return std::any_of(pool.upstreams.begin(), pool.upstreams.end(), [&](const auto &upstream) {
        const auto &slots = upstream.second.slots;
        return std::any_of(slots.begin(), slots.end(),
                           [&](const auto &slot) { return slot.second.fingerprint == fingerprint; });
    });
}

int strikesOf(PoolState &pool, const SlotRequest &request, Instant now)
{
    return std::max(request.strikes, pool.crashHistory.strikes(request.fingerprint, now));
}

/// Whether notices of other crashes with this fingerprint may still be in transit.
bool mustWaitAfterCrash(const PoolState &pool, const SlotRequest &request, Instant now)
{
    const auto last = pool.crashHistory.lastCrash(request.fingerprint);
    return last && now < *last + SuspectRetryDelay;
}

bool isEligible(const PoolState &pool, const UpstreamState &upstream, const SlotRequest &request,
                bool suspect)
{
    if (static_cast<int>(upstream.slots.size()) >= limitOf(pool, upstream))
        return false;
    if (std::find(request.avoid.begin(), request.avoid.end(), upstream.spec.name) != request.avoid.end())
        return false;
    return !suspect || !hasSuspect(upstream);
}

/// Lower is better: utilization after the grant, weighted by the upstream's recent time to first token.
double scoreOf(const PoolState &pool, const UpstreamState &upstream)
{
    const auto firstToken = static_cast<double>(std::max(upstream.firstToken, Instant(1000)).count());
    const auto used = static_cast<double>(upstream.slots.size() + 1);
    return used / limitOf(pool, upstream) * firstToken;
}

UpstreamState *chooseUpstream(PoolState &pool, const SlotRequest &request, Instant now)
{
    if (mustWaitAfterCrash(pool, request, now))
        return nullptr;
    const bool neverCompleted = !pool.completedFingerprints.contains(request.fingerprint);
    if (neverCompleted && runsFingerprint(pool, request.fingerprint))
        return nullptr;
    const bool suspect = strikesOf(pool, request, now) > 0;
    UpstreamState *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (auto &[name, upstream] : pool.upstreams) {
        if (!isEligible(pool, upstream, request, suspect))
            continue;
        const double score = scoreOf(pool, upstream);
        if (score < bestScore) {
            best = &upstream;
            bestScore = score;
        }
    }
    return best;
}

/// Tiers in the order in which the next free slot is offered: from the highest down, but those with a start
/// due by their floor first.
std::array<int, TierCount> offerOrder(const PoolState &pool)
{
    std::array<int, TierCount> order{};
    for (int tier = 0; tier < TierCount; ++tier)
        order[static_cast<std::size_t>(tier)] = tier;
    std::stable_sort(order.begin(), order.end(), [&](int a, int b) {
        const bool aDue = pool.floorCredit[static_cast<std::size_t>(a)] >= 1;
        const bool bDue = pool.floorCredit[static_cast<std::size_t>(b)] >= 1;
        return aDue && !bDue;
    });
    return order;
}

void accrueFloors(PoolState &pool, std::size_t servedTier)
{
    for (std::size_t tier = 0; tier < TierCount; ++tier) {
        double &credit = pool.floorCredit[tier];
        if (tier == servedTier || pool.queues[tier].size() > 0)
            credit = std::min(credit + pool.floors[tier], MaxFloorCredit);
        if (tier == servedTier && credit >= 1)
            credit -= 1;
    }
}

bool grantNext(PoolState &pool, Instant now, std::vector<Decision> &decisions)
{
    for (const int tier : offerOrder(pool)) {
        const auto index = static_cast<std::size_t>(tier);
        FairQueue &queue = pool.queues[index];
        if (queue.size() == 0)
            continue;
        const auto taken = queue.take(
            [&](const SlotRequest &request) { return chooseUpstream(pool, request, now) != nullptr; });
        if (!taken)
            continue;
        UpstreamState &upstream = *chooseUpstream(pool, taken->request, now);
        const SlotRequest &request = taken->request;
        upstream.slots[request.ticket] = {tier, request.fingerprint, strikesOf(pool, request, now) > 0, now,
                                          upstream.incarnation};
        accrueFloors(pool, index);
        decisions.emplace_back(Grant{request.ticket, upstream.spec.name, upstream.spec.address,
                                     upstream.incarnation, now - taken->since});
        return true;
    }
    return false;
}

void grantFreeSlots(PoolState &pool, Instant now, std::vector<Decision> &decisions)
{
    while (pool.mayGrant && grantNext(pool, now, decisions)) {
    }
}

bool holdsSlot(const PoolState &pool, const Ticket &ticket)
{
    return std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                       [&](const auto &upstream) { return upstream.second.slots.contains(ticket); });
}

template<typename Predicate>
void freeSlots(PoolState &pool, Predicate isFreed)
{
    for (auto &entry : pool.upstreams) {
        UpstreamState &upstream = entry.second;
        std::erase_if(upstream.slots,
                      [&](const auto &slot) { return isFreed(upstream, slot.first, slot.second); });
    }
}

void reclaimSlots(PoolState &pool, Instant now)
{
    freeSlots(
        pool, [&](const UpstreamState &upstream, const Ticket &ticket, const UpstreamState::Slot &slot) {
            if (now - slot.grantedAt > MaxRunTime + GrantLifetime)
                return true;
            const auto contact = pool.lastContact.find(ticket.holder);
            const Instant lastSeen = contact == pool.lastContact.end() ? slot.grantedAt : contact->second;
            return upstream.phase == Phase::Warm && now - std::max(lastSeen, slot.grantedAt) > HolderTimeout;
        });
}

Instant retryAfter(const PoolState &pool)
{
    return std::clamp<Instant>(pool.holdTime / 2, milliseconds(200), seconds(5));
}

} // namespace

Instant predictedWait(const PoolState &pool, int tier, const std::string &account)
{
    const int capacity = capacityOf(pool);
    if (capacity == 0)
        return Instant::max();
    double higher = 0;
    double share = 1;
    for (int other = 0; other < TierCount; ++other) {
        const auto index = static_cast<std::size_t>(other);
        const auto waiting = static_cast<double>(pool.queues[index].size());
        higher += other < tier ? waiting : 0;
        share -= waiting > 0 ? pool.floors[index] : 0;
    }
    const auto index = static_cast<std::size_t>(tier);
    const auto own = static_cast<double>(pool.queues[index].countAhead(account));
    const double free = std::max(0, capacity - inUse(pool));
    if (higher + own < free)
        return Instant{};
    // Starts at the pool before this request's turn, in order of tiers or by the tier's own floor.
    const double byOrder = (higher + own - free + 1) / share;
    const double byFloor = pool.floors[index] > 0 ? (own + 1) / pool.floors[index] : byOrder;
    const double startInterval = static_cast<double>(pool.holdTime.count()) / capacity;
    return Instant(static_cast<Instant::rep>(std::min(byOrder, byFloor) * startInterval));
}

void requestSlot(PoolState &pool, SlotRequest request, Instant now, std::vector<Decision> &decisions)
{
    pool.lastContact[request.ticket.holder] = now;
    if (holdsSlot(pool, request.ticket))
        return;
    const auto refuse = [&](RefusalReason reason, Instant after) {
        decisions.emplace_back(Refusal{request.ticket, reason, after});
    };
    if (strikesOf(pool, request, now) >= QuarantineStrikes)
        return refuse(RefusalReason::Quarantined, QuarantineRetryDelay);
    if (!pool.mayGrant)
        return refuse(RefusalReason::HomeNotReady, milliseconds(500));
    if (capacityOf(pool) == 0)
        return refuse(RefusalReason::NoUpstream, milliseconds(500));
    const Instant wait = predictedWait(pool, request.tier, request.account);
    if (now + wait > request.startBy)
        return refuse(RefusalReason::WouldBeLate, retryAfter(pool));
    const auto tier = static_cast<std::size_t>(request.tier);
    pool.queues[tier].push(std::move(request), now);
    grantFreeSlots(pool, now, decisions);
}

std::optional<CrashReport> release(PoolState &pool, const Release &ended, Instant now,
                                   std::vector<Decision> &decisions)
{
    std::optional<CrashReport> crash;
    for (auto &[name, upstream] : pool.upstreams) {
        const auto found = upstream.slots.find(ended.ticket);
        if (found == upstream.slots.end())
            continue;
        if (ended.outcome == RunOutcome::Broken)
            crash = crashReportOf(upstream, found->second.incarnation);
        applyOutcome(pool, upstream, found->second, ended, now);
        upstream.slots.erase(found);
        if (crash)
            recordCrash(pool, *crash, now, decisions);
        grantFreeSlots(pool, now, decisions);
        return crash;
    }
    for (FairQueue &queue : pool.queues) {
        if (queue.remove(ended.ticket))
            break;
    }
    return crash;
}

std::optional<CrashReport> applyReport(PoolState &pool, const UpstreamReport &report, Instant now,
                                       std::vector<Decision> &decisions)
{
    const auto found = pool.upstreams.find(report.upstream);
    if (found == pool.upstreams.end())
        return std::nullopt;
    UpstreamState &upstream = found->second;
    std::optional<CrashReport> crash;
    const bool restarted = !upstream.incarnation.empty() && upstream.incarnation != report.incarnation;
    if (restarted && !upstream.slots.empty())
        crash = crashReportOf(upstream, upstream.incarnation);
    const bool isNew = upstream.phase == Phase::Unknown;
    if (restarted || !report.ready || (isNew && !report.knownWarm))
        enterCold(upstream);
    else if (isNew)
        upstream.phase = Phase::Warm;
    upstream.incarnation = report.incarnation;
    upstream.reportedReady = report.ready;
    upstream.needsReport = false;
    if (crash)
        recordCrash(pool, *crash, now, decisions);
    grantFreeSlots(pool, now, decisions);
    return crash;
}

void recordCrash(PoolState &pool, const CrashReport &crash, Instant now, std::vector<Decision> &decisions)
{
    pool.crashHistory.recordCrash(crash.upstream, crash.incarnation, crash.fingerprints, now);
    for (const std::uint64_t fingerprint : crash.fingerprints)
        pool.completedFingerprints.erase(fingerprint);
    const auto isQuarantined = [&](const SlotRequest &request) {
        return strikesOf(pool, request, now) >= QuarantineStrikes;
    };
    for (FairQueue &queue : pool.queues) {
        for (const SlotRequest &quarantined : queue.removeMatching(isQuarantined))
            decisions.emplace_back(
                Refusal{quarantined.ticket, RefusalReason::Quarantined, QuarantineRetryDelay});
    }
}

void recordCompletion(PoolState &pool, std::uint64_t fingerprint)
{
    pool.crashHistory.clear(fingerprint);
}

void adopt(PoolState &pool, const Ticket &ticket, std::string_view upstream, int tier,
           std::uint64_t fingerprint, Instant now)
{
    const auto found = pool.upstreams.find(std::string(upstream));
    if (found != pool.upstreams.end() && !holdsSlot(pool, ticket))
        found->second.slots[ticket] = {tier, fingerprint, false, now, found->second.incarnation};
}

void holderAlive(PoolState &pool, const std::string &holder, std::uint64_t incarnation, Instant now,
                 std::vector<Decision> &decisions)
{
    pool.lastContact[holder] = now;
    freeSlots(pool, [&](const UpstreamState &, const Ticket &ticket, const UpstreamState::Slot &) {
        return ticket.holder == holder && ticket.incarnation != incarnation;
    });
    for (FairQueue &queue : pool.queues)
        queue.removeOtherIncarnations(holder, incarnation);
    grantFreeSlots(pool, now, decisions);
}

void holderGone(PoolState &pool, const std::string &holder, Instant now, std::vector<Decision> &decisions)
{
    pool.lastContact.erase(holder);
    freeSlots(pool, [&](const UpstreamState &, const Ticket &ticket, const UpstreamState::Slot &) {
        return ticket.holder == holder;
    });
    for (FairQueue &queue : pool.queues)
        queue.removeOtherIncarnations(holder, 0);
    grantFreeSlots(pool, now, decisions);
}

void tick(PoolState &pool, Instant now, std::vector<Decision> &decisions)
{
    reclaimSlots(pool, now);
    for (FairQueue &queue : pool.queues) {
        for (const SlotRequest &late : queue.removeExpired(now))
            decisions.emplace_back(Refusal{late.ticket, RefusalReason::WaitedTooLong, retryAfter(pool)});
    }
    grantFreeSlots(pool, now, decisions);
}

} // namespace chestnutsill
