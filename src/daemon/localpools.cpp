#include "daemon/localpools.h"

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/observe/log.h"
#include "daemon/loadreport.h"

#include <boost/json.hpp>

#include <set>

namespace chestnutsill {

namespace {

namespace json = boost::json;

constexpr milliseconds TickPeriod{50};
constexpr milliseconds ProbePeriod{500};
constexpr milliseconds UrgentProbePeriod{100};
constexpr milliseconds ProbeConnectTimeout{500};

std::string_view phaseName(UpstreamState::Phase phase)
{
    switch (phase) {
    case UpstreamState::Phase::Unknown:
        return "unknown";
    case UpstreamState::Phase::Cold:
        return "cold";
    case UpstreamState::Phase::Warm:
        return "warm";
    }
    return "unknown";
}

} // namespace

struct LocalPools::Pool
{
    explicit Pool(std::string poolName)
        : name(std::move(poolName))
    {}

    const std::string name;
    std::mutex mutex;
    PoolState state;
    HomeTerm term;
    /// Whether the configuration was current at the last tick.
    bool configurationCurrent = false;
    std::map<Ticket, Done> waiting;
    /// Upstreams with a probe in progress, and when each was last probed.
    std::set<std::string> probing;
    std::map<std::string, Instant> probedAt;
};

LocalPools::LocalPools(boost::asio::io_context &io, ClusterView &view, Identity identity,
                       std::function<void(const CrashReport &)> onCrash)
    : m_io(io)
    , m_view(view)
    , m_identity(std::move(identity))
    , m_onCrash(std::move(onCrash))
{}

std::shared_ptr<LocalPools::Pool> LocalPools::findPool(const std::string &pool)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<LocalPools::Pool>> LocalPools::poolList()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<Pool>> pools;
    for (const auto &[name, pool] : m_pools)
        pools.push_back(pool);
    return pools;
}

void LocalPools::update(Pool &pool, const Update &change)
{
    std::vector<std::pair<Done, Decision>> deliveries;
    {
        const std::lock_guard lock(pool.mutex);
        std::vector<Decision> decisions;
        const Instant time = now();
        pool.state.mayGrant = mayGrant(pool.term, time) && pool.configurationCurrent;
        change(pool.state, time, decisions);
        for (Decision &decision : decisions) {
            const auto waiter = pool.waiting.find(ticketOf(decision));
            if (waiter == pool.waiting.end())
                continue;
            deliveries.emplace_back(std::move(waiter->second), std::move(decision));
            pool.waiting.erase(waiter);
        }
    }
    for (auto &[done, decision] : deliveries)
        done(std::move(decision));
}

void LocalPools::requestSlot(const std::string &name, SlotRequest request, Done done)
{
    const auto pool = findPool(name);
    if (!pool) {
        done(Refusal{request.ticket, RefusalReason::HomeNotReady, milliseconds(500)});
        return;
    }
    update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
        pool->waiting[request.ticket] = std::move(done);
        chestnutsill::requestSlot(state, std::move(request), time, decisions);
    });
}

void LocalPools::release(const std::string &name, const Release &ended)
{
    const auto pool = findPool(name);
    if (!pool)
        return;
    std::optional<CrashReport> crash;
    update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
        pool->waiting.erase(ended.ticket);
        crash = chestnutsill::release(state, ended, time, decisions);
    });
    if (crash)
        m_onCrash(*crash);
}

void LocalPools::adopt(const HeldSlot &held)
{
    if (const auto pool = findPool(held.pool)) {
        update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &) {
            chestnutsill::adopt(state, held.ticket, held.upstream, held.tier, held.fingerprint, time);
        });
    }
}

void LocalPools::recordCrash(const CrashReport &crash)
{
    for (const auto &pool : poolList()) {
        update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
            chestnutsill::recordCrash(state, crash, time, decisions);
        });
    }
}

void LocalPools::recordCompletion(std::uint64_t fingerprint)
{
    for (const auto &pool : poolList()) {
        update(*pool, [&](PoolState &state, Instant, std::vector<Decision> &) {
            chestnutsill::recordCompletion(state, fingerprint);
        });
    }
}

void LocalPools::recordHolderAlive(const std::string &holder, std::uint64_t incarnation)
{
    for (const auto &pool : poolList()) {
        update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
            chestnutsill::holderAlive(state, holder, incarnation, time, decisions);
        });
    }
}

void LocalPools::recordHolderGone(const std::string &holder)
{
    for (const auto &pool : poolList()) {
        update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
            chestnutsill::holderGone(state, holder, time, decisions);
        });
    }
}

std::vector<PoolSummary> LocalPools::summaries()
{
    std::vector<PoolSummary> summaries;
    for (const auto &pool : poolList()) {
        const std::lock_guard lock(pool->mutex);
        if (!mayGrant(pool->term, now()))
            continue;
        PoolSummary summary{pool->name, capacityOf(pool->state), inUse(pool->state), {}, {}};
        for (std::size_t tier = 0; tier < TierCount; ++tier)
            summary.waiting[tier] = static_cast<int>(pool->state.queues[tier].size());
        for (const auto &[name, upstream] : pool->state.upstreams) {
            if (upstream.phase == UpstreamState::Phase::Warm && !upstream.needsReport)
                summary.warm.push_back({name, upstream.incarnation});
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::string LocalPools::stateJson()
{
    json::array pools;
    for (const auto &pool : poolList()) {
        const std::lock_guard lock(pool->mutex);
        if (!pool->term.isHome)
            continue;
        json::array upstreams;
        for (const auto &[name, upstream] : pool->state.upstreams) {
            upstreams.push_back({{"name", name},
                                 {"open", upstream.spec.open},
                                 {"phase", std::string(phaseName(upstream.phase))},
                                 {"incarnation", upstream.incarnation},
                                 {"limit", limitOf(pool->state, upstream)},
                                 {"inUse", upstream.slots.size()},
                                 {"firstTokenMs", upstream.firstToken.count() / 1000}});
        }
        json::array waiting;
        for (const FairQueue &queue : pool->state.queues)
            waiting.push_back(queue.size());
        pools.push_back({{"pool", pool->name},
                         {"mayGrant", mayGrant(pool->term, now())},
                         {"holdMs", pool->state.holdTime.count() / 1000},
                         {"waitingByTier", std::move(waiting)},
                         {"upstreams", std::move(upstreams)}});
    }
    return json::serialize(pools);
}

void LocalPools::addPools(const Configuration &configuration)
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &name : allPools(configuration)) {
        if (!m_pools.contains(name))
            m_pools.emplace(name, std::make_shared<Pool>(name));
    }
}

void LocalPools::relinquishPool(Pool &pool)
{
    std::map<Ticket, Done> waiting;
    {
        const std::lock_guard lock(pool.mutex);
        pool.state = PoolState{};
        waiting.swap(pool.waiting);
    }
    for (auto &[ticket, done] : waiting)
        done(Refusal{ticket, RefusalReason::HomeNotReady, milliseconds(200)});
}

void LocalPools::tickPool(Pool &pool, const Configuration &configuration, const InstanceList &list)
{
    const auto candidates = m_view.homeCandidates();
    const Member *home = homeOf(pool.name, candidates);
    const bool isHome = home != nullptr && home->name == m_identity.name;
    const bool current = m_view.state(now()) == ConfigurationState::Current;
    bool wasHome = false;
    {
        const std::lock_guard lock(pool.mutex);
        wasHome = pool.term.isHome;
        updateTerm(pool.term, isHome, now());
        pool.configurationCurrent = current;
    }
    if (wasHome != isHome)
        log(LogLevel::Info, isHome ? "home-taken" : "home-left", {{"pool", pool.name}});
    if (wasHome && !isHome)
        relinquishPool(pool);
    if (!isHome)
        return;
    const bool mayGrantCold = current && m_view.isListCurrent(now());
    update(pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
        configure(state, poolSpecs(configuration, pool.name, list.leavingUpstreams),
                  tierFloors(configuration));
        state.mayGrantCold = mayGrantCold;
        tick(state, time, decisions);
    });
}

void LocalPools::probe(const std::shared_ptr<Pool> &pool, const UpstreamSpec &spec, const Fiber &fiber)
{
    HttpClient client;
    std::string reason;
    std::optional<UpstreamReport> report;
    if (client.connect(spec.address, ProbeConnectTimeout, fiber))
        report = readLoadReport(client, spec.name, fiber, reason);
    if (report)
        report->knownWarm = m_view.wasWarm(spec.name, report->incarnation, now());
    std::optional<CrashReport> crash;
    update(*pool, [&](PoolState &state, Instant time, std::vector<Decision> &decisions) {
        pool->probing.erase(spec.name);
        if (report)
            crash = chestnutsill::applyReport(state, *report, time, decisions);
        else
            recordMissingReport(state, spec.name);
    });
    if (crash)
        m_onCrash(*crash);
}

void LocalPools::startProbes(const std::shared_ptr<Pool> &pool)
{
    std::vector<UpstreamSpec> due;
    {
        const std::lock_guard lock(pool->mutex);
        if (!pool->term.isHome)
            return;
        const Instant time = now();
        for (const auto &[name, upstream] : pool->state.upstreams) {
            const Instant period = upstream.needsReport ? UrgentProbePeriod : ProbePeriod;
            if (!upstream.spec.open || pool->probing.contains(name) || time - pool->probedAt[name] < period)
                continue;
            pool->probing.insert(name);
            pool->probedAt[name] = time;
            due.push_back(upstream.spec);
        }
    }
    for (const UpstreamSpec &spec : due)
        startFiber(m_io, [this, pool, spec](const Fiber &fiber) { probe(pool, spec, fiber); });
}

void LocalPools::run(const Fiber &fiber)
{
    for (;;) {
        const auto configuration = m_view.configuration();
        const auto list = m_view.list();
        if (configuration && list) {
            addPools(*configuration);
            for (const auto &pool : poolList()) {
                tickPool(*pool, *configuration, *list);
                startProbes(pool);
            }
        }
        sleepFor(TickPeriod, fiber);
    }
}

} // namespace chestnutsill
