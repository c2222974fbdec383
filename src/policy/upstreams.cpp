#include "impl/upstreams.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chestnutsill {

using Phase = UpstreamState::Phase;

namespace {

/// The set of completed fingerprints is emptied when it has this size.
constexpr std::size_t MaxCompletedFingerprints = 8192;
/// A new sample has a weight of 1 / `SmoothingDivisor` in a smoothed value.
constexpr int SmoothingDivisor = 8;
/// A time to first token above this multiple of the usual one indicates a cold start.
constexpr int SlowFirstTokenFactor = 6;
/// Shorter times to first token never indicate a cold start.
constexpr milliseconds MinSlowFirstToken{500};

Instant smooth(Instant value, Instant sample)
{
    if (value == Instant{})
        return sample;
    return value + (sample - value) / SmoothingDivisor;
}

void raiseColdLimit(UpstreamState &upstream)
{
    if (upstream.phase != Phase::Cold || !upstream.reportedReady)
        return;
    upstream.coldLimit = std::min(upstream.coldLimit + 1, upstream.spec.slots);
    if (upstream.coldLimit == upstream.spec.slots)
        upstream.phase = Phase::Warm;
}

void recordFirstToken(UpstreamState &upstream, Instant sample)
{
    if (sample == Instant{})
        return;
    const Instant usual = upstream.firstToken;
    const bool slow =
        usual != Instant{} && sample > usual * SlowFirstTokenFactor && sample > MinSlowFirstToken;
    if (slow && upstream.phase == Phase::Warm)
        impl::enterCold(upstream);
    upstream.firstToken = smooth(usual, sample);
}

} // namespace

namespace impl {

void enterCold(UpstreamState &upstream)
{
    upstream.phase = Phase::Cold;
    upstream.coldLimit = upstream.spec.coldSlots;
}

void applyOutcome(PoolState &pool, UpstreamState &upstream, const UpstreamState::Slot &slot,
                  const Release &ended, Instant now)
{
    switch (ended.outcome) {
    case RunOutcome::Completed:
        recordFirstToken(upstream, ended.firstToken);
        if (slot.incarnation == upstream.incarnation)
            raiseColdLimit(upstream);
        pool.holdTime = smooth(pool.holdTime, now - slot.grantedAt);
        if (pool.completedFingerprints.size() >= MaxCompletedFingerprints)
            pool.completedFingerprints.clear();
        pool.completedFingerprints.insert(slot.fingerprint);
        break;
    case RunOutcome::OtherIncarnation:
        if (ended.incarnationSeen != upstream.incarnation) {
            upstream.incarnation = ended.incarnationSeen;
            upstream.reportedReady = false;
            enterCold(upstream);
        }
        break;
    case RunOutcome::ConnectFailed:
    case RunOutcome::Broken:
    case RunOutcome::Silent:
    case RunOutcome::WrongAnswer:
        upstream.needsReport = upstream.needsReport || slot.incarnation == upstream.incarnation;
        break;
    case RunOutcome::NotStarted:
    case RunOutcome::Cancelled:
        break;
    }
}

CrashReport crashReportOf(const UpstreamState &upstream, const std::string &incarnation)
{
    CrashReport crash{upstream.spec.name, incarnation, {}, {}};
    for (const auto &[ticket, slot] : upstream.slots) {
        if (slot.incarnation == incarnation)
            crash.fingerprints.push_back(slot.fingerprint);
    }
    return crash;
}

} // namespace impl

void configure(PoolState &pool, std::span<const UpstreamSpec> specs,
               const std::array<double, TierCount> &floors)
{
    pool.floors = floors;
    std::set<std::string_view> wasOpen;
    for (auto &[name, upstream] : pool.upstreams) {
        if (std::exchange(upstream.spec.open, false))
            wasOpen.insert(name);
    }
    for (const UpstreamSpec &spec : specs) {
        UpstreamState &upstream = pool.upstreams[spec.name];
        const bool known = !upstream.spec.name.empty();
        const bool moved = known && upstream.spec.address != spec.address;
        const bool returned = known && spec.open && !wasOpen.contains(spec.name);
        upstream.spec = spec;
        if (moved || (returned && upstream.phase == Phase::Warm)) {
            impl::enterCold(upstream);
            upstream.needsReport = true;
        }
        upstream.coldLimit = std::min(upstream.coldLimit, spec.slots);
    }
    std::erase_if(pool.upstreams, [](const auto &upstream) {
        return !upstream.second.spec.open && upstream.second.slots.empty();
    });
}

int limitOf(const PoolState &pool, const UpstreamState &upstream) noexcept
{
    if (!upstream.spec.open || upstream.needsReport || upstream.incarnation.empty())
        return 0;
    if (upstream.phase == Phase::Warm)
        return upstream.spec.slots;
    if (!pool.mayGrantCold)
        return 0;
    return upstream.reportedReady ? upstream.coldLimit
                                  : std::min(upstream.coldLimit, upstream.spec.coldSlots);
}

int capacityOf(const PoolState &pool) noexcept
{
    int capacity = 0;
    for (const auto &[name, upstream] : pool.upstreams)
        capacity += limitOf(pool, upstream);
    return capacity;
}

int inUse(const PoolState &pool) noexcept
{
    int used = 0;
    for (const auto &[name, upstream] : pool.upstreams)
        used += static_cast<int>(upstream.slots.size());
    return used;
}

void recordMissingReport(PoolState &pool, std::string_view upstream)
{
    const auto found = pool.upstreams.find(std::string(upstream));
    if (found != pool.upstreams.end())
        found->second.needsReport = true;
}

} // namespace chestnutsill
