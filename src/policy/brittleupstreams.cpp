#include "chestnutsill/policy/brittleupstreams.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Time without any response that names the state, after which it is forgotten.
constexpr std::chrono::seconds RecordLifetime{60};
/// Instances for each slot above which most have nothing to send, so that none waits for its turn while few
/// requests are running.
constexpr double ManyInstances = 6;
constexpr int FewRunning = 4;
/// Rejections a second that the instances may cause by beginning requests at the same time.
constexpr double SpareFraction = 0.25;

} // namespace

bool BrittleUpstreams::recordNamed(const std::string &service, double rejectionsPerSecond, Instant now)
{
    const auto [found, isNew] = m_services.try_emplace(service);
    const bool isNews = isNew || found->second.rejectionsPerSecond != rejectionsPerSecond;
    found->second = {rejectionsPerSecond, now};
    return isNews;
}

void BrittleUpstreams::recordUnnamed(const std::string &service, const std::string &upstream, Instant sentAt)
{
    if (!m_services.contains(service))
        return;
    Instant &unnamedAt = m_upstreams[upstream].unnamedAt;
    unnamedAt = std::max(unnamedAt, sentAt);
}

bool BrittleUpstreams::isBrittle(std::string_view service, std::string_view upstream) const
{
    const auto statement = m_services.find(service);
    if (statement == m_services.end())
        return false;
    const auto record = m_upstreams.find(upstream);
    return record == m_upstreams.end() || record->second.unnamedAt <= statement->second.namedAt;
}

void BrittleUpstreams::recordRejected(const std::string &service, const std::string &upstream,
                                      std::size_t instances, Instant now)
{
    if (!isBrittle(service, upstream))
        return;
    constexpr double MsPerSecond = 1000;
    const double allowed =
        std::max(m_services.find(service)->second.rejectionsPerSecond * UsedFraction, 0.01);
    const auto backoff = milliseconds(std::llround(std::min(
        MsPerSecond * static_cast<double>(instances) / allowed, static_cast<double>(MaxBackoff.count()))));
    Instant &until = m_upstreams[upstream].rejectedUntil;
    until = std::max<Instant>(until, now + std::max(backoff, MinBackoff));
}

bool BrittleUpstreams::mayBegin(std::string_view service, std::string_view upstream, const UpstreamRoom &room,
                                std::string_view own, std::size_t instances, Instant now) const
{
    const auto statement = m_services.find(service);
    const auto record = m_upstreams.find(upstream);
    if (statement == m_services.end())
        return true;
    if ((record != m_upstreams.end() && now < record->second.rejectedUntil) || room.running >= room.slots)
        return false;
    const auto count = std::max<double>(1, static_cast<double>(instances));
    if (room.ownRunning >= std::max(1.0, std::floor(room.slots / count)))
        return false;
    if (count > ManyInstances * room.slots && FewRunning * room.running <= room.slots)
        return true;
    const double free = room.slots - room.running + SpareFraction * statement->second.rejectionsPerSecond;
    constexpr std::uint64_t Steps = 1 << 20;
    const auto epoch = static_cast<std::uint64_t>(now / Instant(Epoch));
    const std::uint64_t draw = stableHash(own, stableHash(upstream, epoch)) % Steps;
    return static_cast<double>(draw) * count < free * static_cast<double>(Steps);
}

void BrittleUpstreams::expire(Instant now)
{
    std::erase_if(m_services, [&](const auto &item) { return now - item.second.namedAt > RecordLifetime; });
    if (m_services.empty())
        m_upstreams.clear();
}

} // namespace chestnutsill
