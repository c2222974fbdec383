#include "daemon/storewatch.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "daemon/identity.h"
#include "platform/published.h"

namespace chestnutsill {

namespace {

/// All published items; one watch for all costs one waiting call.
constexpr std::string_view AllItems;
/// Longest time for the store to answer, beside the time that a call is meant to wait.
constexpr milliseconds AnswerTimeout{700};
/// Range of the random pause after a failed call, so that instances that failed together don't return
/// together.
constexpr milliseconds ShortestPause{80};
constexpr milliseconds LongestPause{250};

/// Shortest time from one waiting call at the store to the next: changes often come in quick succession, and
/// each call answers all that came before it.
constexpr milliseconds CallGap{100};

/// How long a call to a peer waits for changes, and the time that it may take beside.
constexpr milliseconds FeedWait{700};
constexpr milliseconds FeedTimeout{300};

/// The last instant of which an answer to a waiting call tells. Without changes it was sent after the whole
/// wait, at the end of which there were none; otherwise at some time since the call.
Instant knownAtOf(const std::vector<PublishedItem> &changes, Instant start, milliseconds wait)
{
    const bool waited = changes.empty() && now() - start >= wait;
    return waited ? start + wait : start;
}

std::string faultText(const ValidationErrors &faults)
{
    return faults.empty() ? std::string() : faults[0].path + ' ' + faults[0].message;
}

} // namespace

StoreWatch::StoreWatch(std::string address, milliseconds wait, RouterState &state, Handlers handlers)
    : m_client(std::move(address))
    , m_wait(wait)
    , m_state(state)
    , m_handlers(std::move(handlers))
    , m_random(randomNumber())
{}

milliseconds StoreWatch::retryPause()
{
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(ShortestPause.count(),
                                                                         LongestPause.count())(m_random));
}

void StoreWatch::run(const Fiber &fiber)
{
    for (;;) {
        const FeedCandidates peers = m_complete ? m_handlers.feedPeers() : FeedCandidates{};
        m_feedPeer = m_choice.next(peers, now());
        if (!m_feedPeer.empty()) {
            if (!followPeer(m_feedPeer, fiber))
                m_choice.peerFailed(m_feedPeer, now());
            continue;
        }
        if (!(m_complete ? followStore(fiber) : readAll(fiber))) {
            m_choice.storeFailed(now());
            noteFailure(m_choice.hasPeer(peers, now()));
            sleepFor(retryPause(), fiber);
        }
    }
}

void StoreWatch::noteNewer(std::uint64_t revision)
{
    if (!m_complete)
        return;
    m_lag.heard(revision, m_log.at(), now());
    if (!m_lag.isTooLong(now()) || m_feedPeer.empty())
        return;
    // The next way gets as long as this one had.
    m_lag.restart(now());
    m_feed.cancel();
}

std::optional<FeedAnswer> StoreWatch::feedAnswer(std::uint64_t after) const
{
    auto changes = m_complete ? m_log.since(after) : std::nullopt;
    if (!changes)
        return std::nullopt;
    const Instant time = now();
    FeedAnswer answer{std::move(*changes), m_log.at(), std::nullopt, {}};
    // The table may be confirmed by other peers, but what followers get is as old as this instance's own
    // reading.
    if (m_knownAt != Instant{})
        answer.confirmedAge = std::chrono::ceil<milliseconds>(std::max(time - m_knownAt, Instant{}));
    answer.removalsDelayedFor =
        std::chrono::ceil<milliseconds>(std::max(m_state.catalog.lapseUntil() - time, Instant{}));
    return answer;
}

bool StoreWatch::followPeer(const std::string &peer, const Fiber &fiber)
{
    const Instant start = now();
    const auto answer = m_feed.follow(peer, m_log.at(), FeedWait, FeedWait + FeedTimeout, fiber);
    const bool fresh = answer && isFresh(*answer);
    if (!fresh) {
        log(LogLevel::Info, "peer-feed-left",
            {{"peer", peer},
             {"reason", answer ? std::string("its confirmation is too old") : m_feed.lastReason()},
             {"confirmedAgeMs", static_cast<std::int64_t>(
                                    answer && answer->confirmedAge ? answer->confirmedAge->count() : -1)}});
    }
    if (!answer)
        return false;
    if (answer->removalsDelayedFor > milliseconds(0))
        m_state.catalog.keepLapsedUntil(now() + answer->removalsDelayedFor);
    take(answer->items, answer->revision);
    if (answer->confirmedAge) {
        const Instant knownAt = knownAtOf(answer->items, start, FeedWait) - *answer->confirmedAge;
        confirm(knownAt);
        if (fresh)
            noteSuccess(knownAt);
    }
    return fresh;
}

void StoreWatch::take(const std::vector<PublishedItem> &items, std::uint64_t at)
{
    for (const PublishedItem &item : items) {
        apply(item, now());
        m_log.add(item);
    }
    m_log.advance(at);
    m_lag.reached(m_log.at());
    if (!items.empty())
        m_handlers.changed();
}

milliseconds StoreWatch::followedFor(Instant now) const noexcept
{
    return m_reachable ? std::chrono::duration_cast<milliseconds>(now - m_reachableSince) : milliseconds(0);
}

void StoreWatch::noteSuccess(Instant knownAt)
{
    m_knownAt = std::max(m_knownAt, knownAt);
    if (m_reachable)
        return;
    m_reachable = true;
    m_reachableSince = now();
    m_state.catalog.storeRegained(m_reachableSince);
    log(LogLevel::Info, "store-regained", {{"revision", static_cast<std::int64_t>(m_log.at())}});
}

void StoreWatch::noteFailure(bool hasPeer)
{
    if (m_client.lastFailure() == platform::StoreFailure::HistoryGone) {
        m_complete = false;
        log(LogLevel::Info, "store-history-gone", {{"revision", static_cast<std::int64_t>(m_log.at())}});
        return;
    }
    if (hasPeer && m_complete) {
        log(LogLevel::Info, "store-passed-over", {{"reason", m_client.lastReason()}});
        return;
    }
    if (m_reachable)
        log(LogLevel::Warning, "store-lost", {{"reason", m_client.lastReason()}});
    m_reachable = false;
    m_state.catalog.storeLost(m_knownAt);
}

void StoreWatch::confirm(Instant at)
{
    if (const auto &table = m_state.catalog.table())
        m_state.freshness.confirm(table->version, at);
}

bool StoreWatch::readAll(const Fiber &fiber)
{
    const Instant start = now();
    std::set<std::string> seen;
    std::string after;
    std::uint64_t firstAt = 0;
    for (;;) {
        const auto page = m_client.readPage(AllItems, after, AnswerTimeout, fiber);
        if (!page)
            return false;
        if (after.empty())
            firstAt = page->at;
        for (const PublishedItem &item : page->items) {
            seen.insert(item.key);
            apply(item, now());
        }
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    withdrawMissing(seen, firstAt, now());
    // Pages are no snapshot, so changes since the first one are read again.
    m_log.restart(firstAt);
    m_complete = true;
    confirm(start);
    noteSuccess(start);
    return true;
}

void StoreWatch::withdrawMissing(const std::set<std::string> &seen, std::uint64_t at, Instant time)
{
    std::vector<std::string> gone;
    for (const auto &[id, record] : m_state.catalog.upstreams()) {
        if (!seen.contains(platform::upstreamKey(id)))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        m_state.catalog.withdraw(id, at, time);
    const auto zones = m_state.catalog.zonesOut();
    for (const std::string &zone : zones) {
        if (!seen.contains(platform::zoneOutKey(zone)))
            m_state.catalog.setZoneOut(zone, false);
    }
}

bool StoreWatch::followStore(const Fiber &fiber)
{
    const Instant start = now();
    const auto changes = m_client.watch(AllItems, m_log.at(), m_wait, m_wait + AnswerTimeout, fiber);
    if (!changes)
        return false;
    take(changes->items, changes->at);
    const Instant knownAt = knownAtOf(changes->items, start, m_wait);
    confirm(knownAt);
    noteSuccess(knownAt);
    if (const Instant passed = now() - start; passed < CallGap)
        sleepFor(std::chrono::duration_cast<milliseconds>(CallGap - passed), fiber);
    return true;
}

void StoreWatch::apply(const PublishedItem &item, Instant time)
{
    const platform::ItemName name = platform::nameOf(item.key);
    ValidationErrors faults;
    switch (name.kind) {
    case platform::ItemName::Kind::Table:
        if (!item.deleted)
            m_handlers.table(item.value);
        break;
    case platform::ItemName::Kind::ZoneOut:
        if (m_state.catalog.isZoneOut(name.name) == item.deleted)
            log(LogLevel::Info, item.deleted ? "zone-back" : "zone-out", {{"zone", std::string(name.name)}});
        m_state.catalog.setZoneOut(name.name, !item.deleted);
        break;
    case platform::ItemName::Kind::Upstream: {
        auto entry = item.deleted ? std::nullopt : platform::parseEntry(name.name, item.value, faults);
        log(LogLevel::Info, "upstream-entry",
            {{"upstream", std::string(name.name)},
             {"state", item.deleted     ? "gone"
                       : !entry         ? "unreadable"
                       : entry->leaving ? "leaving"
                                        : "live"},
             {"coldMs", static_cast<std::int64_t>(entry ? entry->coldFor.count() : 0)},
             {"reason", faultText(faults)},
             {"revision", static_cast<std::int64_t>(item.revision)}});
        if (entry)
            m_state.catalog.publish(std::move(*entry), item.revision, time);
        else
            m_state.catalog.withdraw(name.name, item.revision, time);
        break;
    }
    case platform::ItemName::Kind::Other:
        break;
    }
}

} // namespace chestnutsill
