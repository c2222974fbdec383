#include "chestnutsill/policy/upstreamspeeds.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chestnutsill {

namespace {

/// Standard deviation of the logarithm of one sample that the weights refer to. Samples of a kind that
/// scatters more count less.
constexpr double SampleDeviation = 0.3;
/// Number of standard errors by which a speed has to differ from 1.
constexpr double ErrorsToDiffer = 2.5;
/// Standard error due to slow spells if an upstream has been known for a millisecond. It falls with that
/// time, and faster than with its root, because the median over a longer time leaves short spells out. Spells
/// of a second in 15 % of the time, by a factor of 2.5, have a standard deviation of a third, of which the
/// median of two or three seconds takes out a part.
constexpr double SpellDeviationMs = 200;
/// Time for which an upstream must be known before its speed is used: longer than most spells.
constexpr milliseconds MinKnownTime{1500};
/// Samples farther from their median than this count as if they were this far, which bounds the effect of
/// stragglers and wrong reports.
constexpr double MaxDistance = 0.35;
/// Largest deviation of one sample or report.
constexpr double MaxDeviation = 1;
/// Own samples of each upstream that are kept of one second. Later ones of the second replace them, so that
/// with many samples too, those of a whole memory time are compared.
constexpr std::size_t SamplesPerSecond = 4;
/// Largest number of upstreams whose samples make up a baseline, and the age up to which they do.
constexpr std::size_t MaxBaselineUpstreams = 64;
constexpr seconds MaxBaselineAge{20};
/// Number of upstreams, counted by all instances, from which on a baseline is used.
constexpr double MinBaselineSamples = 3;
/// Number of upstreams from which on the scatter of the samples of a kind is judged.
constexpr std::size_t MinScatterUpstreams = 8;
/// Largest number of baselines that peers may bring about, and the largest logarithm of a time in one.
constexpr std::size_t MaxBaselines = 64;
constexpr double MaxLogTime = 12;
/// Part of the samples of a report that others must have if it is sent to a peer that contributed the rest.
constexpr double MinShareOfOthers = 0.05;
/// Weight of a sample of a few gaps: those of one stream often share their disturbances.
constexpr double GapWeight = 0.75;
/// Smallest weight of a sample whose kind scatters widely, relative to that of others.
constexpr double MinPrecision = 0.1;
/// Time after which an incomplete group of gaps is discarded.
constexpr seconds MaxGapAge{2};
/// Shortest and longest gap that is taken for one between tokens.
constexpr milliseconds MinGap{1};
constexpr seconds MaxGap{10};
/// Range of the time to the first token per prompt token, in milliseconds.
constexpr double MinMsPerToken = 1e-4;
constexpr double MaxMsPerToken = 10;
/// Number of running requests that doubles the duration of a step if the load has its full effect.
constexpr double RunningToDouble = 30;
/// Exponent of the effect of the load on the gap that is assumed at first, the weight of this assumption as a
/// sum of squares, and the range.
constexpr double InitialLoadExponent = 0.5;
constexpr double InitialLoadSquares = 2;
constexpr double MaxLoadExponent = 1.5;
/// Smoothing of the means from which deviations are taken for the effect of the load.
constexpr double MeanSmoothing = 0.1;
/// Decay of the sums for the effect of the load with each sample.
constexpr double LoadEffectDecay = 0.998;
/// Number of samples from which on the estimate of an upstream counts for the median of its service, and the
/// smallest number of such upstreams.
constexpr double MinCentreSamples = 1;
constexpr std::size_t MinCentreUpstreams = 3;
/// No report of a single instance counts more than this multiple of their median, or this part of all but the
/// largest, whichever is more.
constexpr double MaxReportRatio = 2;
constexpr double MaxReportShare = 0.15;
/// Ratio of the scatter of reports to the expected one above which it increases the standard error.
constexpr double MaxScatterRatio = 2;
/// Changes since a report was last sent that make it worth sending: of the logarithm, and of the number of
/// samples as a factor, beyond its decay, which the receiver takes into account.
constexpr double NoticeableDifference = 0.08;
constexpr double NoticeableRatio = 1.5;
/// Reports with fewer samples are not sent.
constexpr double MinReportedSamples = 0.1;
/// Number of times that a change is sent again, because heartbeats can be lost.
constexpr int Repeats = 1;
/// Steps of the reported weight for each doubling of the number of samples, and the number that the scale
/// begins with.
constexpr double WeightStepsPerDoubling = 16;
constexpr double SmallestSamples = 0.05;
/// Age of the last update after which no speed is used: several rounds of heartbeats.
constexpr seconds MaxUpdateAge{5};

double toMs(Instant time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double decay(Instant age)
{
    constexpr double MemoryMs = std::chrono::duration<double, std::milli>(UpstreamSpeeds::MemoryTime).count();
    return std::exp(-toMs(std::max(age, Instant{})) / MemoryMs);
}

double medianOf(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const std::size_t middle = values.size() / 2;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(middle), values.end());
    if (values.size() % 2 == 1)
        return values[middle];
    const double below =
        *std::max_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(middle));
    return (below + values[middle]) / 2;
}

struct Weighted
{
    double value = 0;
    double weight = 0;
};

double weightOf(std::span<const Weighted> parts)
{
    double sum = 0;
    for (const Weighted &part : parts)
        sum += part.weight;
    return sum;
}

/// The value that half of the weight is below; the mean of two that share the middle.
double weightedMedian(std::vector<Weighted> parts)
{
    std::sort(parts.begin(), parts.end(),
              [](const Weighted &a, const Weighted &b) { return a.value < b.value; });
    const double half = weightOf(parts) / 2;
    double below = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        below += parts[i].weight;
        if (below > half)
            return parts[i].value;
        if (below == half && i + 1 < parts.size())
            return (parts[i].value + parts[i + 1].value) / 2;
    }
    return parts.empty() ? 0 : parts.back().value;
}

/// Mean with values far from the median limited to `MaxDistance` from it.
double robustMean(std::span<const Weighted> parts)
{
    const double median = weightedMedian({parts.begin(), parts.end()});
    double sum = 0;
    for (const Weighted &part : parts)
        sum += part.weight * std::clamp(part.value, median - MaxDistance, median + MaxDistance);
    const double weight = weightOf(parts);
    return weight > 0 ? sum / weight : 0;
}

/// Limits the weights of reports of single instances, so that none decides alone.
void limitWeights(std::vector<Weighted> &parts)
{
    if (parts.size() < 2)
        return;
    std::vector<double> weights;
    weights.reserve(parts.size());
    for (const Weighted &part : parts)
        weights.push_back(part.weight);
    std::sort(weights.begin(), weights.end());
    // Of two, the smaller one is the measure.
    const double median = weights[(weights.size() - 1) / 2];
    const double maxWeight =
        std::max(MaxReportShare * (weightOf(parts) - weights.back()), MaxReportRatio * median);
    for (Weighted &part : parts)
        part.weight = std::min(part.weight, maxWeight);
}

/// Ratio of the scatter of values about their mean to that which their weights let expect; 1 for fewer than
/// two.
double scatterRatio(std::span<const Weighted> parts, double mean)
{
    if (parts.size() < 2)
        return 1;
    double squares = 0;
    for (const Weighted &part : parts)
        squares += part.weight * (part.value - mean) * (part.value - mean);
    return std::sqrt(squares / static_cast<double>(parts.size() - 1)) / SampleDeviation;
}

/// Measure of the number of running requests to which the gap is proportional if they have their full effect,
/// as a logarithm.
double loadOf(int running)
{
    return std::log1p(std::max(running, 0) / RunningToDouble);
}

std::int16_t toSteps(double logValue)
{
    constexpr double Max = std::numeric_limits<std::int16_t>::max();
    return static_cast<std::int16_t>(std::clamp(std::round(logValue / UpstreamSpeeds::LogStep), -Max, Max));
}

std::span<const SpeedReport> firstOf(std::span<const SpeedReport> reports, std::size_t max)
{
    return reports.first(std::min(reports.size(), max));
}

/// Standard error of the logarithm of a speed that rests on so many samples, of which the first was taken so
/// long ago.
double errorOf(double samples, Instant knownFor)
{
    constexpr double SmallestMs = 1;
    const double ofSamples = SampleDeviation / std::sqrt(std::max(samples, SmallestSamples));
    const double ofSpells = SpellDeviationMs / std::max(toMs(knownFor), SmallestMs);
    return std::hypot(ofSamples, ofSpells);
}

} // namespace

double UpstreamSpeeds::toSamples(std::uint8_t weight) noexcept
{
    return weight == 0 ? 0 : SmallestSamples * std::exp2((weight - 1) / WeightStepsPerDoubling);
}

std::uint8_t UpstreamSpeeds::toWeight(double samples) noexcept
{
    if (!(samples >= SmallestSamples))
        return 0;
    const double steps = std::round(std::log2(samples / SmallestSamples) * WeightStepsPerDoubling) + 1;
    return static_cast<std::uint8_t>(std::min<double>(steps, std::numeric_limits<std::uint8_t>::max()));
}

std::uint64_t UpstreamSpeeds::keyOf(const SpeedSubject &subject) noexcept
{
    return stableHash(subject.upstream, static_cast<std::uint64_t>(subject.startUnixMs));
}

void UpstreamSpeeds::setEnabled(bool enabled)
{
    m_enabled = enabled;
    if (enabled)
        return;
    m_records.clear();
    m_baselines.clear();
    m_loadEffects.clear();
    m_current.clear();
}

bool UpstreamSpeeds::recordFirstToken(const SpeedSubject &subject, double tokens, Instant elapsed,
                                      Instant now)
{
    if (!m_enabled || tokens < MinTokens)
        return false;
    const double msPerToken = toMs(elapsed) / tokens;
    if (msPerToken < MinMsPerToken || msPerToken > MaxMsPerToken)
        return false;
    addSample(stableHash(subject.service), keyOf(subject), std::log(msPerToken), 1, now);
    return true;
}

bool UpstreamSpeeds::recordGap(const SpeedSubject &subject, std::string_view route, int running, Instant gap,
                               Instant now)
{
    if (!m_enabled || gap < MinGap || gap > MaxGap)
        return false;
    const std::uint64_t key = keyOf(subject);
    Record &record = m_records[key];
    std::erase_if(record.gaps, [&](const GapGroup &group) { return now - group.at > MaxGapAge; });
    const std::uint64_t routeHash = stableHash(route);
    auto group = std::find_if(record.gaps.begin(), record.gaps.end(),
                              [&](const GapGroup &known) { return known.route == routeHash; });
    if (group == record.gaps.end())
        group = record.gaps.insert(record.gaps.end(), GapGroup{.route = routeHash});
    group->at = now;
    group->logGaps[group->count++] = std::log(toMs(gap));
    group->loadSum += loadOf(running);
    if (group->count < GapsPerSample)
        return false;
    const double logGap = medianOf({group->logGaps.begin(), group->logGaps.end()});
    const double load = group->loadSum / static_cast<double>(GapsPerSample);
    record.gaps.erase(group);
    LoadEffect &effect = m_loadEffects.try_emplace(std::string(subject.service)).first->second;
    const double exponent = std::clamp((effect.products + InitialLoadExponent * InitialLoadSquares)
                                           / (effect.squares + InitialLoadSquares),
                                       0.0, MaxLoadExponent);
    learnLoadEffect(effect, record, load, logGap);
    addSample(stableHash(route, stableHash(subject.service)), key, logGap - exponent * load, GapWeight, now);
    return true;
}

void UpstreamSpeeds::learnLoadEffect(LoadEffect &effect, Record &record, double load, double logGap)
{
    const bool isFirst = record.gapSamples++ == 0;
    const double loadDifference = isFirst ? 0 : load - record.meanLoad;
    const double gapDifference =
        isFirst ? 0 : std::clamp(logGap - record.meanLogGap, -MaxDeviation, MaxDeviation);
    effect.products = effect.products * LoadEffectDecay + loadDifference * gapDifference;
    effect.squares = effect.squares * LoadEffectDecay + loadDifference * loadDifference;
    const double step = std::max(1.0 / record.gapSamples, MeanSmoothing);
    record.meanLoad = isFirst ? load : record.meanLoad + step * loadDifference;
    record.meanLogGap = isFirst ? logGap : record.meanLogGap + step * gapDifference;
}

void UpstreamSpeeds::addSample(std::uint64_t kind, std::uint64_t upstream, double logTime, double weight,
                               Instant now)
{
    Record &record = m_records[upstream];
    addToBaseline(m_baselines[kind], upstream, logTime, record.speed.all.logValue, now);
    addOwnSample(record, {now, kind, logTime, weight});
    if (!record.knownSince)
        record.knownSince = now;
}

void UpstreamSpeeds::addToBaseline(Baseline &baseline, std::uint64_t upstream, double logTime,
                                   double logSpeed, Instant now)
{
    auto entry = std::find_if(baseline.entries.begin(), baseline.entries.end(),
                              [&](const auto &known) { return known.upstream == upstream; });
    if (entry != baseline.entries.end()) {
        entry->logTime = (entry->logTime + logTime) / 2;
    } else {
        if (baseline.entries.size() >= MaxBaselineUpstreams)
            baseline.entries.erase(
                std::min_element(baseline.entries.begin(), baseline.entries.end(),
                                 [](const auto &one, const auto &other) { return one.at < other.at; }));
        entry = baseline.entries.insert(baseline.entries.end(), {upstream, logTime, 0, now});
    }
    entry->at = now;
    // The scatter is that about the speed of each upstream, so that it doesn't grow with their differences.
    entry->distance = baseline.logTime.all.samples >= MinBaselineSamples
                          ? std::abs(logTime + logSpeed - baseline.logTime.all.logValue)
                          : 0;
}

void UpstreamSpeeds::addOwnSample(Record &record, const Sample &sample)
{
    const auto secondOf = [](const Sample &other) { return std::chrono::floor<seconds>(other.at); };
    std::erase_if(record.samples, [&](const Sample &other) { return sample.at - other.at > MaxAge; });
    // Samples are in the order of their arrival, so that those of the latest second are the last ones.
    if (record.samples.empty() || secondOf(record.samples.back()) != secondOf(sample))
        record.samplesOfSecond = 0;
    if (record.samplesOfSecond++ < SamplesPerSecond) {
        record.samples.push_back(sample);
        return;
    }
    const std::size_t fromLast = record.samplesOfSecond % SamplesPerSecond;
    record.samples[record.samples.size() - 1 - fromLast] = sample;
}

UpstreamSpeeds::Estimate UpstreamSpeeds::ownEstimate(const Record &record, Instant now) const
{
    std::vector<Weighted> parts;
    parts.reserve(record.samples.size());
    for (const Sample &sample : record.samples) {
        const auto baseline = m_baselines.find(sample.kind);
        if (now - sample.at > MaxAge || baseline == m_baselines.end()
            || baseline->second.logTime.all.samples < MinBaselineSamples)
            continue;
        parts.push_back(
            {std::clamp(baseline->second.logTime.all.logValue - sample.logTime, -MaxDeviation, MaxDeviation),
             sample.weight * baseline->second.precision * decay(now - sample.at)});
    }
    return {robustMean(parts), weightOf(parts)};
}

UpstreamSpeeds::Estimate UpstreamSpeeds::ownEstimate(const Baseline &baseline)
{
    std::vector<double> logTimes;
    logTimes.reserve(baseline.entries.size());
    for (const auto &entry : baseline.entries)
        logTimes.push_back(entry.logTime);
    const auto count = static_cast<double>(logTimes.size());
    return {medianOf(std::move(logTimes)), count};
}

UpstreamSpeeds::Estimate UpstreamSpeeds::combine(Quantity quantity, const Estimate &own, const Shared &shared,
                                                 Scope scope, Instant now)
{
    if (scope == Scope::Own)
        return own;
    std::vector<Weighted> parts;
    std::vector<Weighted> ofHubs;
    if (own.samples > 0)
        parts.push_back({own.logValue, own.samples});
    for (const PeerReport &report : shared.reports) {
        if (now - report.at > MaxAge)
            continue;
        const Weighted part{report.estimate.logValue, report.estimate.samples * decay(now - report.at)};
        if (report.origin == SpeedReportOrigin::Instance)
            parts.push_back(part);
        else if (scope == Scope::All)
            ofHubs.push_back(part);
    }
    limitWeights(parts);
    parts.insert(parts.end(), ofHubs.begin(), ofHubs.end());
    Estimate result{robustMean(parts), weightOf(parts)};
    if (quantity == Quantity::Baseline)
        return result;
    const double ratio = scatterRatio(parts, result.logValue);
    if (ratio > MaxScatterRatio)
        result.samples *= MaxScatterRatio * MaxScatterRatio / (ratio * ratio);
    return result;
}

void UpstreamSpeeds::updateBaselines(Instant now)
{
    for (auto &[kind, baseline] : m_baselines) {
        std::erase_if(baseline.entries, [&](const auto &entry) { return now - entry.at > MaxBaselineAge; });
        std::erase_if(baseline.logTime.reports,
                      [&](const PeerReport &report) { return now - report.at > MaxAge; });
        baseline.logTime.all =
            combine(Quantity::Baseline, ownEstimate(baseline), baseline.logTime, Scope::All, now);
        baseline.precision = 1;
        if (baseline.entries.size() < MinScatterUpstreams)
            continue;
        std::vector<double> distances;
        distances.reserve(baseline.entries.size());
        for (const auto &entry : baseline.entries)
            distances.push_back(entry.distance);
        /// Ratio of the standard deviation of a normal distribution to its median absolute deviation.
        constexpr double DeviationPerMedian = 1.4826;
        const double scatter = std::max(DeviationPerMedian * medianOf(std::move(distances)), SampleDeviation);
        baseline.precision = std::max(SampleDeviation * SampleDeviation / (scatter * scatter), MinPrecision);
    }
    std::erase_if(m_baselines, [](const auto &item) {
        return item.second.entries.empty() && item.second.logTime.reports.empty();
    });
}

void UpstreamSpeeds::update(std::span<const SpeedSubject> published, Instant now)
{
    m_current.clear();
    m_updatedAt = now;
    if (!m_enabled)
        return;
    updateBaselines(now);
    std::map<std::string_view, std::vector<double>> byService;
    std::vector<Estimate> estimates;
    std::unordered_map<std::uint64_t, Record> kept;
    estimates.reserve(published.size());
    for (const SpeedSubject &subject : published) {
        const std::uint64_t key = keyOf(subject);
        // Creates a record for a new upstream, so that reports of peers about it are taken.
        Record &record = m_records[key];
        std::erase_if(record.speed.reports,
                      [&](const PeerReport &report) { return now - report.at > MaxAge; });
        record.speed.all = combine(Quantity::Speed, ownEstimate(record, now), record.speed, Scope::All, now);
        estimates.push_back(record.speed.all);
        if (estimates.back().samples >= MinCentreSamples)
            byService[subject.service].push_back(estimates.back().logValue);
        kept.insert(m_records.extract(key));
    }
    m_records = std::move(kept);
    for (std::size_t i = 0; i < published.size(); ++i) {
        const std::vector<double> &others = byService[published[i].service];
        const double centre = others.size() >= MinCentreUpstreams ? medianOf(others) : 0;
        const double logSpeed = estimates[i].logValue - centre;
        const Instant knownFor = now - m_records[keyOf(published[i])].knownSince.value_or(now);
        const double threshold =
            std::max(MinLogSpeed, ErrorsToDiffer * errorOf(estimates[i].samples, knownFor));
        const double speed = knownFor >= MinKnownTime && std::abs(logSpeed) > threshold
                                 ? std::clamp(std::exp(logSpeed), SlowestSpeed, FastestSpeed)
                                 : 1;
        m_current[std::string(published[i].upstream)] = {speed, estimates[i].samples};
    }
}

double UpstreamSpeeds::speed(std::string_view upstream, Instant now) const
{
    const auto found = m_current.find(upstream);
    return found == m_current.end() || now - m_updatedAt > MaxUpdateAge ? 1 : found->second.speed;
}

double UpstreamSpeeds::samples(std::string_view upstream) const
{
    const auto found = m_current.find(upstream);
    return found == m_current.end() ? 0 : found->second.samples;
}

void UpstreamSpeeds::merge(std::string_view peer, SpeedReportOrigin origin, const SpeedReports &reports,
                           Instant now)
{
    if (!m_enabled)
        return;
    const auto received = [&](const SpeedReport &report, double limit) {
        return PeerReport{stableHash(peer),
                          origin,
                          {std::clamp(report.logValue * LogStep, -limit, limit), toSamples(report.weight)},
                          now};
    };
    for (const SpeedReport &report : firstOf(reports.upstreams, MaxReports)) {
        const auto found = m_records.find(report.key);
        if (found == m_records.end())
            continue;
        if (!found->second.knownSince)
            found->second.knownSince = now;
        merge(found->second.speed, received(report, MaxDeviation));
    }
    for (const SpeedReport &report : firstOf(reports.baselines, MaxBaselineReports)) {
        // A baseline may be needed before this instance has a sample of its kind.
        if (m_baselines.size() < MaxBaselines || m_baselines.contains(report.key))
            merge(m_baselines[report.key].logTime, received(report, MaxLogTime));
    }
}

void UpstreamSpeeds::merge(Shared &shared, const PeerReport &report)
{
    const auto former = std::find_if(shared.reports.begin(), shared.reports.end(),
                                     [&](const PeerReport &known) { return known.peer == report.peer; });
    if (former == shared.reports.end())
        shared.reports.push_back(report);
    else
        *former = report;
}

SpeedReports UpstreamSpeeds::take(Scope scope, Instant now)
{
    const auto changeOf = [&](std::uint64_t key, Shared &shared, const Estimate &estimate) {
        Sent &sent = shared.sent[static_cast<std::size_t>(scope)];
        // The receiver lets the number of samples decay in the same way.
        const double known = std::max(sent.estimate.samples * decay(now - sent.at), SmallestSamples);
        const double size =
            std::max(std::abs(estimate.logValue - sent.estimate.logValue) / NoticeableDifference,
                     std::abs(std::log(estimate.samples / known)) / std::log(NoticeableRatio));
        return Change{size, key, estimate, &sent};
    };
    std::vector<Change> upstreams;
    for (auto &[key, record] : m_records) {
        const Estimate estimate = scope == Scope::All ? record.speed.all
                                                      : combine(Quantity::Speed, ownEstimate(record, now),
                                                                record.speed, scope, now);
        if (estimate.samples >= MinReportedSamples)
            upstreams.push_back(changeOf(key, record.speed, estimate));
    }
    std::vector<Change> baselines;
    for (auto &[key, baseline] : m_baselines) {
        const Estimate estimate = scope == Scope::All ? baseline.logTime.all
                                                      : combine(Quantity::Baseline, ownEstimate(baseline),
                                                                baseline.logTime, scope, now);
        if (estimate.samples >= MinReportedSamples)
            baselines.push_back(changeOf(key, baseline.logTime, estimate));
    }
    return {take(std::move(upstreams), MaxReports, now), take(std::move(baselines), MaxBaselineReports, now)};
}

std::vector<SpeedReport> UpstreamSpeeds::take(std::vector<Change> changes, std::size_t max, Instant now)
{
    std::erase_if(changes, [](const Change &change) { return change.size < 1 && change.sent->repeats <= 0; });
    const std::size_t count = std::min(changes.size(), max);
    std::partial_sort(changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(),
                      [](const Change &one, const Change &other) { return one.size > other.size; });
    changes.resize(count);
    std::vector<SpeedReport> reports;
    reports.reserve(count);
    for (const Change &change : changes) {
        const int repeats = change.size >= 1 ? Repeats : change.sent->repeats - 1;
        *change.sent = {change.estimate, now, repeats};
        reports.push_back({change.key, toSteps(change.estimate.logValue), toWeight(change.estimate.samples)});
    }
    return reports;
}

SpeedReports UpstreamSpeeds::withoutPeer(SpeedReports reports, std::string_view peer, Instant now) const
{
    const std::uint64_t peerHash = stableHash(peer);
    const auto isOfPeer = [&](SpeedReport &report) {
        const auto record = m_records.find(report.key);
        if (record == m_records.end())
            return false;
        const auto &known = record->second.speed.reports;
        const auto own = std::find_if(known.begin(), known.end(),
                                      [&](const PeerReport &other) { return other.peer == peerHash; });
        if (own == known.end() || now - own->at > MaxAge)
            return false;
        const double all = toSamples(report.weight);
        const double others = all - own->estimate.samples * decay(now - own->at);
        if (others < std::max(MinReportedSamples, MinShareOfOthers * all))
            return true;
        const double mean = report.logValue * LogStep;
        const double ofPeer = std::clamp(own->estimate.logValue, mean - MaxDistance, mean + MaxDistance);
        const double difference = (mean - ofPeer) * (all - others) / others;
        report.logValue = toSteps(mean + std::clamp(difference, -MaxDistance, MaxDistance));
        report.weight = toWeight(others);
        return false;
    };
    std::erase_if(reports.upstreams, isOfPeer);
    return reports;
}

} // namespace chestnutsill
