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

std::string faultText(const Faults &faults)
{
    return faults.empty() ? std::string() : faults[0].path + ' ' + faults[0].message;
}

} // namespace

StoreWatch::StoreWatch(std::string address, milliseconds wait, RouterState &state, TableHandler onTable)
    : m_client(std::move(address))
    , m_wait(wait)
    , m_state(state)
    , m_onTable(std::move(onTable))
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
        if (m_complete ? follow(fiber) : readAll(fiber)) {
            noteSuccess();
        } else {
            noteFailure();
            sleepFor(retryPause(), fiber);
        }
    }
}

void StoreWatch::noteSuccess()
{
    if (m_reachable)
        return;
    m_reachable = true;
    m_state.catalog.storeRegained(now());
    log(LogLevel::Info, "store-regained", {{"revision", static_cast<std::int64_t>(m_at)}});
}

void StoreWatch::noteFailure()
{
    if (m_client.lastFailure() == platform::StoreFailure::HistoryGone) {
        m_complete = false;
        log(LogLevel::Info, "store-history-gone", {{"revision", static_cast<std::int64_t>(m_at)}});
        return;
    }
    if (m_reachable)
        log(LogLevel::Warning, "store-lost", {{"reason", m_client.lastReason()}});
    m_reachable = false;
    m_state.catalog.storeLost();
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
        for (const platform::StoreItem &item : page->items) {
            seen.insert(item.key);
            apply(item, now());
        }
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    withdrawMissing(seen, firstAt, now());
    // Pages are no snapshot, so changes since the first one are read again.
    m_at = firstAt;
    m_complete = true;
    confirm(start);
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

bool StoreWatch::follow(const Fiber &fiber)
{
    const Instant start = now();
    const auto changes = m_client.watch(AllItems, m_at, m_wait, m_wait + AnswerTimeout, fiber);
    if (!changes)
        return false;
    for (const platform::StoreItem &item : changes->items)
        apply(item, now());
    m_at = std::max(m_at, changes->at);
    // An empty answer comes after the whole wait, at the end of which nothing had changed.
    const bool waited = changes->items.empty() && now() - start >= m_wait;
    confirm(waited ? start + m_wait : start);
    return true;
}

void StoreWatch::apply(const platform::StoreItem &item, Instant time)
{
    const platform::ItemName name = platform::nameOf(item.key);
    Faults faults;
    switch (name.kind) {
    case platform::ItemName::Kind::Table:
        if (!item.deleted)
            m_onTable(item.value);
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
