#include "chestnutsill/policy/pool.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace chestnutsill;

namespace {

constexpr Instant Start = seconds(100);
constexpr Instant NoDeadline = seconds(100'000);

/// A pool at a home that may grant, with upstreams that have completed their cold start.
struct Fixture
{
    explicit Fixture(int upstreams = 1, int slots = 4, int coldSlots = 1)
    {
        for (int i = 0; i < upstreams; ++i)
            specs.push_back({"u" + std::to_string(i), "127.0.0.1:1", slots, coldSlots, true});
        pool.mayGrant = true;
        pool.mayGrantCold = true;
        configure(pool, specs, {0, 0.1, 0.05, 0.05});
        for (const UpstreamSpec &spec : specs)
            reportReady(spec.name, "first");
        warmUp();
    }

    /// Completes requests on all upstreams until each has left cold start.
    void warmUp()
    {
        for (int round = 0; round < specs[0].slots; ++round) {
            std::vector<Ticket> tickets;
            for (int slots = capacityOf(pool); slots > 0; --slots)
                tickets.push_back(send(0));
            for (const Ticket &ticket : tickets)
                (void)end(ticket);
        }
    }

    void reportReady(const std::string &upstream, const std::string &incarnation, bool ready = true)
    {
        (void)applyReport(pool, {upstream, incarnation, ready, 0, false}, now, decisions);
    }

    Ticket send(int tier, const std::string &account = "a", std::uint64_t fingerprint = 0,
                Instant startBy = NoDeadline, int strikes = 0)
    {
        SlotRequest request;
        request.ticket = {"holder", 1, ++number};
        request.tier = tier;
        request.account = account;
        request.fingerprint = fingerprint != 0 ? fingerprint : number;
        request.startBy = startBy;
        request.strikes = strikes;
        requestSlot(pool, request, now, decisions);
        return request.ticket;
    }

    std::optional<CrashReport> end(const Ticket &ticket, RunOutcome outcome = RunOutcome::Completed)
    {
        return release(pool, {ticket, outcome, {}, milliseconds(100)}, now, decisions);
    }

    [[nodiscard]] const Grant *grantOf(const Ticket &ticket) const
    {
        for (const Decision &decision : decisions) {
            const auto *grant = std::get_if<Grant>(&decision);
            if (grant != nullptr && grant->ticket == ticket)
                return grant;
        }
        return nullptr;
    }

    [[nodiscard]] std::optional<RefusalReason> refusalOf(const Ticket &ticket) const
    {
        for (const Decision &decision : decisions) {
            const auto *refused = std::get_if<Refusal>(&decision);
            if (refused != nullptr && refused->ticket == ticket)
                return refused->reason;
        }
        return std::nullopt;
    }

    PoolState pool;
    std::vector<UpstreamSpec> specs;
    std::vector<Decision> decisions;
    Instant now = Start;
    std::uint64_t number = 0;
};

/// Keeps the queues of the given tiers filled and completes runs one by one. Returns the starts by tier.
std::array<int, TierCount> startsUnderBacklog(Fixture &fixture, std::set<int> tiers, int ends)
{
    std::map<Ticket, int> tierOf;
    std::array<int, TierCount> starts{};
    std::size_t seen = 0;
    std::vector<Ticket> running;
    for (int end = 0; end < ends; ++end) {
        for (const int tier : tiers) {
            while (fixture.pool.queues[static_cast<std::size_t>(tier)].size() < 3)
                tierOf[fixture.send(tier)] = tier;
        }
        for (; seen < fixture.decisions.size(); ++seen) {
            const Ticket &ticket = ticketOf(fixture.decisions[seen]);
            ++starts[static_cast<std::size_t>(tierOf[ticket])];
            running.push_back(ticket);
        }
        fixture.now += milliseconds(10);
        (void)fixture.end(running.front());
        running.erase(running.begin());
    }
    return starts;
}

} // namespace

TEST_CASE("pool: a free slot goes to the highest tier that waits")
{
    Fixture fixture(1, 1);
    const Ticket running = fixture.send(3);
    REQUIRE(fixture.grantOf(running));
    const Ticket low = fixture.send(3);
    const Ticket middle = fixture.send(1);
    const Ticket high = fixture.send(0);
    (void)fixture.end(running);
    CHECK(fixture.grantOf(high));
    CHECK_FALSE(fixture.grantOf(middle));
    (void)fixture.end(high);
    CHECK(fixture.grantOf(middle));
    (void)fixture.end(middle);
    CHECK(fixture.grantOf(low));
}

TEST_CASE(
    "pool: under a sustained backlog of higher tiers every tier gets its floor, and the highest the rest")
{
    Fixture fixture(2, 4);
    const auto starts = startsUnderBacklog(fixture, {0, 1, 2, 3}, 2000);
    CHECK(starts[0] >= 2000 * 78 / 100);
    CHECK(starts[1] >= 2000 * 9 / 100);
    CHECK(starts[2] >= 2000 * 4 / 100);
    CHECK(starts[3] >= 2000 * 4 / 100);
}

TEST_CASE("pool: the floor of a tier without waiting requests is not reserved")
{
    Fixture fixture(1, 4);
    const auto starts = startsUnderBacklog(fixture, {0}, 500);
    CHECK(starts[0] >= 500);
}

TEST_CASE("pool: a burst of one account delays its own requests, not those of others")
{
    Fixture fixture(1, 1);
    const Ticket running = fixture.send(1, "large");
    std::vector<Ticket> burst;
    for (int i = 0; i < 100; ++i)
        burst.push_back(fixture.send(1, "large"));
    const Ticket small = fixture.send(1, "small");
    (void)fixture.end(running);
    const Ticket next = fixture.grantOf(burst[0]) ? burst[0] : small;
    (void)fixture.end(next);
    CHECK(fixture.grantOf(small));
    CHECK(fixture.pool.queues[1].size() >= 98);
}

TEST_CASE("pool: requests that would start too late are refused at once, from the lowest tier up")
{
    Fixture fixture(1, 2);
    fixture.pool.holdTime = seconds(1);
    for (int i = 0; i < 2; ++i)
        (void)fixture.send(1);
    for (int i = 0; i < 10; ++i)
        (void)fixture.send(1);
    const Instant soon = fixture.now + seconds(2);
    const Ticket low = fixture.send(2, "a", 0, soon);
    const Ticket same = fixture.send(1, "a", 0, soon);
    const Ticket high = fixture.send(0, "a", 0, soon);
    CHECK((fixture.refusalOf(low) == RefusalReason::WouldBeLate));
    CHECK((fixture.refusalOf(same) == RefusalReason::WouldBeLate));
    CHECK_FALSE(fixture.refusalOf(high));
}

TEST_CASE("pool: for any backlog, no tier is predicted to start before a higher one except by its own floor")
{
    const bool held = rc::check("prediction falls with the tier", [] {
        Fixture fixture(1, 2);
        const int count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i)
            (void)fixture.send(*rc::gen::inRange(0, TierCount));
        for (int tier = 1; tier < TierCount; ++tier) {
            const auto index = static_cast<std::size_t>(tier);
            const auto own = static_cast<double>(fixture.pool.queues[index].countAhead("new"));
            const double startInterval =
                static_cast<double>(fixture.pool.holdTime.count()) / capacityOf(fixture.pool);
            const Instant byFloor(
                static_cast<Instant::rep>((own + 1) / fixture.pool.floors[index] * startInterval));
            const Instant wait = predictedWait(fixture.pool, tier, "new");
            RC_ASSERT(wait >= predictedWait(fixture.pool, tier - 1, "new") || wait >= byFloor);
        }
    });
    CHECK(held);
}

TEST_CASE("pool: a request that expires while it waits is refused, also when a lower tier's floor is due")
{
    Fixture fixture(1, 1);
    const Ticket running = fixture.send(0);
    const Ticket low = fixture.send(3);
    const Ticket booking = fixture.send(0, "a", 0, fixture.now + seconds(3));
    fixture.pool.floorCredit[3] = 1;
    fixture.now += seconds(4);
    tick(fixture.pool, fixture.now, fixture.decisions);
    CHECK((fixture.refusalOf(booking) == RefusalReason::WaitedTooLong));
    (void)fixture.end(running);
    CHECK(fixture.grantOf(low));
    CHECK_FALSE(fixture.grantOf(booking));
}

TEST_CASE("pool: reasons for which a request is refused at once")
{
    Fixture fixture;
    fixture.pool.mayGrant = false;
    CHECK((fixture.refusalOf(fixture.send(0)) == RefusalReason::HomeNotReady));
    fixture.pool.mayGrant = true;
    CHECK((fixture.refusalOf(fixture.send(0, "a", 7, NoDeadline, QuarantineStrikes))
           == RefusalReason::Quarantined));
    fixture.specs[0].open = false;
    configure(fixture.pool, fixture.specs, {});
    CHECK((fixture.refusalOf(fixture.send(0)) == RefusalReason::NoUpstream));
}

TEST_CASE(
    "cold start: the limit grows with completed requests only, and falls back when the upstream restarts")
{
    Fixture fixture(1, 4, 1);
    const UpstreamState &upstream = fixture.pool.upstreams.at("u0");
    CHECK(limitOf(fixture.pool, upstream) == 4);
    fixture.reportReady("u0", "second");
    CHECK(limitOf(fixture.pool, upstream) == 1);
    fixture.now += seconds(1000);
    tick(fixture.pool, fixture.now, fixture.decisions);
    CHECK(limitOf(fixture.pool, upstream) == 1);
    for (int limit = 2; limit <= 4; ++limit) {
        (void)fixture.end(fixture.send(0));
        CHECK(limitOf(fixture.pool, upstream) == limit);
    }
    fixture.reportReady("u0", "third", false);
    (void)fixture.end(fixture.send(0));
    CHECK(limitOf(fixture.pool, upstream) == 1);
}

TEST_CASE("cold start: a new home treats an upstream as cold, whatever its report says; completions of an "
          "earlier incarnation do not count")
{
    PoolState pool;
    pool.mayGrant = pool.mayGrantCold = true;
    const UpstreamSpec spec{"u0", "127.0.0.1:1", 4, 1, true};
    configure(pool, {&spec, 1}, {});
    std::vector<Decision> decisions;
    (void)applyReport(pool, {"u0", "first", true, 0, false}, Start, decisions);
    const UpstreamState &upstream = pool.upstreams.at("u0");
    CHECK(limitOf(pool, upstream) == 1);
    SlotRequest request;
    request.ticket = {"holder", 1, 1};
    request.startBy = NoDeadline;
    requestSlot(pool, request, Start, decisions);
    REQUIRE(decisions.size() == 1);
    (void)applyReport(pool, {"u0", "second", true, 0, false}, Start, decisions);
    (void)release(pool, {request.ticket, RunOutcome::Completed, {}, milliseconds(1)}, Start, decisions);
    CHECK(limitOf(pool, upstream) == 1);
}

TEST_CASE("cold start: an upstream that the former home reported warm needs no second cold start in the same "
          "incarnation")
{
    struct Case
    {
        bool knownWarm;
        bool ready;
        int limit;
    };
    for (const Case &item : {Case{true, true, 4}, Case{true, false, 1}, Case{false, true, 1}}) {
        CAPTURE(item.knownWarm);
        CAPTURE(item.ready);
        PoolState pool;
        pool.mayGrant = pool.mayGrantCold = true;
        const UpstreamSpec spec{"u0", "127.0.0.1:1", 4, 1, true};
        configure(pool, {&spec, 1}, {});
        std::vector<Decision> decisions;
        (void)applyReport(pool, {"u0", "first", item.ready, 0, item.knownWarm}, Start, decisions);
        CHECK(limitOf(pool, pool.upstreams.at("u0")) == item.limit);
    }
}

TEST_CASE("cold start: events after which an upstream gets no requests or only its cold limit")
{
    struct Case
    {
        const char *name;
        std::function<void(Fixture &)> event;
        int limit;
    };
    const Case cases[] = {
        {"nothing", [](Fixture &) {}, 4},
        {"connection refused", [](Fixture &f) { (void)f.end(f.send(0), RunOutcome::ConnectFailed); }, 0},
        {"connection broke", [](Fixture &f) { (void)f.end(f.send(0), RunOutcome::Broken); }, 0},
        {"went silent", [](Fixture &f) { (void)f.end(f.send(0), RunOutcome::Silent); }, 0},
        {"no report", [](Fixture &f) { recordMissingReport(f.pool, "u0"); }, 0},
        {"caller disconnected", [](Fixture &f) { (void)f.end(f.send(0), RunOutcome::Cancelled); }, 4},
        {"other incarnation",
         [](Fixture &f) {
             const Ticket ticket = f.send(0);
             (void)release(f.pool, {ticket, RunOutcome::OtherIncarnation, "second", {}}, f.now, f.decisions);
         },
         1},
        {"reports cold start", [](Fixture &f) { f.reportReady("u0", "first", false); }, 1},
        {"first token far slower than usual",
         [](Fixture &f) {
             (void)f.end(f.send(0));
             const Ticket ticket = f.send(0);
             (void)release(f.pool, {ticket, RunOutcome::Completed, {}, seconds(2)}, f.now, f.decisions);
         },
         2},
        {"home may not grant in cold start",
         [](Fixture &f) {
             f.reportReady("u0", "second");
             f.pool.mayGrantCold = false;
         },
         0},
        {"returned from out of service",
         [](Fixture &f) {
             const Ticket running = f.send(0);
             f.specs[0].open = false;
             configure(f.pool, f.specs, {});
             f.specs[0].open = true;
             configure(f.pool, f.specs, {});
             (void)f.end(running, RunOutcome::Cancelled);
             f.reportReady("u0", "first");
         },
         1},
    };
    for (const Case &item : cases) {
        CAPTURE(item.name);
        Fixture fixture(1, 4, 1);
        item.event(fixture);
        CHECK(limitOf(fixture.pool, fixture.pool.upstreams.at("u0")) == item.limit);
    }
}

TEST_CASE("holders: when the slots of a holder without contact are reclaimed")
{
    for (const bool cold : {false, true}) {
        CAPTURE(cold);
        Fixture fixture(1, 2, 2);
        if (cold)
            fixture.reportReady("u0", "second");
        (void)fixture.send(0);
        CHECK(inUse(fixture.pool) == 1);
        fixture.now += HolderTimeout + seconds(1);
        tick(fixture.pool, fixture.now, fixture.decisions);
        CHECK(inUse(fixture.pool) == (cold ? 1 : 0));
        fixture.now += MaxRunTime + GrantLifetime;
        tick(fixture.pool, fixture.now, fixture.decisions);
        CHECK(inUse(fixture.pool) == 0);
    }
}

TEST_CASE(
    "holders: slots are kept by contact, freed when the process restarts or ends, and counted when adopted")
{
    Fixture fixture(1, 4, 4);
    (void)fixture.send(0);
    holderAlive(fixture.pool, "holder", 1, fixture.now, fixture.decisions);
    fixture.now += HolderTimeout - seconds(1);
    holderAlive(fixture.pool, "holder", 1, fixture.now, fixture.decisions);
    fixture.now += HolderTimeout - seconds(1);
    tick(fixture.pool, fixture.now, fixture.decisions);
    CHECK(inUse(fixture.pool) == 1);
    holderAlive(fixture.pool, "holder", 2, fixture.now, fixture.decisions);
    CHECK(inUse(fixture.pool) == 0);
    adopt(fixture.pool, {"other", 5, 1}, "u0", 0, 1, fixture.now);
    adopt(fixture.pool, {"other", 5, 1}, "u0", 0, 1, fixture.now);
    CHECK(inUse(fixture.pool) == 1);
    holderGone(fixture.pool, "other", fixture.now, fixture.decisions);
    CHECK(inUse(fixture.pool) == 0);
}

TEST_CASE("crash: a fingerprint runs on one upstream at a time until one of its requests has completed")
{
    Fixture fixture(3, 2);
    const Ticket first = fixture.send(0, "a", 42);
    const Ticket second = fixture.send(0, "a", 42);
    CHECK(fixture.grantOf(first));
    CHECK_FALSE(fixture.grantOf(second));
    (void)fixture.end(first);
    CHECK(fixture.grantOf(second));
    CHECK(fixture.grantOf(fixture.send(0, "a", 42)));
}

TEST_CASE("crash: suspects are delayed, then run one per upstream, and are refused after the second crash")
{
    Fixture fixture(2, 8);
    const Ticket killer = fixture.send(0, "a", 1);
    const std::string hit = fixture.grantOf(killer)->upstream;
    std::vector<std::uint64_t> neighbours;
    for (std::uint64_t fingerprint = 2; fingerprint < 8; ++fingerprint) {
        const Ticket ticket = fixture.send(0, "a", fingerprint);
        if (fixture.grantOf(ticket)->upstream == hit)
            neighbours.push_back(fingerprint);
    }
    REQUIRE(neighbours.size() >= 2);
    const auto crash = fixture.end(killer, RunOutcome::Broken);
    REQUIRE(crash);
    CHECK(crash->fingerprints.size() == neighbours.size() + 1);
    fixture.reportReady(hit, "second");
    const Ticket again = fixture.send(0, "a", 1);
    CHECK_FALSE(fixture.grantOf(again));
    fixture.now += SuspectRetryDelay;
    tick(fixture.pool, fixture.now, fixture.decisions);
    REQUIRE(fixture.grantOf(again));
    const Ticket neighbour = fixture.send(0, "a", neighbours[0]);
    const Ticket other = fixture.send(0, "a", neighbours[1]);
    const bool alone = !fixture.grantOf(neighbour)
                       || fixture.grantOf(neighbour)->upstream != fixture.grantOf(again)->upstream;
    CHECK(alone);
    CHECK_FALSE((fixture.grantOf(neighbour) && fixture.grantOf(other)));
    (void)fixture.end(again, RunOutcome::Broken);
    CHECK((fixture.refusalOf(fixture.send(0, "a", 1)) == RefusalReason::Quarantined));
    recordCompletion(fixture.pool, neighbours[0]);
    CHECK_FALSE(fixture.refusalOf(neighbour));
}

TEST_CASE("crash: a crash counts once, however many requests report it")
{
    Fixture fixture(2, 8);
    std::vector<Ticket> running;
    for (int i = 0; i < 8; ++i)
        running.push_back(fixture.send(0));
    const std::string hit = fixture.grantOf(running[0])->upstream;
    std::vector<std::uint64_t> innocent;
    for (const Ticket &ticket : running) {
        if (fixture.grantOf(ticket)->upstream == hit)
            innocent.push_back(ticket.number);
    }
    for (const std::uint64_t number : innocent)
        (void)fixture.end({"holder", 1, number}, RunOutcome::Broken);
    for (const std::uint64_t number : innocent)
        CHECK(fixture.pool.crashHistory.strikes(number, fixture.now) == 1);
}

TEST_CASE(
    "pool: limits hold and each request is decided once under reordered, repeated, late and lost messages")
{
    const bool held = rc::check("limits hold", [] {
        Fixture fixture(3, 4, 1);
        std::vector<Ticket> sent;
        std::size_t seen = 0;
        std::map<Ticket, int> ends;
        const int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            fixture.now += milliseconds(*rc::gen::inRange(0, 400));
            const std::string upstream = "u" + std::to_string(*rc::gen::inRange(0, 3));
            const std::string incarnation = "i" + std::to_string(*rc::gen::inRange(0, 3));
            std::map<std::string, std::size_t> usedBefore;
            for (const auto &[name, state] : fixture.pool.upstreams)
                usedBefore[name] = state.slots.size();
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
            case 2:
                sent.push_back(fixture.send(*rc::gen::inRange(0, TierCount), "a", *rc::gen::inRange(0, 9),
                                            fixture.now + milliseconds(*rc::gen::inRange(0, 5000))));
                break;
            case 3:
            case 4:
                if (!sent.empty()) {
                    const auto &ticket =
                        sent[static_cast<std::size_t>(*rc::gen::inRange(0, 1000)) % sent.size()];
                    (void)fixture.end(ticket, static_cast<RunOutcome>(*rc::gen::inRange(0, 8)));
                }
                break;
            case 5:
                fixture.reportReady(upstream, incarnation, *rc::gen::arbitrary<bool>());
                break;
            case 6:
                recordMissingReport(fixture.pool, upstream);
                break;
            default:
                fixture.pool.mayGrantCold = *rc::gen::arbitrary<bool>();
                tick(fixture.pool, fixture.now, fixture.decisions);
                break;
            }
            for (const auto &[name, state] : fixture.pool.upstreams) {
                if (state.slots.size() > usedBefore[name])
                    RC_ASSERT(static_cast<int>(state.slots.size()) <= limitOf(fixture.pool, state));
            }
            for (; seen < fixture.decisions.size(); ++seen)
                RC_ASSERT(++ends[ticketOf(fixture.decisions[seen])] == 1);
        }
    });
    CHECK(held);
}
