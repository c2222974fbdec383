#pragma once

#include "chestnutsill/policy/crashhistory.h"
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

/// One upstream as the configuration describes it to its pool.
struct UpstreamSpec
{
    std::string name;
    /// IP address and port.
    std::string address;
    /// Requests at once when warm.
    int slots = 1;
    /// Requests at once that the upstream bears in cold start.
    int coldSlots = 1;
    /// False while the upstream or its availability zone is out or leaving.
    bool open = true;
};

/// What the home knows of one upstream.
struct UpstreamState
{
    /// A new home takes every upstream for cold at first: the upstream's own report lags.
    enum class Phase { Unknown, Cold, Warm };

    /// A slot in use, or granted and not yet used.
    struct Slot
    {
        int tier = 0;
        std::uint64_t fingerprint = 0;
        bool suspect = false;
        Instant grantedAt{};
        /// Incarnation of the upstream for which the slot was granted.
        std::string incarnation;
    };

    UpstreamSpec spec;
    Phase phase = Phase::Unknown;
    std::string incarnation;
    /// Requests at once that the cold upstream has earned so far.
    int coldLimit = 0;
    bool reportedReady = false;
    /// Set after a failure until the next report shows the upstream alive.
    bool needsReport = true;
    /// Smoothed time from send to first token, zero when unknown.
    Instant firstToken{};
    std::map<Ticket, Slot> slots;
};

/// Everything the home of a pool keeps. A pool is all upstreams of one model in one availability zone; its
/// home is the one instance that grants their slots, so that one process sees all demand for them in one
/// queue.
struct PoolState
{
    std::map<std::string, UpstreamState> upstreams;
    std::array<FairQueue, TierCount> queues;
    /// Share of starts reserved for each tier, taken from no other tier's entitlement.
    std::array<double, TierCount> floors{};
    std::array<double, TierCount> floorCredit{};
    /// Smoothed time that a request holds a slot.
    Instant holdTime = seconds(2);
    /// Fingerprints that have completed and so need not run one at a time.
    std::unordered_set<std::uint64_t> completedFingerprints;
    /// Fingerprints that were running when upstreams crashed, here or at other pools.
    CrashHistory crashHistory;
    std::map<std::string, Instant> lastContact;
    /// Whether the home may grant at all.
    bool mayGrant = false;
    /// Whether the home may grant on upstreams in cold start.
    bool mayGrantCold = false;
};

/// A suspected crash: the fingerprints that ran on the upstream when it failed.
struct CrashReport
{
    std::string upstream;
    std::string incarnation;
    std::vector<std::uint64_t> fingerprints;
};

/// Longest time that a grant may be used, after which its holder must have ended the run.
inline constexpr seconds MaxRunTime{120};
/// Time without contact after which a holder's slots on warm upstreams are taken back.
inline constexpr seconds HolderTimeout{5};
/// Time within which a holder must start to use a grant.
inline constexpr milliseconds GrantLifetime{1000};
/// Time after a crash in which the requests that were running may not run again, so that the news of crashes
/// at other pools arrives first.
inline constexpr milliseconds SuspectRetryDelay{300};
/// Strikes at which a fingerprint is refused.
inline constexpr int QuarantineStrikes = 2;

/// Takes over the upstreams of a new configuration. Known upstreams keep what was learned of them.
void configure(PoolState &pool, std::span<const UpstreamSpec> specs,
               const std::array<double, TierCount> &floors);

/// Requests at once that the upstream may receive now.
[[nodiscard]] int limitOf(const PoolState &pool, const UpstreamState &upstream) noexcept;

/// Sum of the limits of all upstreams.
[[nodiscard]] int capacityOf(const PoolState &pool) noexcept;

/// Number of slots in use or granted.
[[nodiscard]] int inUse(const PoolState &pool) noexcept;

/// Expected wait of a new request of this tier and account until it can start.
[[nodiscard]] Instant predictedWait(const PoolState &pool, int tier, const std::string &account);

/// Grants, queues or refuses a request. Decisions on it and on others are appended to `decisions`. A repeated
/// ask is ignored.
void requestSlot(PoolState &pool, SlotRequest request, Instant now, std::vector<Decision> &decisions);

/// Ends the use of a grant or withdraws a waiting ask. Unknown tickets are ignored, so it may be repeated.
/// Returns a crash report when the end points to a crash of the upstream.
[[nodiscard]] std::optional<CrashReport> release(PoolState &pool, const Release &ended, Instant now,
                                                 std::vector<Decision> &decisions);

/// Takes in an upstream's report. Returns a crash report when the incarnation has changed while work ran.
[[nodiscard]] std::optional<CrashReport> applyReport(PoolState &pool, const UpstreamReport &report,
                                                     Instant now, std::vector<Decision> &decisions);

/// Records that no report could be had; the upstream receives no work until one is.
void recordMissingReport(PoolState &pool, std::string_view upstream);

/// Records a crash, seen here or at another pool, and refuses waiting requests that it puts into quarantine.
void recordCrash(PoolState &pool, const CrashReport &crash, Instant now, std::vector<Decision> &decisions);

/// Clears a fingerprint of which a request has completed.
void recordCompletion(PoolState &pool, std::uint64_t fingerprint);

/// Registers a slot that a holder was granted by the pool's former home.
void adopt(PoolState &pool, const Ticket &ticket, std::string_view upstream, int tier,
           std::uint64_t fingerprint, Instant now);

/// Records contact with a holder and frees what its earlier incarnations held.
void holderAlive(PoolState &pool, const std::string &holder, std::uint64_t incarnation, Instant now,
                 std::vector<Decision> &decisions);

/// Frees all that a holder held, once it is known that its process is gone.
void holderGone(PoolState &pool, const std::string &holder, Instant now, std::vector<Decision> &decisions);

/// Refuses what has waited too long, takes back what silent holders hold, and grants free slots.
void tick(PoolState &pool, Instant now, std::vector<Decision> &decisions);

} // namespace chestnutsill
