#include "chestnutsill/policy/dispatchqueue.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chestnutsill {

namespace {

/// Time kept free for other delays: the check period of 20 ms, the connection and the first step.
constexpr milliseconds SlackMargin{100};
/// Part of the slack for which a request may be held; the rest is left for the queue at the engine.
constexpr int SlackDivisor = 2;
/// Part of the time until the deadline for which it may be held.
constexpr int DeadlineDivisor = 4;
/// Requests whose remaining slack falls into the same step are ordered by value for each token.
constexpr milliseconds SlackStep{50};
/// Time after which the room that was not used shows that peers don't need it: one interval in which they
/// may release, and one until the view shows it.
constexpr Instant GrowthPeriod = 2 * DispatchQueue::ViewInterval;
/// Weight of an interval in the part of the intervals in which this instance has requests to release: the
/// mean of about two seconds.
constexpr double ActivityWeight = 0.1;
/// Smallest part of the instances that are taken to compete for the room. When all of them get requests at
/// the same moment after a quiet time, they release at most the inverse of it, times the room, in the first
/// interval. With a half, one request in ten was held for up to 300 ms while most engines were idle.
constexpr double MinCompetingPart = 0.25;

/// Tokens of prompts of this size that fit into the room of all engines.
double usableTokens(std::span<const double> rooms, double tokens)
{
    const double size = std::max(tokens, 1.0);
    double usable = 0;
    for (const double room : rooms)
        usable += std::floor(std::max(room, 0.0) / size) * size;
    return usable;
}

/// Takes tokens from the engine with the most room.
void takeRoom(std::span<double> rooms, double tokens)
{
    const auto largest = std::max_element(rooms.begin(), rooms.end());
    if (largest != rooms.end())
        *largest -= tokens;
}

bool hasRoom(std::span<const double> rooms, double tokens)
{
    return std::any_of(rooms.begin(), rooms.end(), [&](double room) { return room >= tokens; });
}

} // namespace

std::string_view toString(HoldReason reason) noexcept
{
    switch (reason) {
    case HoldReason::None:
        return {};
    case HoldReason::NoRoom:
        return "no-room";
    case HoldReason::Share:
        return "share";
    case HoldReason::SharedPart:
        return "shared-part";
    }
    return {};
}

Instant latestRelease(const DispatchRequest &request, Instant now) noexcept
{
    const auto prefill = std::chrono::duration_cast<Instant>(
        std::chrono::duration<double, std::milli>(std::max(request.prefillMs, 0.0)));
    const Instant slack = request.firstEventDue - now - prefill - SlackMargin;
    return now + std::min(slack / SlackDivisor, (request.deadline - now) / DeadlineDivisor);
}

DispatchQueue::Group DispatchQueue::groupOf(const DispatchRequest &request)
{
    // Sizes of one class differ by a factor of four at most.
    const int sizeClass = std::ilogb(std::max(request.tokens, 1.0)) / 2;
    return {request.route, sizeClass, request.account};
}

DispatchQueue::Ticket DispatchQueue::add(DispatchRequest request, Instant now)
{
    const Ticket ticket = m_nextTicket++;
    Entry entry;
    entry.latest = latestRelease(request, now);
    entry.released = countHeld() >= MaxHeld;
    startShares(request);
    entry.group = groupOf(request);
    entry.request = std::move(request);
    m_requests.emplace(ticket, std::move(entry));
    return ticket;
}

void DispatchQueue::startShares(const DispatchRequest &request)
{
    const Group group = groupOf(request);
    std::optional<double> leastOfAccounts;
    std::optional<double> leastOfGroups;
    bool accountWaits = false;
    bool groupWaits = false;
    for (const auto &[ticket, entry] : m_requests) {
        if (entry.released)
            continue;
        const double ofAccount = m_releasedTokens[entry.request.account];
        const double ofGroup = m_floorTokens[entry.group];
        leastOfAccounts = std::min(leastOfAccounts.value_or(ofAccount), ofAccount);
        leastOfGroups = std::min(leastOfGroups.value_or(ofGroup), ofGroup);
        accountWaits = accountWaits || entry.request.account == request.account;
        groupWaits = groupWaits || entry.group == group;
    }
    // While nothing waits, nobody can be behind. Forgetting all of them then bounds the memory.
    if (!leastOfAccounts) {
        m_releasedTokens.clear();
        m_floorTokens.clear();
        m_floorCredit = 0;
    }
    double &ofAccount = m_releasedTokens[request.account];
    if (!accountWaits)
        ofAccount = std::max(ofAccount, leastOfAccounts.value_or(0.0));
    double &ofGroup = m_floorTokens[group];
    if (!groupWaits)
        ofGroup = std::max(ofGroup, leastOfGroups.value_or(0.0));
}

bool DispatchQueue::isPrefillingFor(const Entry &entry, Instant now) const
{
    if (entry.request.sharedPart == 0 || entry.request.sharedPartCached)
        return false;
    const auto found = m_prefilling.find(entry.request.sharedPart);
    return found != m_prefilling.end() && now - found->second < MaxSharedPartWait;
}

bool DispatchQueue::isEligible(const Entry &entry, std::span<const double> rooms, Instant now) const
{
    return !entry.released && !isPrefillingFor(entry, now) && hasRoom(rooms, entry.request.tokens);
}

DispatchQueue::Entries::iterator DispatchQueue::next(std::span<const double> rooms, Instant now)
{
    const auto rank = [&](const Entry &entry) {
        const DispatchRequest &request = entry.request;
        return std::tuple(request.tier, m_releasedTokens[request.account], (entry.latest - now) / SlackStep,
                          -request.value / std::max(request.tokens, 1.0));
    };
    auto best = m_requests.end();
    for (auto entry = m_requests.begin(); entry != m_requests.end(); ++entry) {
        if (isEligible(entry->second, rooms, now)
            && (best == m_requests.end() || rank(entry->second) < rank(best->second)))
            best = entry;
    }
    return best;
}

DispatchQueue::Entries::iterator DispatchQueue::nextOfFloor(std::span<const double> rooms, Instant now)
{
    auto best = m_requests.end();
    double least = 0;
    for (auto entry = m_requests.begin(); entry != m_requests.end(); ++entry) {
        if (!isEligible(entry->second, rooms, now))
            continue;
        const double tokens = m_floorTokens[entry->second.group];
        if (best == m_requests.end() || tokens < least) {
            best = entry;
            least = tokens;
        }
    }
    return best;
}

void DispatchQueue::recordActivity(Instant now)
{
    const std::int64_t interval = now / ViewInterval;
    if (interval <= m_activeInterval)
        return;
    if (m_activeInterval >= 0)
        m_activity = m_activity * std::pow(1 - ActivityWeight, interval - m_activeInterval) + ActivityWeight;
    m_activeInterval = interval;
}

double DispatchQueue::shareOf(const DispatchView &view, double usable) const
{
    const double competing = std::max(view.liveInstances * std::max(m_activity, MinCompetingPart), 1.0);
    return usable * std::min(view.demandShare.value_or(1.0 / competing) * m_growth, 1.0);
}

void DispatchQueue::accrue(const DispatchView &view, std::span<const double> rooms, double tokens,
                           Instant now)
{
    const double share = shareOf(view, usableTokens(rooms, tokens));
    if (!m_intervalAt || now - *m_intervalAt >= 2 * ViewInterval) {
        // A part of a prompt that differs between instances and times: otherwise all instances with equal
        // views would reach the credit for a prompt at once.
        constexpr std::uint64_t Steps = 1024;
        const std::uint64_t draw = stableHash("credit", m_seed + m_nextTicket) % Steps;
        m_credit = tokens * static_cast<double>(draw) / Steps;
        m_intervalAt = now;
        m_granted = 0;
    } else if (now - *m_intervalAt >= ViewInterval || m_granted <= 0) {
        m_credit = std::min(m_credit, tokens);
        m_intervalAt = now;
        m_granted = 0;
    }
    m_credit += std::max(share - m_granted, 0.0);
    m_granted = std::max(share, m_granted);
}

void DispatchQueue::updateGrowth(bool isLimited, double usable, int liveInstances, Instant now)
{
    if (!isLimited) {
        m_limitedSince.reset();
        m_growth = 1;
        return;
    }
    if (m_limitedSince && now - *m_limitedSince < GrowthPeriod)
        return;
    if (m_limitedSince)
        m_growth =
            usable * 2 >= m_usableThen ? std::min(m_growth * 2, static_cast<double>(liveInstances)) : 1;
    m_limitedSince = now;
    m_usableThen = usable;
}

void DispatchQueue::chargeFloor(const Entry &entry, bool isFloor)
{
    const double tokens = entry.request.tokens;
    if (isFloor) {
        m_floorTokens[entry.group] += tokens;
        m_floorCredit -= tokens;
    } else {
        m_floorCredit += tokens / (FloorDivisor - 1);
    }
}

void DispatchQueue::setReleased(Entries::iterator entry, Instant now)
{
    const DispatchRequest &request = entry->second.request;
    entry->second.released = true;
    m_releasedTokens[request.account] += request.tokens;
    if (request.sharedPart != 0 && !request.sharedPartCached)
        m_prefilling.try_emplace(request.sharedPart, now);
}

std::vector<DispatchQueue::Ticket> DispatchQueue::release(const DispatchView &view, Instant now)
{
    m_releaseAt = now;
    if (!m_requests.empty())
        recordActivity(now);
    std::erase_if(m_prefilling, [&](const auto &item) { return now - item.second >= MaxSharedPartWait; });
    std::vector<Ticket> released;
    const bool holdsNothing = view.liveInstances <= 1 || !view.age || *view.age > MaxViewAge;
    std::vector<double> rooms(view.roomTokens.begin(), view.roomTokens.end());
    std::optional<double> firstTokens;
    for (auto entry = m_requests.begin(); entry != m_requests.end(); ++entry) {
        if (!entry->second.released && (holdsNothing || entry->second.latest <= now)) {
            setReleased(entry, now);
            released.push_back(entry->first);
        }
        if (entry->second.released)
            takeRoom(rooms, entry->second.request.tokens);
        else if (!firstTokens)
            firstTokens = entry->second.request.tokens;
    }
    if (!firstTokens) {
        updateGrowth(false, 0, view.liveInstances, now);
        return released;
    }
    const std::vector<double> roomsBefore = rooms;
    bool isFloor = false;
    const auto choose = [&] {
        // The group whose turn it is keeps it if others have just taken the room that it needs.
        const auto ofFloor = m_floorCredit > 0 ? nextOfFloor(roomsBefore, now) : m_requests.end();
        isFloor = ofFloor != m_requests.end() && hasRoom(rooms, ofFloor->second.request.tokens);
        return isFloor ? ofFloor : next(rooms, now);
    };
    auto entry = choose();
    accrue(view, rooms, entry == m_requests.end() ? *firstTokens : entry->second.request.tokens, now);
    while (entry != m_requests.end() && m_credit >= entry->second.request.tokens) {
        const double tokens = entry->second.request.tokens;
        m_credit -= tokens;
        takeRoom(rooms, tokens);
        chargeFloor(entry->second, isFloor);
        setReleased(entry, now);
        released.push_back(entry->first);
        entry = choose();
    }
    const bool isLimited = entry != m_requests.end();
    updateGrowth(isLimited, isLimited ? usableTokens(rooms, entry->second.request.tokens) : 0,
                 view.liveInstances, now);
    for (auto &[ticket, waiting] : m_requests) {
        if (!waiting.released)
            waiting.reason = isPrefillingFor(waiting, now)            ? HoldReason::SharedPart
                             : hasRoom(rooms, waiting.request.tokens) ? HoldReason::Share
                                                                      : HoldReason::NoRoom;
    }
    return released;
}

bool DispatchQueue::isReleased(Ticket ticket) const
{
    const auto found = m_requests.find(ticket);
    return found == m_requests.end() || found->second.released;
}

void DispatchQueue::updateCached(Ticket ticket, double tokens, bool sharedPartCached)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return;
    found->second.request.tokens = tokens;
    found->second.request.sharedPartCached = sharedPartCached;
}

void DispatchQueue::remove(Ticket ticket)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return;
    // Another request must have the shared part prefilled then.
    if (found->second.released && !found->second.request.sharedPartCached)
        m_prefilling.erase(found->second.request.sharedPart);
    m_requests.erase(found);
}

HoldReason DispatchQueue::reason(Ticket ticket) const
{
    const auto found = m_requests.find(ticket);
    return found == m_requests.end() ? HoldReason::None : found->second.reason;
}

Instant DispatchQueue::latest(Ticket ticket) const
{
    const auto found = m_requests.find(ticket);
    return found == m_requests.end() ? Instant{} : found->second.latest;
}

double DispatchQueue::largestTokens() const
{
    double largest = 0;
    for (const auto &[ticket, entry] : m_requests)
        largest = std::max(largest, entry.request.tokens);
    return largest;
}

DispatchQueue::Held DispatchQueue::held() const
{
    Held held;
    for (const auto &[ticket, entry] : m_requests) {
        if (entry.released)
            continue;
        ++held.byRoute[entry.request.route];
        held.tokens += entry.request.tokens;
    }
    return held;
}

std::size_t DispatchQueue::countHeld() const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                                  [](const auto &item) { return !item.second.released; }));
}

} // namespace chestnutsill
