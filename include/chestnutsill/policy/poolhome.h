#pragma once

#include "chestnutsill/policy/instant.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// One entry instance as the platform's instance list shows it.
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

/// Longest age of an instance list that any instance still uses, by the platform's promise.
inline constexpr milliseconds MaxListAge{2000};
/// Time that a new home waits before it grants, so that the grants of a former home that still works from an
/// older list have run out.
inline constexpr milliseconds TakeoverWait{3000};
/// A process whose own timer was late by more than this is treated as having been paused.
inline constexpr milliseconds PauseThreshold{1000};

/// The member that is home of a pool: the highest rendezvous hash among members that are not leaving, so that
/// a change of one member moves only that member's pools. Returns null for an empty list.
[[nodiscard]] const Member *homeOf(std::string_view pool, std::span<const Member> members) noexcept;

/// Whether one instance may act as the home of one pool.
struct HomeTerm
{
    bool isHome = false;
    /// Start of the uninterrupted time as home.
    Instant since{};
    Instant lastTick{};
};

/// Updates a term at a regular tick. A change of home or a pause of the process starts the term anew.
void updateTerm(HomeTerm &term, bool isHome, Instant now) noexcept;

/// Whether the term has lasted long enough to grant, and the process has not been paused since its last tick.
[[nodiscard]] bool mayGrant(const HomeTerm &term, Instant now) noexcept;

} // namespace chestnutsill
