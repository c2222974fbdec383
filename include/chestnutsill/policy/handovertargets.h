#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chestnutsill {

/// Chooses the peers to which an instance that reaches no upstream of a service hands its requests over.
/// Answers the load of such an instance: of two random peers the one that has fewer of its requests in
/// progress gets the next. Not thread-safe.
class HandOverTargets
{
public:
    /// Time for which a peer that could not take a request of a service gets none of it.
    static constexpr milliseconds UnableTime{1000};

    /// Chooses a peer among live instances by the key of a request. Nothing if no peer is known to be able.
    [[nodiscard]] std::optional<InstanceStatus> choose(std::span<const InstanceStatus> alive,
                                                       std::string_view service, std::uint64_t key,
                                                       Instant now) const;

    /// Records that a request is handed over to a peer, and that it has ended.
    void recordStart(const std::string &peer);
    void recordEnd(const std::string &peer);

    /// Records that a peer can't take requests of a service.
    void recordUnable(const std::string &peer, std::string_view service, Instant now);

    /// Forgets peers that may be asked again.
    void expire(Instant now);

private:
    [[nodiscard]] int inProgress(const std::string &peer) const;

    std::map<std::string, int, std::less<>> m_inProgress;
    /// Until when a peer is not asked, by name and service.
    std::map<std::pair<std::string, std::string>, Instant> m_unableUntil;
};

} // namespace chestnutsill
