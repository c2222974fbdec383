#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/fairqueue.h"
#include "chestnutsill/policy/pooltypes.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace chestnutsill {

/// Settings of one upstream of a pool, from the configuration.
struct UpstreamSpec
{
    std::string name;
    /// IP address and port.
    std::string address;
    /// Concurrent requests after cold start.
    int slots = 1;
    /// Concurrent requests at the beginning of a cold start, and until the upstream reports itself ready.
    int coldSlots = 1;
    /// False while the upstream is draining before it stops, or it or its availability zone is out of
    /// service.
    bool open = true;
};

/// State of one upstream at the home of its pool.
struct UpstreamState
{
    /// Whether the upstream has completed its cold start. Because an upstream's own report lags, a new home
    /// treats every upstream as cold at first, unless the pool's former home reported it warm.
    enum class Phase { Unknown, Cold, Warm };

    /// A slot in use, or granted but not used yet.
    struct Slot
    {
        int tier = 0;
        std::uint64_t fingerprint = 0;
        /// Whether the fingerprint had strikes at the grant. An upstream runs only one such request at a
        /// time.
        bool suspect = false;
        Instant grantedAt{};
        /// Incarnation of the upstream for which the slot was granted.
        std::string incarnation;
    };

    UpstreamSpec spec;
    Phase phase = Phase::Unknown;
    std::string incarnation;
    /// Concurrent requests allowed in cold start so far; grows with completed requests.
    int coldLimit = 0;
    bool reportedReady = false;
    /// Whether a report is needed before slots are granted: initially, after a failure, after the upstream
    /// moved to another address or returned to service, and after a report could not be read.
    bool needsReport = true;
    /// Exponentially smoothed time from send to first token, zero when unknown.
    Instant firstToken{};
    std::map<Ticket, Slot> slots;
};

/// State of a pool at its home. A pool is all upstreams of one model in one availability zone. Its home is
/// the one instance that grants their slots, so that a single process queues all requests for them.
struct PoolState
{
    std::map<std::string, UpstreamState> upstreams;
    std::array<FairQueue, TierCount> queues;
    /// Minimum share of starts of each tier while it has waiting requests. It reduces no other tier's
    /// minimum.
    std::array<double, TierCount> floors{};
    /// Starts that each tier is behind its minimum share.
    std::array<double, TierCount> floorCredit{};
    /// Exponentially smoothed time that a request holds a slot.
    Instant holdTime = seconds(2);
    /// Fingerprints of which a request has completed, so that more than one may run at a time.
    std::unordered_set<std::uint64_t> completedFingerprints;
    /// Fingerprints that were running when upstreams of this or other pools crashed.
    CrashHistory crashHistory;
    /// Last contact with each holder, by its name.
    std::map<std::string, Instant> lastContact;
    /// Whether the home may grant slots at all.
    bool mayGrant = false;
    /// Whether the home may grant slots on upstreams in cold start.
    bool mayGrantCold = false;
};

/// A suspected crash: the fingerprints that were running on the upstream when it failed, as the home of its
/// pool reports them, or the shared prompt parts of a request whose run broke, as its holder does.
struct CrashReport
{
    std::string upstream;
    std::string incarnation;
    std::vector<std::uint64_t> fingerprints;
    std::vector<SuspectPart> parts;
};

/// Longest time that a holder may use a grant; the run must have ended by then.
inline constexpr seconds MaxRunTime{120};
/// Time without contact after which a holder's slots on warm upstreams are reclaimed.
inline constexpr seconds HolderTimeout{5};
/// Time within which a holder must start to use a grant.
inline constexpr milliseconds GrantLifetime{1000};
/// Time after a crash in which the requests that were running may not run again, so that notices of crashes
/// at other pools arrive first.
inline constexpr milliseconds SuspectRetryDelay{300};
/// Number of strikes, which are crashes during which a fingerprint was running, at which it is refused.
inline constexpr int QuarantineStrikes = 2;

/// Applies the upstreams of a new configuration. Known upstreams keep their state, except that one whose
/// address has changed, or a warm one that returns to service, enters cold start. Upstreams that are missing
/// from `specs` or not open receive no further requests and are removed by the first call that finds them
/// without slots.
void configure(PoolState &pool, std::span<const UpstreamSpec> specs,
               const std::array<double, TierCount> &floors);

/// Concurrent requests that the upstream may receive now.
[[nodiscard]] int limitOf(const PoolState &pool, const UpstreamState &upstream) noexcept;

/// Sum of the limits of all upstreams.
[[nodiscard]] int capacityOf(const PoolState &pool) noexcept;

/// Number of slots in use or granted.
[[nodiscard]] int inUse(const PoolState &pool) noexcept;

/// Expected wait of a new request of this tier and client account until it can start; `Instant::max()` when
/// the pool has no capacity.
[[nodiscard]] Instant predictedWait(const PoolState &pool, int tier, const std::string &account);

/// Grants a request a slot, queues it or refuses it. Decisions on it and on others are appended to
/// `decisions`. A request that holds a slot already is ignored.
void requestSlot(PoolState &pool, SlotRequest request, Instant now, std::vector<Decision> &decisions);

/// Returns a granted slot or withdraws a waiting request. Unknown tickets are ignored, so the call may be
/// repeated. Returns a crash report when the outcome indicates a crash of the upstream.
[[nodiscard]] std::optional<CrashReport> release(PoolState &pool, const Release &ended, Instant now,
                                                 std::vector<Decision> &decisions);

/// Applies an upstream's report. Returns a crash report when the incarnation has changed while requests were
/// running.
[[nodiscard]] std::optional<CrashReport> applyReport(PoolState &pool, const UpstreamReport &report,
                                                     Instant now, std::vector<Decision> &decisions);

/// Records that an upstream's report could not be read; it receives no requests until one is.
void recordMissingReport(PoolState &pool, std::string_view upstream);

/// Records a crash at this or another pool and refuses waiting requests whose fingerprints it quarantines.
void recordCrash(PoolState &pool, const CrashReport &crash, Instant now, std::vector<Decision> &decisions);

/// Clears a fingerprint of suspicion after one of its requests has completed.
void recordCompletion(PoolState &pool, std::uint64_t fingerprint);

/// Registers a slot that the pool's former home granted to a holder. Does nothing when the upstream is
/// unknown or the ticket holds a slot already.
void adopt(PoolState &pool, const Ticket &ticket, std::string_view upstream, int tier,
           std::uint64_t fingerprint, Instant now);

/// Records contact with a holder; drops the slots and waiting requests of its other incarnations.
void holderAlive(PoolState &pool, const std::string &holder, std::uint64_t incarnation, Instant now,
                 std::vector<Decision> &decisions);

/// Drops the slots and waiting requests of a holder whose process is known to have ended.
void holderGone(PoolState &pool, const std::string &holder, Instant now, std::vector<Decision> &decisions);

/// Reclaims the slots of holders that lost contact, refuses requests that have waited too long, and grants
/// free slots.
void tick(PoolState &pool, Instant now, std::vector<Decision> &decisions);

} // namespace chestnutsill
