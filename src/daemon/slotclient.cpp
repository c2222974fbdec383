#include "daemon/slotclient.h"

#include "chestnutsill/net/oneshotchannel.h"
#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/poolhome.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

namespace chestnutsill {

namespace {

constexpr milliseconds PollInterval{100};
constexpr milliseconds RpcMargin{500};
constexpr milliseconds ReleaseTimeout{500};
constexpr milliseconds ReleaseRetryPause{300};
constexpr int MaxReleaseAttempts = 30;

/// Returns the number of requests per slot that run or wait ahead of a new request of this tier, which is
/// counted too; lower is better. A pool without slots has a load above any other.
double loadOf(const PoolSummary &summary, int tier)
{
    if (summary.capacity == 0)
        return 1e6;
    double ahead = summary.inUse;
    for (int other = 0; other <= tier; ++other)
        ahead += summary.waiting[static_cast<std::size_t>(other)];
    return (ahead + 1) / summary.capacity;
}

double jitter()
{
    thread_local std::mt19937_64 random(randomNumber());
    return std::uniform_real_distribution<double>(0.9, 1.1)(random);
}

} // namespace

SlotClient::SlotClient(boost::asio::io_context &io, ClusterView &view, LocalPools &localPools,
                       Identity identity)
    : m_io(io)
    , m_view(view)
    , m_localPools(localPools)
    , m_identity(std::move(identity))
{}

std::vector<std::string> SlotClient::poolsByLoad(const SlotDemand &demand)
{
    // Orders a pool of unknown load after those of known load and before those without slots.
    constexpr double UnknownLoad = 1e5;
    const auto configuration = m_view.configuration();
    const auto own = m_localPools.summaries();
    std::vector<std::pair<double, std::string>> ordered;
    for (const std::string &pool : openPools(*configuration, demand.model)) {
        const auto local =
            std::find_if(own.begin(), own.end(), [&](const PoolSummary &s) { return s.pool == pool; });
        const auto summary = local != own.end() ? *local : m_view.summary(pool, now());
        const double load = summary ? loadOf(*summary, demand.request.tier) : UnknownLoad;
        ordered.emplace_back(load * jitter(), pool);
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<std::string> pools;
    pools.reserve(ordered.size());
    for (auto &[load, pool] : ordered)
        pools.push_back(std::move(pool));
    return pools;
}

void SlotClient::sendSlotRequest(const std::string &pool, const Member &home, const SlotRequest &request,
                                 std::function<void(Decision)> done)
{
    if (home.name == m_identity.name) {
        m_localPools.requestSlot(pool, request, std::move(done));
        return;
    }
    const auto timeout = std::chrono::duration_cast<milliseconds>(request.startBy - now()) + RpcMargin;
    m_peers->ask(home.peerAddress, pool, request, timeout,
                 [done = std::move(done), ticket = request.ticket](PeerResult<Decision> result) {
                     if (result.value)
                         done(std::move(*result.value));
                     else
                         done(Refusal{ticket, RefusalReason::HomeNotReady, RpcMargin});
                 });
}

std::variant<HeldGrant, RefusalReason> SlotClient::acquireFrom(const std::string &pool,
                                                               const SlotDemand &demand,
                                                               const std::function<bool()> &isAbandoned,
                                                               const Fiber &fiber)
{
    const auto candidates = m_view.homeCandidates();
    const Member *home = homeOf(pool, candidates);
    if (home == nullptr)
        return RefusalReason::HomeNotReady;
    SlotRequest request = demand.request;
    request.ticket = {m_identity.name, m_identity.incarnation, m_nextTicket++};
    const Instant askedAt = now();
    auto channel = std::make_shared<OneShotChannel<Decision>>(fiber.get_executor());
    sendSlotRequest(pool, *home, request,
                    [channel](Decision decision) { channel->put(std::move(decision)); });
    std::optional<Decision> decision;
    while (!decision && now() < demand.request.startBy + RpcMargin && !isAbandoned())
        decision = channel->wait(PollInterval, fiber);
    if (decision && std::holds_alternative<Grant>(*decision)) {
        Grant grant = std::get<Grant>(std::move(*decision));
        const Instant useBy = askedAt + grant.waited + GrantLifetime;
        const std::lock_guard lock(m_mutex);
        m_holdings[grant.ticket] = {
            {grant.ticket, pool, grant.upstream, demand.request.tier, demand.request.fingerprint},
            home->name};
        return HeldGrant{std::move(grant), pool, useBy};
    }
    if (decision && std::get<Refusal>(*decision).reason != RefusalReason::HomeNotReady)
        return std::get<Refusal>(*decision).reason;
    // The home may have granted the slot without this instance having received the grant, so the request is
    // withdrawn.
    sendRelease(pool, {request.ticket, RunOutcome::NotStarted, {}, {}}, MaxReleaseAttempts);
    return decision ? RefusalReason::HomeNotReady : RefusalReason::WaitedTooLong;
}

std::variant<HeldGrant, RefusalReason>
SlotClient::acquire(const SlotDemand &demand, const std::function<bool()> &isAbandoned, const Fiber &fiber)
{
    RefusalReason last = RefusalReason::NoUpstream;
    while (now() < demand.request.startBy && !isAbandoned()) {
        for (const std::string &pool : poolsByLoad(demand)) {
            auto result = acquireFrom(pool, demand, isAbandoned, fiber);
            if (std::holds_alternative<HeldGrant>(result))
                return result;
            last = std::get<RefusalReason>(result);
            if (last == RefusalReason::Quarantined || now() >= demand.request.startBy)
                return last;
        }
        if (last == RefusalReason::WouldBeLate)
            return last;
        sleepFor(PollInterval, fiber);
    }
    return last;
}

void SlotClient::release(const HeldGrant &held, const Release &ended)
{
    {
        const std::lock_guard lock(m_mutex);
        m_holdings.erase(ended.ticket);
    }
    sendRelease(held.pool, ended, MaxReleaseAttempts);
}

void SlotClient::sendRelease(const std::string &pool, const Release &ended, int attemptsLeft)
{
    const auto candidates = m_view.homeCandidates();
    const Member *home = homeOf(pool, candidates);
    if (home == nullptr || attemptsLeft == 0)
        return;
    if (home->name == m_identity.name) {
        m_localPools.release(pool, ended);
        return;
    }
    m_peers->release(home->peerAddress, pool, ended, ReleaseTimeout,
                     [this, pool, ended, attemptsLeft](const PeerResult<PeerNode::Nothing> &result) {
                         if (result.value)
                             return;
                         auto timer = std::make_shared<boost::asio::steady_timer>(m_io, ReleaseRetryPause);
                         timer->async_wait(
                             [this, timer, pool, ended, attemptsLeft](const boost::system::error_code &) {
                                 sendRelease(pool, ended, attemptsLeft - 1);
                             });
                     });
}

void SlotClient::reportToNewHomes()
{
    const auto candidates = m_view.homeCandidates();
    std::vector<std::pair<Member, HeldSlot>> updates;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[ticket, holding] : m_holdings) {
            const Member *home = homeOf(holding.slot.pool, candidates);
            if (home == nullptr || home->name == holding.home)
                continue;
            holding.home = home->name;
            updates.emplace_back(*home, holding.slot);
        }
    }
    for (auto &[home, slot] : updates) {
        if (home.name == m_identity.name) {
            m_localPools.adopt(slot);
            continue;
        }
        m_peers->adopt(home.peerAddress, slot, ReleaseTimeout,
                       [this, slot = slot](const PeerResult<PeerNode::Nothing> &result) {
                           if (result.value)
                               return;
                           const std::lock_guard lock(m_mutex);
                           const auto holding = m_holdings.find(slot.ticket);
                           if (holding != m_holdings.end())
                               holding->second.home.clear();
                       });
    }
}

std::size_t SlotClient::heldCount()
{
    const std::lock_guard lock(m_mutex);
    return m_holdings.size();
}

} // namespace chestnutsill
