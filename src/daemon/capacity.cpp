#include "daemon/capacity.h"

#include "chestnutsill/net/oneshotchannel.h"
#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/poolhome.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

namespace chestnutsill {

namespace {

constexpr milliseconds WaitSlice{100};
constexpr milliseconds CallMargin{500};
constexpr milliseconds ReleaseTimeout{500};
constexpr milliseconds ReleaseRetryPause{300};
constexpr int ReleaseTries = 30;

/// Work per unit of capacity that a request of this tier would find before it; lower is better.
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

Capacity::Capacity(boost::asio::io_context &io, ClusterView &view, Homes &homes, Identity identity)
    : m_io(io)
    , m_view(view)
    , m_homes(homes)
    , m_identity(std::move(identity))
{}

std::vector<std::string> Capacity::poolsByLoad(const CapacityNeed &need)
{
    constexpr double UnknownLoad = 1e5;
    const auto configuration = m_view.configuration();
    const auto own = m_homes.summaries();
    std::vector<std::pair<double, std::string>> ordered;
    for (const std::string &pool : openPools(*configuration, need.model)) {
        const auto local =
            std::find_if(own.begin(), own.end(), [&](const PoolSummary &s) { return s.pool == pool; });
        const auto summary = local != own.end() ? *local : m_view.summary(pool, now());
        const double load = summary ? loadOf(*summary, need.ask.tier) : UnknownLoad;
        ordered.emplace_back(load * jitter(), pool);
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<std::string> pools;
    pools.reserve(ordered.size());
    for (auto &[load, pool] : ordered)
        pools.push_back(std::move(pool));
    return pools;
}

void Capacity::sendAsk(const std::string &pool, const Member &home, const SlotRequest &request,
                       std::function<void(Decision)> done)
{
    if (home.name == m_identity.name) {
        m_homes.ask(pool, request, std::move(done));
        return;
    }
    const auto timeout = std::chrono::duration_cast<milliseconds>(request.startBy - now()) + CallMargin;
    m_peers->ask(home.peerAddress, pool, request, timeout,
                 [done = std::move(done), ticket = request.ticket](PeerResult<Decision> result) {
                     if (result.value)
                         done(std::move(*result.value));
                     else
                         done(Refusal{ticket, RefusalReason::HomeNotReady, CallMargin});
                 });
}

std::variant<HeldGrant, RefusalReason> Capacity::askPool(const std::string &pool, const CapacityNeed &need,
                                                         const std::function<bool()> &isAbandoned,
                                                         const Fiber &fiber)
{
    const auto candidates = m_view.homeCandidates();
    const Member *home = homeOf(pool, candidates);
    if (home == nullptr)
        return RefusalReason::HomeNotReady;
    SlotRequest request = need.ask;
    request.ticket = {m_identity.name, m_identity.incarnation, m_nextTicket++};
    const Instant askedAt = now();
    auto mailbox = std::make_shared<OneShotChannel<Decision>>(fiber.get_executor());
    sendAsk(pool, *home, request, [mailbox](Decision decision) { mailbox->put(std::move(decision)); });
    std::optional<Decision> decision;
    while (!decision && now() < need.ask.startBy + CallMargin && !isAbandoned())
        decision = mailbox->wait(WaitSlice, fiber);
    if (decision && std::holds_alternative<Grant>(*decision)) {
        Grant grant = std::get<Grant>(std::move(*decision));
        const Instant useBy = askedAt + grant.waited + GrantLifetime;
        const std::lock_guard lock(m_mutex);
        m_holdings[grant.ticket] = {{grant.ticket, pool, grant.upstream, need.ask.tier, need.ask.fingerprint},
                                    home->name};
        return HeldGrant{std::move(grant), pool, useBy};
    }
    if (decision && std::get<Refusal>(*decision).reason != RefusalReason::HomeNotReady)
        return std::get<Refusal>(*decision).reason;
    // The home may have granted without this instance knowing, so the ask is withdrawn.
    sendRelease(pool, {request.ticket, RunOutcome::NotStarted, {}, {}}, ReleaseTries);
    return decision ? RefusalReason::HomeNotReady : RefusalReason::WaitedTooLong;
}

std::variant<HeldGrant, RefusalReason>
Capacity::acquire(const CapacityNeed &need, const std::function<bool()> &isAbandoned, const Fiber &fiber)
{
    RefusalReason last = RefusalReason::NoUpstream;
    while (now() < need.ask.startBy && !isAbandoned()) {
        for (const std::string &pool : poolsByLoad(need)) {
            auto result = askPool(pool, need, isAbandoned, fiber);
            if (std::holds_alternative<HeldGrant>(result))
                return result;
            last = std::get<RefusalReason>(result);
            if (last == RefusalReason::Quarantined || now() >= need.ask.startBy)
                return last;
        }
        if (last == RefusalReason::WouldBeLate)
            return last;
        sleepFor(WaitSlice, fiber);
    }
    return last;
}

void Capacity::release(const HeldGrant &held, const Release &ended)
{
    {
        const std::lock_guard lock(m_mutex);
        m_holdings.erase(ended.ticket);
    }
    sendRelease(held.pool, ended, ReleaseTries);
}

void Capacity::sendRelease(const std::string &pool, const Release &ended, int triesLeft)
{
    const auto candidates = m_view.homeCandidates();
    const Member *home = homeOf(pool, candidates);
    if (home == nullptr || triesLeft == 0)
        return;
    if (home->name == m_identity.name) {
        m_homes.release(pool, ended);
        return;
    }
    m_peers->release(home->peerAddress, pool, ended, ReleaseTimeout,
                     [this, pool, ended, triesLeft](const PeerResult<PeerNode::Nothing> &result) {
                         if (result.value)
                             return;
                         auto timer = std::make_shared<boost::asio::steady_timer>(m_io, ReleaseRetryPause);
                         timer->async_wait(
                             [this, timer, pool, ended, triesLeft](const boost::system::error_code &) {
                                 sendRelease(pool, ended, triesLeft - 1);
                             });
                     });
}

void Capacity::followHomes()
{
    const auto candidates = m_view.homeCandidates();
    std::vector<std::pair<Member, HeldSlot>> news;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[ticket, holding] : m_holdings) {
            const Member *home = homeOf(holding.slot.pool, candidates);
            if (home == nullptr || home->name == holding.home)
                continue;
            holding.home = home->name;
            news.emplace_back(*home, holding.slot);
        }
    }
    for (auto &[home, slot] : news) {
        if (home.name == m_identity.name) {
            m_homes.adopt(slot);
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

std::size_t Capacity::heldCount()
{
    const std::lock_guard lock(m_mutex);
    return m_holdings.size();
}

} // namespace chestnutsill
