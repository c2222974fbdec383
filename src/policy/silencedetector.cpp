#include "chestnutsill/policy/silencedetector.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Silence that raises a suspicion, as a multiple of the largest recent pause. It also limits how fast one
/// pause raises that value.
constexpr int SilenceFactor = 2;
/// Time until the first byte of a response that raises no suspicion, as a multiple of the expected one.
constexpr int FirstByteFactor = 2;
constexpr std::chrono::seconds PauseHalfLife{5};
/// Lateness of a check above which this process is taken to have been stopped or overloaded meanwhile.
constexpr milliseconds MaxCheckDelay{100};
/// Time after which the record of an upstream without requests in progress is dropped.
constexpr std::chrono::seconds RecordLifetime{60};

} // namespace

Instant SilenceDetector::usualPauseOf(const Record &record, Instant now)
{
    const auto age = static_cast<double>((now - record.usualPauseAt).count());
    const auto halfLife = static_cast<double>(Instant(PauseHalfLife).count());
    return Instant(std::llround(static_cast<double>(record.usualPause.count()) * std::exp2(-age / halfLife)));
}

Instant SilenceDetector::maxSilence(const Record &record, Instant now)
{
    return std::max<Instant>(MinSilence, SilenceFactor * usualPauseOf(record, now));
}

bool SilenceDetector::isOverdue(const Record &record, Instant now)
{
    if (record.inProgress == 0 || now - record.silentSince <= maxSilence(record, now))
        return false;
    // Streams that have begun continue while other prompts are prefilled.
    return record.begun > 0 || now > record.busyUntil;
}

void SilenceDetector::recordSend(std::string_view upstream, Instant expectedFirstByte, Instant now)
{
    Record &record = m_records[std::string(upstream)];
    if (record.inProgress++ == 0)
        record.silentSince = now;
    // Requests that are sent into a silence don't excuse it.
    if (now - record.silentSince <= MinSilence)
        record.busyUntil = std::max(record.busyUntil, now + FirstByteFactor * expectedFirstByte);
}

void SilenceDetector::recordBytes(std::string_view upstream, Instant now)
{
    Record &record = m_records[std::string(upstream)];
    if (record.inProgress > 0) {
        const Instant pause = std::min(now - record.silentSince, SilenceFactor * maxSilence(record, now));
        record.usualPause = std::max(usualPauseOf(record, now), pause);
        record.usualPauseAt = now;
    }
    record.silentSince = now;
    record.heardAt = now;
    if (record.suspectedByPeer)
        record.peerRefutedAt = now;
    endSuspicion(record);
}

void SilenceDetector::recordFirstBytes(std::string_view upstream)
{
    ++m_records[std::string(upstream)].begun;
}

void SilenceDetector::recordEnd(std::string_view upstream, bool begun)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return;
    Record &record = found->second;
    --record.inProgress;
    record.begun -= begun ? 1 : 0;
}

void SilenceDetector::suspect(std::string_view upstream, Instant now)
{
    Record &record = m_records[std::string(upstream)];
    if (record.inProgress == 0)
        record.silentSince = now;
    record.suspected = true;
}

void SilenceDetector::recordPeerReport(std::string_view upstream, Instant now)
{
    Record &record = m_records[std::string(upstream)];
    const bool isHeard = record.heardAt != Instant{} && now - record.heardAt <= MinSilence;
    const bool wasRefuted = record.peerRefutedAt && now - *record.peerRefutedAt <= ReportQuietTime;
    if (record.suspected || isHeard || wasRefuted)
        return;
    suspect(upstream, now);
    record.suspectedByPeer = true;
}

void SilenceDetector::recordUnanswered(std::string_view upstream)
{
    if (const auto found = m_records.find(upstream); found != m_records.end() && found->second.suspected)
        found->second.unanswered = true;
}

void SilenceDetector::dismiss(std::string_view upstream)
{
    if (const auto found = m_records.find(upstream); found != m_records.end())
        endSuspicion(found->second);
}

void SilenceDetector::endSuspicion(Record &record)
{
    record.suspected = false;
    record.suspectedByPeer = false;
    record.unanswered = false;
}

std::vector<std::string> SilenceDetector::detect(Instant now)
{
    const Instant delay = now - m_checkedAt - CheckPeriod;
    const Instant stopped = m_checkedAt != Instant{} && delay > MaxCheckDelay ? delay : Instant{};
    m_checkedAt = now;
    std::erase_if(m_records, [&](const auto &item) {
        const Record &record = item.second;
        return record.inProgress == 0 && !record.suspected && !record.verifying
               && now - record.silentSince > RecordLifetime;
    });
    std::vector<std::string> unverified;
    for (auto &[upstream, record] : m_records) {
        record.silentSince = std::min(record.silentSince + stopped, now);
        record.suspected = record.suspected || isOverdue(record, now);
        if (record.suspected && !record.verifying) {
            record.verifying = true;
            unverified.push_back(upstream);
        }
    }
    return unverified;
}

void SilenceDetector::endVerification(std::string_view upstream)
{
    if (const auto found = m_records.find(upstream); found != m_records.end())
        found->second.verifying = false;
}

bool SilenceDetector::isSuspected(std::string_view upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.suspected;
}

bool SilenceDetector::isSilent(std::string_view upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.unanswered;
}

Instant SilenceDetector::heardAt(std::string_view upstream) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? Instant{} : found->second.heardAt;
}

std::vector<std::string_view> SilenceDetector::silentUpstreams() const
{
    std::vector<std::string_view> silent;
    for (const auto &[upstream, record] : m_records) {
        if (record.unanswered)
            silent.emplace_back(upstream);
    }
    return silent;
}

Instant SilenceDetector::silence(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() || found->second.inProgress == 0 ? Instant{}
                                                                     : now - found->second.silentSince;
}

} // namespace chestnutsill
