#include "chestnutsill/policy/hedging.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace chestnutsill {

namespace {

using KeyView = std::pair<std::string_view, std::string_view>;

template<typename Map>
auto find(Map &map, std::string_view first, std::string_view second)
{
    return map.find(KeyView(first, second));
}

template<typename Map>
auto &findOrAdd(Map &map, std::string_view first, std::string_view second)
{
    const auto found = find(map, first, second);
    if (found != map.end())
        return found->second;
    return map.try_emplace({std::string(first), std::string(second)}).first->second;
}

template<typename Map>
auto &findOrAdd(Map &map, std::string_view key)
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map.try_emplace(std::string(key)).first->second;
}

float toMs(Instant time)
{
    return std::chrono::duration<float, std::milli>(time).count();
}

Instant fromMs(double ms)
{
    return std::chrono::duration_cast<Instant>(std::chrono::duration<double, std::milli>(ms));
}

/// The value at a quantile of a sorted, non-empty series.
double valueAt(const std::vector<float> &sorted, double quantile)
{
    const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    return sorted[std::clamp<std::size_t>(static_cast<std::size_t>(rank), 1, sorted.size()) - 1];
}

constexpr double Median = 0.5;

} // namespace

std::string_view toString(HedgeDenial reason) noexcept
{
    switch (reason) {
    case HedgeDenial::Limit:
        return "limit";
    case HedgeDenial::Busy:
        return "busy";
    case HedgeDenial::SlowService:
        return "slow-service";
    }
    return "unknown";
}

void Hedging::Series::add(float value, std::size_t capacity, Instant now)
{
    if (values.size() < capacity)
        values.emplace_back(now, value);
    else
        values[next] = {now, value};
    next = (next + 1) % capacity;
    latest = now;
}

std::vector<float> Hedging::Series::since(Instant start) const
{
    std::vector<float> found;
    found.reserve(values.size());
    for (const auto &[at, value] : values) {
        if (at >= start)
            found.push_back(value);
    }
    return found;
}

void Hedging::recordRequest(std::string_view service, std::string_view account)
{
    if (m_ratio <= 0)
        return;
    double &earned = findOrAdd(m_earned, service, account);
    earned = std::min(earned + m_ratio, MaxSaved);
}

std::vector<float> Hedging::samples(std::string_view route, std::string_view upstream, Instant now) const
{
    const auto found = find(m_times, route, upstream);
    if (found == m_times.end())
        return {};
    auto times = found->second.since(now - SampleLifetime);
    std::sort(times.begin(), times.end());
    return times;
}

std::optional<double> Hedging::quantileMs(std::string_view route, std::string_view upstream,
                                          std::size_t minSamples, Instant now) const
{
    const auto times = samples(route, upstream, now);
    if (times.size() < minSamples)
        return std::nullopt;
    return valueAt(times, std::max(1 - AimedShare * m_ratio, MinQuantile));
}

void Hedging::dropExpired(Instant now)
{
    if (now - m_droppedAt < SampleLifetime)
        return;
    m_droppedAt = now;
    const auto isExpired = [&](const auto &item) { return now - item.second.latest > SampleLifetime; };
    std::erase_if(m_times, isExpired);
    std::erase_if(m_recentByUpstream, isExpired);
    std::erase_if(m_recentByService, isExpired);
}

void Hedging::addSample(const AttemptPlace &place, Instant elapsed, Instant now)
{
    dropExpired(now);
    const float ms = toMs(elapsed);
    if (const auto times = samples(place.route, {}, now); times.size() >= MinRouteSamples) {
        const double slowMs = valueAt(times, std::max(1 - AimedShare * m_ratio, MinQuantile));
        const auto multiple = static_cast<float>(ms / std::max(valueAt(times, Median), 1e-3));
        const float recent = ms > slowMs ? -multiple : multiple;
        findOrAdd(m_recentByService, place.service).add(recent, ServiceRecent, now);
        findOrAdd(m_recentByUpstream, place.upstream).add(recent, UpstreamRecent, now);
    }
    if (!isSlow(place, now))
        findOrAdd(m_times, place.route, {}).add(ms, RouteSamples, now);
    findOrAdd(m_times, place.route, place.upstream).add(ms, UpstreamSamples, now);
}

void Hedging::recordAnswer(const AttemptPlace &place, Instant elapsed, Instant now)
{
    if (m_ratio > 0)
        addSample(place, elapsed, now);
}

void Hedging::recordUnanswered(const AttemptPlace &place, Instant elapsed, Instant now)
{
    const auto learnt = m_ratio > 0 ? delay(place, now) : std::nullopt;
    if (learnt && elapsed >= *learnt)
        addSample(place, elapsed, now);
}

void Hedging::recordOverdueEnded(std::string_view service)
{
    const auto found = m_overdue.find(service);
    if (found != m_overdue.end() && --found->second == 0)
        m_overdue.erase(found);
}

std::optional<Instant> Hedging::delay(const AttemptPlace &place, Instant now) const
{
    const auto ofRoute = quantileMs(place.route, {}, MinRouteSamples, now);
    if (m_ratio <= 0 || !ofRoute)
        return std::nullopt;
    if (isSlow(place, now))
        return std::max<Instant>(fromMs(*ofRoute), MinDelay);
    const auto ofUpstream = quantileMs(place.route, place.upstream, MinUpstreamSamples, now);
    return std::max<Instant>(fromMs(std::min(ofUpstream.value_or(*ofRoute), *ofRoute)), MinDelay);
}

bool Hedging::areSlow(const RecentAnswers &answers, std::size_t overdue, std::size_t minimum, Instant now)
{
    auto multiples = answers.since(now - RecentTime);
    const auto slow = overdue
                      + static_cast<std::size_t>(std::count_if(multiples.begin(), multiples.end(),
                                                               [](float multiple) { return multiple < 0; }));
    const std::size_t total = multiples.size() + overdue;
    if (total < minimum)
        return false;
    if (2 * slow > total)
        return true;
    for (float &multiple : multiples)
        multiple = std::abs(multiple);
    std::sort(multiples.begin(), multiples.end());
    return valueAt(multiples, Median) > SlowFactor;
}

bool Hedging::isSlow(const AttemptPlace &place, Instant now) const
{
    const auto recent = m_recentByUpstream.find(place.upstream);
    if (recent != m_recentByUpstream.end() && areSlow(recent->second, 0, MinUpstreamRecent, now))
        return true;
    const auto ofUpstream = samples(place.route, place.upstream, now);
    const auto ofRoute = samples(place.route, {}, now);
    return ofUpstream.size() >= MinMedianSamples && ofRoute.size() >= MinRouteSamples
           && valueAt(ofUpstream, Median) > SlowFactor * valueAt(ofRoute, Median);
}

std::optional<HedgeDenial> Hedging::denial(std::string_view service, std::string_view account,
                                           const ServiceUse &use, bool isEarly, Instant now) const
{
    if (use.slots > 0 && use.running > MaxUse * use.slots)
        return HedgeDenial::Busy;
    const auto overdue = m_overdue.find(service);
    const auto recent = m_recentByService.find(service);
    if (recent != m_recentByService.end()
        && areSlow(recent->second, overdue == m_overdue.end() ? 0 : overdue->second, MinServiceRecent, now))
        return HedgeDenial::SlowService;
    const auto earned = find(m_earned, service, account);
    if (earned == m_earned.end() || earned->second < (isEarly ? 1 + EarlyReserve : 1))
        return HedgeDenial::Limit;
    return std::nullopt;
}

bool Hedging::tryAcquire(std::string_view service, std::string_view account)
{
    const auto earned = find(m_earned, service, account);
    if (earned == m_earned.end() || earned->second < 1)
        return false;
    earned->second -= 1;
    return true;
}

} // namespace chestnutsill
