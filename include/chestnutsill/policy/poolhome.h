#pragma once

#include "chestnutsill/policy/instant.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// One entry instance as listed in the platform's instance list.
struct Member
{
    std::string name;
    std::string zone;
    /// IP address and port for callers.
    std::string address;
    /// IP address and port for peers.
    std::string peerAddress;
    bool leaving = false;

    friend bool operator==(const Member &, const Member &) = default;
};

/// Largest age of an instance list still in use at any instance, as guaranteed by the platform.
inline constexpr milliseconds MaxListAge{2000};
/// Time that a new home waits before it grants, so that a former home that still uses an older instance list
/// has stopped granting and its unused grants have expired.
inline constexpr milliseconds TakeoverWait{3000};
/// Time between two ticks above which the process is treated as having been paused.
inline constexpr milliseconds PauseThreshold{1000};

/// The member that is the home of a pool: the one with the highest rendezvous hash among those not leaving,
/// so that a change of one member moves only that member's pools. Returns null if there is none.
[[nodiscard]] const Member *homeOf(std::string_view pool, std::span<const Member> members) noexcept;

/// How long an instance has been the home of a pool without interruption.
struct HomeTerm
{
    bool isHome = false;
    /// Last change of `isHome`, or end of the last pause of the process.
    Instant since{};
    Instant lastTick{};
};

/// Updates a term; called at a regular tick. A change of home or a pause of the process restarts the term.
void updateTerm(HomeTerm &term, bool isHome, Instant now) noexcept;

/// Whether the term has lasted long enough to grant, and the process has not been paused since its last tick.
[[nodiscard]] bool mayGrant(const HomeTerm &term, Instant now) noexcept;

} // namespace chestnutsill
