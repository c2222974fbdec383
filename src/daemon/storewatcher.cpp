#include "daemon/storewatcher.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "daemon/identity.h"
#include "platform/published.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Time for the store to respond; a long poll may take its duration in addition.
constexpr milliseconds ResponseTimeout{700};

/// Minimum time between the starts of two long polls of the store. Changes come in bursts, and one poll
/// returns all changes made since the one before.
constexpr milliseconds MinPollInterval{100};

/// Duration of a long poll of a peer, and the additional time for its response.
constexpr milliseconds FeedPollDuration{700};
constexpr milliseconds FeedResponseTimeout{300};

/// Time after the start in which the seeds of a running cluster have told this instance of their peers, and
/// the interval at which it checks for that.
constexpr milliseconds PeerDiscoveryTime{60};
constexpr milliseconds PeerDiscoveryInterval{10};

/// Returns the latest instant whose state a long poll has reported. A poll without changes, not even of items
/// that this system does not use, was answered after the full `wait` and confirms that instant; one with
/// changes may have been answered at any time since `start`.
Instant confirmedAtOf(bool hasChanges, Instant start, milliseconds wait)
{
    const bool waited = !hasChanges && now() - start >= wait;
    return waited ? start + wait : start;
}

/// What is of use among the items that a peer has sent, which may hold others.
std::vector<PublishedItem> usedItemsOf(std::vector<PublishedItem> items)
{
    std::vector<PublishedItem> used;
    for (PublishedItem &item : items) {
        if (platform::reduceItem(item))
            used.push_back(std::move(item));
    }
    return used;
}

std::string errorText(const ValidationErrors &errors)
{
    return errors.empty() ? std::string() : errors[0].path + ' ' + errors[0].message;
}

} // namespace

StoreWatcher::StoreWatcher(std::string address, milliseconds wait, RouterState &state, Handlers handlers)
    : m_storeClient(std::move(address))
    , m_pollDuration(wait)
    , m_state(state)
    , m_handlers(std::move(handlers))
    , m_random(randomNumber())
{}

milliseconds StoreWatcher::retryPause(const FeedCandidates &candidates)
{
    return m_selector.storeRetryDelay(candidates, std::uniform_real_distribution<double>()(m_random));
}

void StoreWatcher::waitForPeers(const Fiber &fiber) const
{
    while (m_handlers.feedCandidates().empty() && now() - m_startedAt < PeerDiscoveryTime)
        sleepFor(PeerDiscoveryInterval, fiber);
}

void StoreWatcher::run(const Fiber &fiber)
{
    m_startedAt = now();
    waitForPeers(fiber);
    for (;;) {
        const FeedCandidates candidates = m_handlers.feedCandidates();
        m_source = m_fullReadDone ? m_selector.select(candidates, now())
                                  : m_selector.selectFirst(candidates, m_startedAt, now());
        if (!m_source.peer.empty()) {
            followPeer(m_source, fiber);
            continue;
        }
        const bool hasAnswered = m_fullReadDone ? followStore(fiber) : readAll(fiber);
        noteEra();
        if (hasAnswered) {
            m_selector.recordStoreAnswer();
            continue;
        }
        if (mustReadAgain()) {
            m_selector.recordStoreAnswer();
            m_fullReadDone = false;
            log(LogLevel::Info, "store-history-gone",
                {{"reason", m_storeClient.lastReason()},
                 {"revision", static_cast<std::int64_t>(m_changeLog.revision().number)}});
        } else {
            m_selector.recordStoreFailure(now());
            recordFailure(m_selector.hasUsablePeer(candidates, now()));
        }
        sleepFor(retryPause(candidates), fiber);
    }
}

bool StoreWatcher::mustReadAgain() const noexcept
{
    // Pages are smaller than changes that have piled up.
    const platform::StoreFailure failure = m_storeClient.lastFailure();
    return failure == platform::StoreFailure::HistoryGone
           || (failure == platform::StoreFailure::TooLarge && m_fullReadDone);
}

void StoreWatcher::recordPeerRevision(StoreRevision revision)
{
    if (!m_fullReadDone)
        return;
    m_lagDetector.recordPeerRevision(revision, m_changeLog.revision(), now());
    if (!m_lagDetector.isLagging(now()) || m_source.peer.empty())
        return;
    // The next source gets the full `RevisionLagDetector::MaxLag` to catch up.
    m_lagDetector.restartTimer(now());
    m_feedClient.cancel();
}

std::optional<FeedAnswer> StoreWatcher::feedAnswer(StoreRevision after) const
{
    if (!m_fullReadDone)
        return std::nullopt;
    auto changes = after.number == 0 ? std::nullopt : m_changeLog.since(after);
    const Instant time = now();
    FeedAnswer answer;
    answer.isSnapshot = !changes;
    answer.items = changes ? std::move(*changes) : m_changeLog.snapshot();
    answer.revision = m_changeLog.revision();
    // Other peers may have confirmed the table more recently, but followers receive data only as recent as
    // this instance's own last read.
    if (m_confirmedAt != Instant{})
        answer.confirmedAge = std::chrono::ceil<milliseconds>(std::max(time - m_confirmedAt, Instant{}));
    answer.removalsDelayedFor =
        std::chrono::ceil<milliseconds>(std::max(m_state.catalog.removalsDelayedUntil() - time, Instant{}));
    return answer;
}

void StoreWatcher::followPeer(const FeedSource &source, const Fiber &fiber)
{
    const Instant start = now();
    auto answer = m_feedClient.follow(source, revision(), FeedPollDuration,
                                      FeedPollDuration + FeedResponseTimeout, fiber);
    const bool fresh = answer && isFresh(*answer);
    const bool isOlder = answer && answer->revision.era < era();
    if (!answer || isOlder || (!fresh && !source.acceptsStale)) {
        log(LogLevel::Info, "peer-feed-left",
            {{"peer", source.peer},
             {"reason", isOlder  ? std::string("it has not read the restored store yet")
                        : answer ? std::string("its confirmation is too old")
                                 : m_feedClient.lastReason()},
             {"confirmedAgeMs", static_cast<std::int64_t>(
                                    answer && answer->confirmedAge ? answer->confirmedAge->count() : -1)}});
    }
    // Changes alone are of no use without the items that they change, and those of another era change others.
    const bool hasItems = answer && m_fullReadDone && isSameEra(answer->revision);
    if (!answer || isOlder || (!answer->isSnapshot && !hasItems)) {
        m_selector.recordPeerFailure(source.peer, now());
        return;
    }
    std::optional<Instant> confirmedAt;
    if (answer->confirmedAge)
        confirmedAt = confirmedAtOf(!answer->items.empty(), start, FeedPollDuration) - *answer->confirmedAge;
    // A stale snapshot is not applied, so its confirmation does not hold for the local copy.
    if (answer->isSnapshot && !fresh && !source.acceptsStale) {
        m_selector.recordStalePeer(source.peer, confirmedAt, now());
        return;
    }
    if (answer->removalsDelayedFor > milliseconds(0))
        m_state.catalog.delayRemovalsUntil(now() + answer->removalsDelayedFor);
    std::vector<PublishedItem> items = usedItemsOf(std::move(answer->items));
    if (answer->isSnapshot)
        applySnapshot(std::move(items), answer->revision);
    else
        applyChanges(items, answer->revision);
    if (confirmedAt) {
        recordConfirmed(*confirmedAt);
        confirmTable(*confirmedAt);
    }
    if (fresh) {
        m_selector.recordFreshPeer(source.peer);
        recordSuccess(*confirmedAt);
        return;
    }
    m_selector.recordStalePeer(source.peer, confirmedAt, now());
    if (source.acceptsStale)
        recordOutage("the newest confirmation of any peer is too old");
}

void StoreWatcher::applySnapshot(std::vector<PublishedItem> items, StoreRevision revision)
{
    const Instant time = now();
    const bool isRestored = m_changeLog.revision().number > 0 && !isSameEra(revision);
    if (isRestored) {
        log(LogLevel::Warning, "store-restored",
            {{"era", static_cast<std::int64_t>(revision.era)},
             {"revision", static_cast<std::int64_t>(revision.number)},
             {"formerRevision", static_cast<std::int64_t>(m_changeLog.revision().number)}});
        // What the copy lacks is written again, as after an outage in which leases expire.
        m_isFollowing = false;
        m_state.catalog.recordStoreLost(m_confirmedAt);
        // An instance that had not followed the store for long may have missed a table that the copy lacks
        // too.
        if (!m_handlers.isKeyFresh())
            m_unconfirmedUntil = time + Catalog::RemovalDelay;
    }
    std::set<std::string> seen;
    for (const PublishedItem &item : items) {
        applyItem(item, revision.era, time);
        seen.insert(item.key);
    }
    removeUnseen(seen, revision, isRestored, time);
    log(LogLevel::Info, "all-items-read",
        {{"source", m_source.peer.empty() ? std::string("store") : m_source.peer},
         {"items", static_cast<std::int64_t>(items.size())},
         {"revision", static_cast<std::int64_t>(revision.number)}});
    m_changeLog.restart(std::move(items), revision);
    m_lagDetector.recordOwnRevision(revision);
    m_fullReadDone = true;
    m_lastReadFailure.clear();
    m_handlers.onChanges();
}

void StoreWatcher::applyChanges(const std::vector<PublishedItem> &items, StoreRevision revision)
{
    for (const PublishedItem &item : items) {
        applyItem(item, revision.era, now());
        if (platform::parseItemKey(item.key).kind == platform::ItemKey::Kind::Table)
            m_unconfirmedUntil = Instant{};
        m_changeLog.add(item);
    }
    m_changeLog.advance(revision.number);
    m_lagDetector.recordOwnRevision(m_changeLog.revision());
    if (!items.empty())
        m_handlers.onChanges();
}

milliseconds StoreWatcher::followedFor(Instant now) const noexcept
{
    return m_isFollowing ? std::chrono::duration_cast<milliseconds>(now - m_followingSince) : milliseconds(0);
}

void StoreWatcher::recordConfirmed(Instant at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    m_state.catalog.recordConfirmed(at);
}

void StoreWatcher::recordSuccess(Instant confirmedAt)
{
    recordConfirmed(confirmedAt);
    if (m_isFollowing)
        return;
    m_isFollowing = true;
    m_followingSince = now();
    m_state.catalog.recordStoreRegained(m_followingSince);
    log(LogLevel::Info, "store-regained",
        {{"revision", static_cast<std::int64_t>(m_changeLog.revision().number)}});
    // Followers that stayed with this instance wait for a fresh confirmation.
    m_handlers.onChanges();
}

void StoreWatcher::recordFailure(bool hasUsablePeer)
{
    if (!m_fullReadDone && m_storeClient.lastReason() != m_lastReadFailure) {
        m_lastReadFailure = m_storeClient.lastReason();
        log(LogLevel::Warning, "full-read-failed", {{"reason", m_lastReadFailure}});
    }
    if (hasUsablePeer && m_fullReadDone) {
        log(LogLevel::Info, "store-passed-over", {{"reason", m_storeClient.lastReason()}});
        return;
    }
    recordOutage(m_storeClient.lastReason());
}

void StoreWatcher::recordOutage(const std::string &reason)
{
    if (m_isFollowing)
        log(LogLevel::Warning, "store-lost", {{"reason", reason}});
    m_isFollowing = false;
    m_state.catalog.recordStoreLost(m_confirmedAt);
}

void StoreWatcher::noteEra()
{
    const std::uint64_t era = m_storeClient.era();
    if (era == m_statedEra)
        return;
    log(LogLevel::Info, "store-era",
        {{"era", static_cast<std::int64_t>(era)},
         {"former", static_cast<std::int64_t>(m_statedEra)},
         {"revision", static_cast<std::int64_t>(m_changeLog.revision().number)}});
    m_statedEra = era;
}

void StoreWatcher::confirmTable(Instant at)
{
    const auto &table = m_state.catalog.table();
    if (table && at >= m_unconfirmedUntil)
        m_state.freshness.confirm(table->version, at);
}

bool StoreWatcher::readAll(const Fiber &fiber)
{
    const Instant start = now();
    auto read = m_storeClient.readAll(ResponseTimeout, fiber);
    if (!read || read->revision.era < era())
        return false;
    // Pages are not a consistent snapshot, so all changes since the first page are read again.
    applySnapshot(std::move(read->items), read->revision);
    confirmTable(start);
    recordSuccess(start);
    return true;
}

void StoreWatcher::removeUnseen(const std::set<std::string> &seen, StoreRevision revision, bool isRestored,
                                Instant time)
{
    std::vector<std::string> gone;
    for (const auto &[id, record] : m_state.catalog.upstreams()) {
        if (!seen.contains(platform::upstreamKey(id)))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        m_state.catalog.removeUpstream(id, revision, time);
    const auto zones = m_state.catalog.zonesOutOfService();
    for (const std::string &zone : zones) {
        if (seen.contains(platform::zoneOutOfServiceKey(zone)))
            continue;
        if (isRestored)
            m_state.catalog.returnZoneOfRestoredStore(zone, time);
        else
            m_state.catalog.setZoneOutOfService(zone, false);
    }
}

bool StoreWatcher::followStore(const Fiber &fiber)
{
    const Instant start = now();
    const milliseconds wait = storePollDuration(start - m_confirmedAt, m_pollDuration);
    const auto changes =
        m_storeClient.watch(m_changeLog.revision().number, wait, wait + ResponseTimeout, fiber);
    if (!changes)
        return false;
    if (changes->revision.era < era())
        return false;
    if (!isSameEra(changes->revision)) {
        m_fullReadDone = false;
        return true;
    }
    applyChanges(changes->items, changes->revision);
    const bool hasChanges = !changes->items.empty() || changes->unusedItems > 0;
    const Instant confirmedAt = confirmedAtOf(hasChanges, start, wait);
    confirmTable(confirmedAt);
    recordSuccess(confirmedAt);
    if (const Instant elapsed = now() - start; elapsed < MinPollInterval)
        sleepFor(std::chrono::duration_cast<milliseconds>(MinPollInterval - elapsed), fiber);
    return true;
}

void StoreWatcher::applyItem(const PublishedItem &item, std::uint64_t era, Instant time)
{
    const platform::ItemKey key = platform::parseItemKey(item.key);
    switch (key.kind) {
    case platform::ItemKey::Kind::Table:
        if (!item.deleted)
            m_handlers.onTable(item.value);
        break;
    case platform::ItemKey::Kind::ZoneOutOfService:
        if (m_state.catalog.isZoneOutOfService(key.name) == item.deleted)
            log(LogLevel::Info, item.deleted ? "zone-back" : "zone-out", {{"zone", std::string(key.name)}});
        m_state.catalog.setZoneOutOfService(key.name, !item.deleted);
        break;
    case platform::ItemKey::Kind::Upstream:
        applyUpstreamEntry(key.name, item, era, time);
        break;
    case platform::ItemKey::Kind::Other:
        break;
    }
}

void StoreWatcher::applyUpstreamEntry(std::string_view id, const PublishedItem &item, std::uint64_t era,
                                      Instant time)
{
    ValidationErrors errors;
    auto entry = item.deleted ? std::nullopt : platform::parseUpstreamEntry(id, item.value, errors);
    log(LogLevel::Info, "upstream-entry",
        {{"upstream", std::string(id)},
         {"state", item.deleted     ? "gone"
                   : !entry         ? "unreadable"
                   : entry->leaving ? "leaving"
                                    : "live"},
         {"coldMs", static_cast<std::int64_t>(entry ? entry->coldRemaining.count() : 0)},
         {"reason", errorText(errors)},
         {"revision", static_cast<std::int64_t>(item.revision)}});
    if (!entry) {
        m_state.catalog.removeUpstream(id, {era, item.revision}, time);
        return;
    }
    const UpstreamRecord *known = m_state.catalog.find(id);
    const bool isElsewhere = known == nullptr || known->entry.address != entry->address
                             || known->entry.startUnixMs != entry->startUnixMs;
    // What was seen elsewhere says nothing about the upstream there.
    if (isElsewhere)
        m_state.outlierDetector.forgive(id);
    m_state.catalog.updateUpstream(std::move(*entry), {era, item.revision}, time);
}

} // namespace chestnutsill
