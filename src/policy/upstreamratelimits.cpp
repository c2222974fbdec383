#include "chestnutsill/policy/upstreamratelimits.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

bool UpstreamRateLimits::recordNamed(std::string_view upstream, double perSecond, Instant now)
{
    const auto [found, isNew] = m_records.try_emplace(stableHash(upstream));
    Record &record = found->second;
    const bool hasChanged = isNew || !record.isLimited() || record.perSecond != perSecond;
    record.perSecond = perSecond;
    record.namedAt = now;
    return hasChanged;
}

bool UpstreamRateLimits::recordUnnamed(std::string_view upstream, Instant sentAt)
{
    const auto found = m_records.find(stableHash(upstream));
    if (found == m_records.end())
        return false;
    Record &record = found->second;
    const bool wasLimited = record.isLimited();
    record.endedAt = std::max(record.endedAt.value_or(sentAt), sentAt);
    return wasLimited && !record.isLimited();
}

void UpstreamRateLimits::merge(const RateLimitNotice &notice, std::optional<Instant> earliestSentAt,
                               Instant now)
{
    const Instant namedAt = now - notice.namedAge;
    const auto [found, isNew] = m_records.try_emplace(notice.upstream);
    Record &record = found->second;
    const Instant knownAt = std::max(record.namedAt, record.endedAt.value_or(record.namedAt));
    if (isNew || namedAt > knownAt + NoticeMargin) {
        record.perSecond = notice.perSecond;
        record.namedAt = namedAt;
    }
    if (!notice.endedAge || !earliestSentAt)
        return;
    const Instant endedAt = *earliestSentAt - *notice.endedAge;
    record.endedAt = std::max(record.endedAt.value_or(endedAt), endedAt);
}

std::optional<double> UpstreamRateLimits::perSecond(std::string_view upstream) const
{
    return m_records.empty() ? std::nullopt : perSecond(stableHash(upstream));
}

std::optional<double> UpstreamRateLimits::perSecond(std::uint64_t upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.isLimited() ? std::optional(found->second.perSecond)
                                                                 : std::nullopt;
}

void UpstreamRateLimits::recordDenied(std::string_view upstream, Instant until)
{
    if (const auto found = m_records.find(stableHash(upstream)); found != m_records.end())
        found->second.nextPermitAt = until;
}

Instant UpstreamRateLimits::nextPermitAt(std::string_view upstream) const
{
    const auto found = m_records.find(stableHash(upstream));
    return found == m_records.end() ? Instant{} : found->second.nextPermitAt;
}

std::vector<RateLimitNotice> UpstreamRateLimits::notices(std::uint64_t round, Instant now) const
{
    const auto ageOf = [&](Instant at) {
        return std::chrono::duration_cast<milliseconds>(std::max(now - at, Instant{}));
    };
    std::vector<RateLimitNotice> notices;
    notices.reserve(m_records.size());
    for (const auto &[upstream, record] : m_records) {
        notices.push_back({upstream, record.perSecond, ageOf(record.namedAt),
                           record.endedAt ? std::optional(
                               std::chrono::ceil<milliseconds>(std::max(now - *record.endedAt, Instant{})))
                                          : std::nullopt});
    }
    if (notices.size() <= MaxNotices)
        return notices;
    std::sort(notices.begin(), notices.end(),
              [](const auto &a, const auto &b) { return a.upstream < b.upstream; });
    std::rotate(notices.begin(),
                notices.begin() + static_cast<std::ptrdiff_t>(round * MaxNotices % notices.size()),
                notices.end());
    notices.resize(MaxNotices);
    return notices;
}

void UpstreamRateLimits::expire(std::span<const std::uint64_t> published, Instant now)
{
    std::erase_if(m_records, [&](const auto &item) {
        const auto &[upstream, record] = item;
        if (now - std::max(record.namedAt, record.endedAt.value_or(record.namedAt)) <= RecordLifetime)
            return false;
        return !record.isLimited()
               || std::find(published.begin(), published.end(), upstream) == published.end();
    });
}

} // namespace chestnutsill
