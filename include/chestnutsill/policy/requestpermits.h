#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <unordered_map>

namespace chestnutsill {

/// Request for the permit to send one request to an upstream that accepts a limited rate.
struct PermitRequest
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    /// Requests per second that the upstream accepts from all instances together.
    double perSecond = 0;
    /// Longest time that the request may wait for its turn.
    milliseconds maxDelay{};
    /// Priority rank of the request, 0 for the most urgent; see `engineRank`.
    int rank = 0;
};

/// Reply to a request for a permit.
struct Permit
{
    bool granted = false;
    /// Time until the request may be sent; if the permit was denied, until one may be had.
    milliseconds delay{};
};

/// Issues the permits for upstreams that accept a limited rate of requests from all instances together. Each
/// upstream has one issuer, the first of the instances by rendezvous hash, so that what all of them send is
/// limited at one place and those with waiting requests get the rate, however many there are. Less urgent
/// requests leave up to one permit to more urgent ones and don't queue, except for a floor of a quarter of
/// the rate.
///
/// Instances whose views of the membership differ may ask two issuers. An issuer whose view is not settled
/// (see `Membership::isSettled`) therefore uses half of the rate: one settled and one unsettled issuer, or
/// three unsettled ones, issue 1.5 times the rate and four permits more at most. Not thread-safe.
class PermitIssuer
{
public:
    /// Lowest rate of permits per second. Without requests nothing would show that an upstream accepts more.
    static constexpr double MinPerSecond = 0.1;

    /// Issues a permit if one is due within the time that the request may wait. The delay of a denied one is
    /// that for the most urgent requests.
    [[nodiscard]] Permit issue(const PermitRequest &request, bool isSettled, Instant now);

    /// Drops the records of upstreams whose last permit has no effect any more.
    void expire(Instant now);

private:
    /// When the next permits are due.
    struct Schedule
    {
        /// At the limited rate.
        Instant nextAt{};
        /// For less urgent requests at the rate of their floor.
        Instant floorAt{};
    };

    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, Schedule> m_schedules;
};

} // namespace chestnutsill
