#pragma once

#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/policy/upstreamselection.h"

#include <set>
#include <string>
#include <vector>

namespace chestnutsill::emulator {

/// What each instance of a fleet believes of the upstreams' load: its own work at once, that of the others as
/// heartbeats bring it, directly in a small fleet and through a hub of each availability zone in a large one.
/// Heartbeats arrive at once and none gets lost.
class FleetPicture
{
public:
    /// Time between two heartbeats of an instance, in milliseconds.
    static constexpr double PeriodMs =
        std::chrono::duration<double, std::milli>(Membership::HeartbeatPeriod).count();

    FleetPicture(int instances, int zones);

    /// One instance tells what it has in progress.
    void beat(int instance, Instant now);

    /// A request begins, has been read, and ends.
    void begin(int instance, const std::string &upstream, const Prompt &prompt, double tokensToPrefill,
               double memoryTokens);
    void read(int instance, const std::string &upstream, double tokensToPrefill);
    void noteRead(int instance, const std::string &upstream, const Prompt &prompt);
    void end(int instance, const std::string &upstream);

    /// All instances learn that an upstream has lost its memory.
    void forget(const std::string &upstream);

    /// An upstream as an instance sees it.
    [[nodiscard]] UpstreamCandidate candidate(int instance, const std::string &upstream, int slots,
                                              const Prompt &prompt, Instant now) const;

private:
    struct Member
    {
        std::string name;
        LoadTable loads;
        PrefixCacheIndex parts;
    };

    [[nodiscard]] Member &member(int instance) { return m_members[static_cast<std::size_t>(instance)]; }
    [[nodiscard]] int zoneOf(int instance) const { return instance % m_zones; }
    [[nodiscard]] bool isLarge() const;
    void tellCopies(Member &from, int instance, const std::vector<int> &receivers, bool tellOn);

    int m_zones;
    std::vector<Member> m_members;
    /// Names of the members of each availability zone, and of all others. The hub of a zone is its first.
    std::vector<std::set<std::string, std::less<>>> m_elsewhere;
};

} // namespace chestnutsill::emulator
