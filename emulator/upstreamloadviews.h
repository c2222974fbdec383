#pragma once

#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/policy/upstreamselection.h"

#include <set>
#include <string>
#include <vector>

namespace chestnutsill::emulator {

/// The view that each instance has of the load of the upstreams. An instance knows its own requests
/// immediately and those of the others from heartbeats, which are sent directly in a small cluster and
/// through one hub per availability zone in a large one. The model delivers every heartbeat without delay or
/// loss.
class UpstreamLoadViews
{
public:
    /// Time between two heartbeats of an instance, in milliseconds.
    static constexpr double PeriodMs =
        std::chrono::duration<double, std::milli>(Membership::HeartbeatPeriod).count();

    UpstreamLoadViews(int instances, int zones);

    /// Sends the heartbeat of an instance with its requests in progress.
    void sendHeartbeat(int instance, Instant now);

    /// Record events of a request at its instance: the start, the end of prefill (load and prefix cache), and
    /// the end of the request.
    void recordStart(int instance, const std::string &upstream, const Prompt &prompt, double tokensToPrefill,
                     double memoryTokens);
    void recordPrefill(int instance, const std::string &upstream, double tokensToPrefill);
    void recordCached(int instance, const std::string &upstream, const Prompt &prompt);
    void recordEnd(int instance, const std::string &upstream);

    /// Makes all instances forget the prefix cache of an upstream that crashed.
    void dropCache(const std::string &upstream);

    /// Returns an upstream as a candidate for a prompt, with the load and cached tokens that an instance
    /// knows of.
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
    [[nodiscard]] bool usesHubs() const;
    /// Sends the prefix cache updates of an instance. With `relay`, receivers that are hubs pass them on.
    void sendCacheUpdates(Member &from, int instance, const std::vector<int> &receivers, bool relay);

    int m_zones;
    std::vector<Member> m_members;
    /// For each availability zone, the names of the instances of all other zones. The hub of a zone is its
    /// first instance.
    std::vector<std::set<std::string, std::less<>>> m_otherZones;
};

} // namespace chestnutsill::emulator
