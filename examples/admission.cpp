// Shares two slots between tiers: a booking precedes requests of a lower tier, and a request that would
// start too late is refused.

#include <chestnutsill/chestnutsill.h>

#include <iostream>

using namespace chestnutsill;

namespace {

SlotRequest makeRequest(std::uint64_t number, int tier, Instant startBy)
{
    SlotRequest request;
    request.ticket = {"entry-1", 42, number};
    request.tier = tier;
    request.account = "kiosks";
    request.fingerprint = number;
    request.startBy = startBy;
    return request;
}

} // namespace

int main()
{
    PoolState pool;
    pool.mayGrant = true;
    pool.mayGrantCold = true;
    const UpstreamSpec engine{"engine-1", "127.0.0.1:8000", 2, 2, true};
    configure(pool, {&engine, 1}, {0, 0.1, 0.05, 0.05});

    Instant now = seconds(100);
    std::vector<Decision> decisions;
    (void)applyReport(pool, {"engine-1", "incarnation-1", true, 0, false}, now, decisions);
    for (std::uint64_t number = 1; number <= 4; ++number)
        requestSlot(pool, makeRequest(number, 3, now + seconds(60)), now, decisions);
    requestSlot(pool, makeRequest(5, 0, now + seconds(60)), now, decisions);
    requestSlot(pool, makeRequest(6, 3, now + milliseconds(10)), now, decisions);

    now += seconds(1);
    (void)release(pool, {{"entry-1", 42, 1}, RunOutcome::Completed, {}, milliseconds(200)}, now, decisions);
    for (const Decision &decision : decisions) {
        const bool granted = std::holds_alternative<Grant>(decision);
        std::cout << "request " << ticketOf(decision).number << ": "
                  << (granted ? "granted" : "refused, not run") << '\n';
    }
    return ticketOf(decisions.back()).number == 5 ? 0 : 1;
}
