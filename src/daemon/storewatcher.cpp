#include "daemon/storewatcher.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "daemon/identity.h"
#include "platform/published.h"

namespace chestnutsill {

namespace {

/// Empty prefix: all items are watched with one long poll instead of one for each kind.
constexpr std::string_view AllItems;
/// Time for the store to respond, in addition to the duration of a long poll.
constexpr milliseconds ResponseTimeout{700};
/// Range of the random delay after a failed call, so that instances that failed together do not retry
/// together.
constexpr milliseconds MinRetryPause{80};
constexpr milliseconds MaxRetryPause{250};

/// Minimum time between the starts of two long polls of the store. Changes come in bursts, and one poll
/// returns all changes made since the one before.
constexpr milliseconds MinCallInterval{100};

/// Duration of a long poll of a peer, and the additional time for its response.
constexpr milliseconds FeedPollDuration{700};
constexpr milliseconds FeedResponseTimeout{300};

/// Returns the latest instant whose state a long poll has reported. A poll without changes was answered after
/// the full `wait` and confirms that instant; one with changes may have been answered at any time since
/// `start`.
Instant knownAtOf(const std::vector<PublishedItem> &changes, Instant start, milliseconds wait)
{
    const bool waited = changes.empty() && now() - start >= wait;
    return waited ? start + wait : start;
}

std::string errorText(const ValidationErrors &errors)
{
    return errors.empty() ? std::string() : errors[0].path + ' ' + errors[0].message;
}

} // namespace

StoreWatcher::StoreWatcher(std::string address, milliseconds wait, RouterState &state, Handlers handlers)
    : m_client(std::move(address))
    , m_pollDuration(wait)
    , m_state(state)
    , m_handlers(std::move(handlers))
    , m_random(randomNumber())
{}

milliseconds StoreWatcher::retryPause()
{
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(MinRetryPause.count(),
                                                                         MaxRetryPause.count())(m_random));
}

void StoreWatcher::run(const Fiber &fiber)
{
    for (;;) {
        const FeedCandidates peers = m_complete ? m_handlers.feedCandidates() : FeedCandidates{};
        m_feedPeer = m_choice.select(peers, now());
        if (!m_feedPeer.empty()) {
            if (!followPeer(m_feedPeer, fiber))
                m_choice.recordPeerFailure(m_feedPeer, now());
            continue;
        }
        if (!(m_complete ? followStore(fiber) : readAll(fiber))) {
            m_choice.recordStoreFailure(now());
            recordFailure(m_choice.hasUsablePeer(peers, now()));
            sleepFor(retryPause(), fiber);
        }
    }
}

void StoreWatcher::recordPeerRevision(std::uint64_t revision)
{
    if (!m_complete)
        return;
    m_lag.recordPeerRevision(revision, m_log.revision(), now());
    if (!m_lag.isLagging(now()) || m_feedPeer.empty())
        return;
    // Give the next source the full time before it counts as lagging too.
    m_lag.restartTimer(now());
    m_feed.cancel();
}

std::optional<FeedAnswer> StoreWatcher::feedAnswer(std::uint64_t after) const
{
    auto changes = m_complete ? m_log.since(after) : std::nullopt;
    if (!changes)
        return std::nullopt;
    const Instant time = now();
    FeedAnswer answer{std::move(*changes), m_log.revision(), std::nullopt, {}};
    // Other peers may have confirmed the table more recently, but followers receive data only as recent as
    // this instance's own last read.
    if (m_knownAt != Instant{})
        answer.confirmedAge = std::chrono::ceil<milliseconds>(std::max(time - m_knownAt, Instant{}));
    answer.removalsDelayedFor =
        std::chrono::ceil<milliseconds>(std::max(m_state.catalog.removalsDelayedUntil() - time, Instant{}));
    return answer;
}

bool StoreWatcher::followPeer(const std::string &peer, const Fiber &fiber)
{
    const Instant start = now();
    const auto answer = m_feed.follow(peer, m_log.revision(), FeedPollDuration,
                                      FeedPollDuration + FeedResponseTimeout, fiber);
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
        m_state.catalog.delayRemovalsUntil(now() + answer->removalsDelayedFor);
    applyChanges(answer->items, answer->revision);
    if (answer->confirmedAge) {
        const Instant knownAt = knownAtOf(answer->items, start, FeedPollDuration) - *answer->confirmedAge;
        confirmTable(knownAt);
        if (fresh)
            recordSuccess(knownAt);
    }
    return fresh;
}

void StoreWatcher::applyChanges(const std::vector<PublishedItem> &items, std::uint64_t at)
{
    for (const PublishedItem &item : items) {
        applyItem(item, now());
        m_log.add(item);
    }
    m_log.advance(at);
    m_lag.recordOwnRevision(m_log.revision());
    if (!items.empty())
        m_handlers.onChanges();
}

milliseconds StoreWatcher::followedFor(Instant now) const noexcept
{
    return m_reachable ? std::chrono::duration_cast<milliseconds>(now - m_reachableSince) : milliseconds(0);
}

void StoreWatcher::recordSuccess(Instant knownAt)
{
    m_knownAt = std::max(m_knownAt, knownAt);
    if (m_reachable)
        return;
    m_reachable = true;
    m_reachableSince = now();
    m_state.catalog.recordStoreRegained(m_reachableSince);
    log(LogLevel::Info, "store-regained", {{"revision", static_cast<std::int64_t>(m_log.revision())}});
}

void StoreWatcher::recordFailure(bool hasPeer)
{
    if (m_client.lastFailure() == platform::StoreFailure::HistoryGone) {
        m_complete = false;
        log(LogLevel::Info, "store-history-gone",
            {{"revision", static_cast<std::int64_t>(m_log.revision())}});
        return;
    }
    if (hasPeer && m_complete) {
        log(LogLevel::Info, "store-passed-over", {{"reason", m_client.lastReason()}});
        return;
    }
    if (m_reachable)
        log(LogLevel::Warning, "store-lost", {{"reason", m_client.lastReason()}});
    m_reachable = false;
    m_state.catalog.recordStoreLost(m_knownAt);
}

void StoreWatcher::confirmTable(Instant at)
{
    if (const auto &table = m_state.catalog.table())
        m_state.freshness.confirm(table->version, at);
}

bool StoreWatcher::readAll(const Fiber &fiber)
{
    const Instant start = now();
    std::set<std::string> seen;
    std::string after;
    std::uint64_t firstAt = 0;
    for (;;) {
        const auto page = m_client.readPage(AllItems, after, ResponseTimeout, fiber);
        if (!page)
            return false;
        if (after.empty())
            firstAt = page->revision;
        for (const PublishedItem &item : page->items) {
            seen.insert(item.key);
            applyItem(item, now());
        }
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    removeUnseen(seen, firstAt, now());
    // Pages are not a consistent snapshot, so all changes since the first page are read again.
    m_log.restart(firstAt);
    m_complete = true;
    confirmTable(start);
    recordSuccess(start);
    return true;
}

void StoreWatcher::removeUnseen(const std::set<std::string> &seen, std::uint64_t at, Instant time)
{
    std::vector<std::string> gone;
    for (const auto &[id, record] : m_state.catalog.upstreams()) {
        if (!seen.contains(platform::upstreamKey(id)))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        m_state.catalog.removeUpstream(id, at, time);
    const auto zones = m_state.catalog.zonesOutOfService();
    for (const std::string &zone : zones) {
        if (!seen.contains(platform::zoneOutOfServiceKey(zone)))
            m_state.catalog.setZoneOutOfService(zone, false);
    }
}

bool StoreWatcher::followStore(const Fiber &fiber)
{
    const Instant start = now();
    const auto changes =
        m_client.watch(AllItems, m_log.revision(), m_pollDuration, m_pollDuration + ResponseTimeout, fiber);
    if (!changes)
        return false;
    applyChanges(changes->items, changes->revision);
    const Instant knownAt = knownAtOf(changes->items, start, m_pollDuration);
    confirmTable(knownAt);
    recordSuccess(knownAt);
    if (const Instant passed = now() - start; passed < MinCallInterval)
        sleepFor(std::chrono::duration_cast<milliseconds>(MinCallInterval - passed), fiber);
    return true;
}

void StoreWatcher::applyItem(const PublishedItem &item, Instant time)
{
    const platform::ItemKey name = platform::parseItemKey(item.key);
    ValidationErrors errors;
    switch (name.kind) {
    case platform::ItemKey::Kind::Table:
        if (!item.deleted)
            m_handlers.onTable(item.value);
        break;
    case platform::ItemKey::Kind::ZoneOutOfService:
        if (m_state.catalog.isZoneOutOfService(name.name) == item.deleted)
            log(LogLevel::Info, item.deleted ? "zone-back" : "zone-out", {{"zone", std::string(name.name)}});
        m_state.catalog.setZoneOutOfService(name.name, !item.deleted);
        break;
    case platform::ItemKey::Kind::Upstream: {
        auto entry =
            item.deleted ? std::nullopt : platform::parseUpstreamEntry(name.name, item.value, errors);
        log(LogLevel::Info, "upstream-entry",
            {{"upstream", std::string(name.name)},
             {"state", item.deleted     ? "gone"
                       : !entry         ? "unreadable"
                       : entry->leaving ? "leaving"
                                        : "live"},
             {"coldMs", static_cast<std::int64_t>(entry ? entry->coldRemaining.count() : 0)},
             {"reason", errorText(errors)},
             {"revision", static_cast<std::int64_t>(item.revision)}});
        if (entry)
            m_state.catalog.updateUpstream(std::move(*entry), item.revision, time);
        else
            m_state.catalog.removeUpstream(name.name, item.revision, time);
        break;
    }
    case platform::ItemKey::Kind::Other:
        break;
    }
}

} // namespace chestnutsill
