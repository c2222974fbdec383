#include "chestnutsill/observe/metrics.h"

#include "chestnutsill/observe/latenessmetrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace chestnutsill {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned BinCount = 40;
constexpr double MinLatencyMs = 0.1;
constexpr double MaxLatencyMs = 120'000;

auto makeLatencyHistogram()
{
    return histogram::make_histogram(histogram::axis::regular<double, histogram::axis::transform::log>(
        BinCount, MinLatencyMs, MaxLatencyMs));
}

using LatencyHistogram = decltype(makeLatencyHistogram());

struct ClassMetrics
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> byVerdict;
    std::uint64_t attained = 0;
    std::uint64_t tokensIn = 0;
    std::uint64_t tokensOut = 0;
    std::uint64_t tokensWasted = 0;
    LatencyHistogram firstToken = makeLatencyHistogram();
    double firstTokenSumMs = 0;
};

double toMs(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void writeLatencyHistogram(std::ostream &out, const std::string &name, const ClassMetrics &metrics)
{
    double cumulative = metrics.firstToken.at(-1);
    for (auto &&bin : histogram::indexed(metrics.firstToken)) {
        cumulative += *bin;
        out << "chestnutsill_first_token_ms_bucket{class=\"" << name << "\",le=\"" << bin.bin().upper()
            << "\"} " << cumulative << '\n';
    }
    cumulative += metrics.firstToken.at(static_cast<int>(BinCount));
    out << "chestnutsill_first_token_ms_bucket{class=\"" << name << "\",le=\"+Inf\"} " << cumulative << '\n';
    out << "chestnutsill_first_token_ms_sum{class=\"" << name << "\"} " << metrics.firstTokenSumMs << '\n';
    out << "chestnutsill_first_token_ms_count{class=\"" << name << "\"} " << cumulative << '\n';
}

void writeClass(std::ostream &out, const std::string &name, const ClassMetrics &metrics)
{
    for (const auto &[key, count] : metrics.byVerdict) {
        out << "chestnutsill_requests_total{class=\"" << name << "\",verdict=\"" << key.first
            << "\",reason=\"" << key.second << "\"} " << count << '\n';
    }
    const auto counter = [&](std::string_view metric, std::uint64_t value) {
        out << "chestnutsill_" << metric << "{class=\"" << name << "\"} " << value << '\n';
    };
    counter("attained_total", metrics.attained);
    counter("tokens_in_total", metrics.tokensIn);
    counter("tokens_out_total", metrics.tokensOut);
    counter("tokens_wasted_total", metrics.tokensWasted);
    writeLatencyHistogram(out, name, metrics);
}

} // namespace

struct Metrics::State
{
    static constexpr std::size_t ShardCount = 8;

    struct Shard
    {
        mutable std::mutex mutex;
        std::map<std::string, ClassMetrics, std::less<>> classes;
    };

    [[nodiscard]] Shard &shard(std::string_view name)
    {
        return shards[std::hash<std::string_view>()(name) % ShardCount];
    }

    std::array<Shard, ShardCount> shards;
    std::mutex latenessMutex;
    LatenessMetrics lateness;
    std::mutex counterMutex;
    std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{}

Metrics::~Metrics() = default;

void Metrics::record(const Request &request)
{
    State::Shard &shard = m_state->shard(request.requestClass);
    const std::lock_guard lock(shard.mutex);
    ClassMetrics &metrics = shard.classes[std::string(request.requestClass)];
    ++metrics.byVerdict[{std::string(request.verdict), std::string(request.reason)}];
    metrics.attained += request.attained ? 1 : 0;
    metrics.tokensIn += request.tokensIn;
    metrics.tokensOut += request.tokensOut;
    metrics.tokensWasted += request.tokensWasted;
    if (request.firstToken.count() == 0)
        return;
    metrics.firstToken(toMs(request.firstToken));
    metrics.firstTokenSumMs += toMs(request.firstToken);
}

void Metrics::recordLateness(std::string_view route, std::string_view account, const Lateness &lateness)
{
    const std::lock_guard lock(m_state->latenessMutex);
    m_state->lateness.record(route, account, lateness);
}

void Metrics::add(std::string_view name, std::string_view labelValue, std::uint64_t amount)
{
    const std::lock_guard lock(m_state->counterMutex);
    m_state->counters[{std::string(name), std::string(labelValue)}] += amount;
}

std::uint64_t Metrics::tokens(std::string_view requestClass) const
{
    State::Shard &shard = m_state->shard(requestClass);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.classes.find(requestClass);
    return found == shard.classes.end() ? 0 : found->second.tokensIn + found->second.tokensOut;
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    out << "# TYPE chestnutsill_requests_total counter\n# TYPE chestnutsill_first_token_ms histogram\n";
    for (const State::Shard &shard : m_state->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[name, metrics] : shard.classes)
            writeClass(out, name, metrics);
    }
    {
        const std::lock_guard lock(m_state->latenessMutex);
        m_state->lateness.write(out);
    }
    const std::lock_guard lock(m_state->counterMutex);
    for (const auto &[key, count] : m_state->counters)
        out << "chestnutsill_" << key.first << "{kind=\"" << key.second << "\"} " << count << '\n';
    return out.str();
}

} // namespace chestnutsill
