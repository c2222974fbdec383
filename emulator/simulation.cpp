#include "simulation.h"

#include "chestnutsill/policy/hash.h"
#include "upstreamloadviews.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>

namespace chestnutsill::emulator {

namespace {

constexpr double MsInSecond = 1000;
/// A request earns a fixed share of its class's worth; the rest is proportional to its size relative to the
/// mean size of the class. The total is at most `MaxCreditFactor` times the class's worth.
constexpr double FixedCreditShare = 0.3;
constexpr double MaxCreditFactor = 4;
/// Weight of a generated token relative to a prompt token in the size of a request.
constexpr double OutputTokenWeight = 10;

Instant instantOf(double ms)
{
    return Instant(static_cast<Instant::rep>(ms * MsInSecond));
}

/// A generation request from its arrival to its end.
struct InFlightRequest
{
    std::size_t requestClass = 0;
    int instance = 0;
    int engine = 0;
    /// Index of the engine from which cached parts are fetched; negative for none.
    int source = -1;
    int outputTokens = 0;
    double credit = 1;
    Prompt prompt;
    double arrivedMs = 0;
    double tokensToPrefill = 0;
    double firstMs = -1;
    double lastMs = 0;
    double maxGapMs = 0;
};

struct ScheduledEvent
{
    double ms = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const ScheduledEvent &a, const ScheduledEvent &b)
    {
        return a.ms != b.ms ? a.ms > b.ms : a.order > b.order;
    }
};

struct EngineNode
{
    std::string id;
    Engine engine;
    bool stepping = false;
    bool down = false;
    /// Incremented by each crash, so that steps begun before a crash are discarded.
    int generation = 0;
};

/// Draws random sizes, prompt parts and times.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_random(seed)
    {}

    double drawSize(const LogNormalSize &size)
    {
        if (size.spread <= 0)
            return size.mean;
        // The mean of a log-normal value is exp(mu + sigma^2 / 2).
        const double mu = std::log(std::max(size.mean, 1.0)) - size.spread * size.spread / 2;
        return std::min(std::lognormal_distribution<double>(mu, size.spread)(m_random), size.largest);
    }

    int drawSharedPart(const SharedPart &part)
    {
        if (part.skew <= 0)
            return std::uniform_int_distribution<int>(0, part.things - 1)(m_random);
        // Inverse of the distribution function for a density proportional to i^-skew, with i taken as
        // continuous.
        const double u = std::uniform_real_distribution<double>(0, 1)(m_random);
        return std::min(static_cast<int>(part.things * std::pow(u, 1 / (1 - std::min(part.skew, 0.99)))),
                        part.things - 1);
    }

    double drawInterarrivalMs(double perSecond)
    {
        return MsInSecond * std::exponential_distribution<double>(perSecond)(m_random);
    }

    int drawBelow(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }

    std::uint64_t drawNumber() { return m_random(); }

private:
    std::mt19937_64 m_random;
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_policy(policy)
        , m_randomSource(seed)
        , m_views(scenario.instances, scenario.zones)
        , m_minGapTargetMs(minGapTarget(scenario))
    {
        for (int i = 0; i < scenario.engines; ++i) {
            const auto speed = scenario.speeds[static_cast<std::size_t>(i) % scenario.speeds.size()];
            m_engines.push_back({"e" + std::to_string(i), Engine(scenario.shape, speed)});
        }
        for (std::size_t i = 0; i < scenario.classes.size(); ++i)
            m_result.classes.emplace_back().name = scenario.classes[i].name;
    }

    Result run()
    {
        for (std::size_t i = 0; i < m_scenario.classes.size(); ++i)
            scheduleArrival(i);
        for (int i = 0; i < m_scenario.instances; ++i)
            scheduleHeartbeat(i, UpstreamLoadViews::PeriodMs * i / m_scenario.instances);
        for (const Outage &outage : m_scenario.outages)
            scheduleOutage(outage);
        while (!m_schedule.empty()) {
            ScheduledEvent event = m_schedule.top();
            m_schedule.pop();
            m_nowMs = event.ms;
            event.run();
        }
        for (const EngineNode &node : m_engines)
            addCounters(node.engine);
        m_result.sharedTokensRecomputed =
            std::max(m_result.sharedTokensRecomputed - m_distinctSharedTokens, 0.0);
        return std::move(m_result);
    }

private:
    static double minGapTarget(const Scenario &scenario)
    {
        double minimum = scenario.classes[0].pauseMs;
        for (const RequestClass &each : scenario.classes)
            minimum = std::min(minimum, each.pauseMs);
        return minimum;
    }

    void after(double ms, std::function<void()> run)
    {
        m_schedule.push({m_nowMs + ms, m_nextOrder++, std::move(run)});
    }

    [[nodiscard]] bool isOver() const { return m_nowMs >= m_scenario.seconds * MsInSecond; }

    [[nodiscard]] double rateOf(const RequestClass &requestClass) const
    {
        double rate = requestClass.perSecond;
        for (const Burst &burst : m_scenario.bursts) {
            const double since = m_nowMs / MsInSecond - burst.from;
            if (burst.requestClass == requestClass.name && since >= 0 && since < burst.seconds)
                rate *= burst.factor;
        }
        return rate;
    }

    void scheduleArrival(std::size_t index)
    {
        const double rate = rateOf(m_scenario.classes[index]);
        if (rate <= 0 || isOver())
            return;
        after(m_randomSource.drawInterarrivalMs(rate), [this, index] {
            if (isOver())
                return;
            arrive(index);
            scheduleArrival(index);
        });
    }

    void scheduleHeartbeat(int instance, double ms)
    {
        after(ms, [this, instance] {
            m_views.sendHeartbeat(instance, instantOf(m_nowMs));
            if (!isOver())
                scheduleHeartbeat(instance, UpstreamLoadViews::PeriodMs);
        });
    }

    void scheduleOutage(const Outage &outage)
    {
        const auto count = static_cast<std::size_t>(std::lround(outage.share * m_scenario.engines));
        after(outage.from * MsInSecond, [this, count, outage] {
            for (std::size_t i = 0; i < count; ++i)
                crash(m_engines[i]);
            after(outage.seconds * MsInSecond, [this, count] {
                for (std::size_t i = 0; i < count; ++i)
                    m_engines[i].down = false;
            });
        });
    }

    void crash(EngineNode &node)
    {
        addCounters(node.engine);
        const auto index = static_cast<std::size_t>(&node - m_engines.data());
        node.engine = Engine(m_scenario.shape, m_scenario.speeds[index % m_scenario.speeds.size()]);
        node.stepping = false;
        node.down = true;
        ++node.generation;
        m_views.dropCache(node.id);
        std::vector<std::uint64_t> lost;
        for (const auto &[id, flight] : m_inFlight) {
            if (flight.engine == static_cast<int>(index))
                lost.push_back(id);
        }
        for (const std::uint64_t id : lost)
            fail(id);
    }

    /// Adds the counters of an engine to the result, when it crashes or the simulation ends.
    void addCounters(const Engine &engine)
    {
        m_result.tokensPrefilled += engine.tokensPrefilled();
        m_result.sharedTokensRecomputed += engine.sharedTokensPrefilled();
        m_result.preempted += engine.preempted();
    }

    Prompt drawPrompt(std::size_t index)
    {
        const RequestClass &requestClass = m_scenario.classes[index];
        Prompt prompt;
        for (std::size_t i = 0; i < requestClass.sharedParts.size(); ++i) {
            const SharedPart &part = requestClass.sharedParts[i];
            const std::uint64_t id =
                stableHash(requestClass.name,
                           (i << 32) + static_cast<std::uint64_t>(m_randomSource.drawSharedPart(part)));
            // The same variant of a part always has the same size.
            const auto [known, isNew] = m_sharedPartTokens.try_emplace(id, 0);
            if (isNew) {
                known->second =
                    static_cast<std::uint32_t>(std::max(RandomSource(id).drawSize(part.tokens), 1.0));
                m_distinctSharedTokens += known->second;
            }
            prompt.parts.push_back({id, known->second});
        }
        const auto own =
            static_cast<std::uint32_t>(std::max(m_randomSource.drawSize(requestClass.ownTokens), 1.0));
        prompt.parts.push_back({m_randomSource.drawNumber(), own});
        for (const PromptPart &part : prompt.parts)
            prompt.tokens += part.tokens;
        return prompt;
    }

    [[nodiscard]] double attainableCredit(const RequestClass &requestClass, const Prompt &prompt,
                                          int output) const
    {
        double mean = requestClass.ownTokens.mean
                      + OutputTokenWeight * requestClass.events.mean * m_scenario.shape.tokensPerEvent;
        for (const SharedPart &part : requestClass.sharedParts)
            mean += part.tokens.mean;
        const double size = prompt.tokens + OutputTokenWeight * output;
        return requestClass.worth
               * std::min(FixedCreditShare + (1 - FixedCreditShare) * size / std::max(mean, 1.0),
                          MaxCreditFactor);
    }

    [[nodiscard]] std::vector<UpstreamCandidate> candidates(int instance, const Prompt &prompt,
                                                            bool gapSensitive) const
    {
        std::vector<UpstreamCandidate> found;
        for (const EngineNode &node : m_engines) {
            if (!node.down)
                found.push_back(
                    m_views.candidate(instance, node.id, m_scenario.shape.slots, prompt, instantOf(m_nowMs)));
        }
        separateByGapSensitivity(found, gapSensitive);
        return found;
    }

    static int indexOf(const UpstreamCandidate &candidate)
    {
        return std::stoi(std::string(candidate.upstream.substr(1)));
    }

    void arrive(std::size_t index)
    {
        const RequestClass &requestClass = m_scenario.classes[index];
        const Prompt prompt = drawPrompt(index);
        InFlightRequest flight;
        flight.requestClass = index;
        flight.instance = m_randomSource.drawBelow(m_scenario.instances);
        const double events = std::max(m_randomSource.drawSize(requestClass.events), 1.0);
        flight.outputTokens = static_cast<int>(std::lround(events) * m_scenario.shape.tokensPerEvent);
        flight.prompt = prompt;
        flight.arrivedMs = m_nowMs;
        flight.credit = attainableCredit(requestClass, prompt, flight.outputTokens);
        const std::uint64_t id = m_randomSource.drawNumber();
        ++m_result.classes[index].offered;
        m_result.classes[index].attainable += flight.credit;
        const auto found =
            candidates(flight.instance, prompt, isGapSensitive(requestClass.pauseMs, m_minGapTargetMs));
        if (found.empty())
            return;
        ServiceTimeModel speed;
        speed.fetchTokensPerMs = m_scenario.shape.fetchTokensPerMs;
        const UpstreamSelection selection = m_policy(found, prompt, speed, id);
        flight.engine = indexOf(found[selection.candidate]);
        if (selection.source)
            flight.source = indexOf(found[*selection.source]);
        flight.tokensToPrefill = selection.tokensToPrefill;
        EngineNode &node = m_engines[static_cast<std::size_t>(flight.engine)];
        m_views.recordStart(flight.instance, node.id, prompt, flight.tokensToPrefill,
                            m_scenario.shape.memoryTokens);
        m_inFlight[id] = flight;
        after(m_scenario.linkMs + m_scenario.shape.firstMs,
              [this, id, prompt, rank = requestClass.rank, output = flight.outputTokens] {
                  send(id, {id, prompt, output, rank});
              });
        after(requestClass.deadlineMs, [this, id] { fail(id); });
    }

    void send(std::uint64_t id, EngineRequest request)
    {
        const auto flight = m_inFlight.find(id);
        if (flight == m_inFlight.end())
            return;
        EngineNode &node = m_engines[static_cast<std::size_t>(flight->second.engine)];
        if (node.down) {
            fail(id);
            return;
        }
        fetch(flight->second, node, request);
        if (request.fetchedTokens <= 0) {
            node.engine.add(std::move(request));
            step(node);
            return;
        }
        const EngineShape &shape = m_scenario.shape;
        after(shape.fetchSetupMs + request.fetchedTokens / shape.fetchTokensPerMs,
              [this, request = std::move(request), &node, generation = node.generation] {
                  if (node.generation != generation)
                      return;
                  node.engine.add(request);
                  step(node);
              });
    }

    /// Fetches the cached start of the prompt from the source engine when it has more of it than the engine
    /// that serves the request.
    void fetch(const InFlightRequest &flight, const EngineNode &node, EngineRequest &request)
    {
        if (flight.source < 0)
            return;
        const EngineNode &source = m_engines[static_cast<std::size_t>(flight.source)];
        const double tokens = source.down ? 0 : source.engine.cachedTokens(request.prompt);
        const double own = node.engine.cachedTokens(request.prompt);
        if (tokens <= own)
            return;
        request.fetchedTokens = tokens;
        m_result.fetched += tokens - own;
    }

    void step(EngineNode &node)
    {
        if (node.stepping || node.down || !node.engine.hasWork())
            return;
        node.stepping = true;
        const double ms = node.engine.beginStep();
        after(ms, [this, &node, generation = node.generation] {
            if (node.generation != generation)
                return;
            node.stepping = false;
            for (const EngineEvent &event : node.engine.endStep())
                after(m_scenario.linkMs, [this, event] { receive(event); });
            step(node);
        });
    }

    void receive(const EngineEvent &event)
    {
        const auto found = m_inFlight.find(event.request);
        if (found == m_inFlight.end())
            return;
        InFlightRequest &flight = found->second;
        if (flight.firstMs < 0) {
            flight.firstMs = m_nowMs - flight.arrivedMs;
            m_result.classes[flight.requestClass].firstMs.push_back(flight.firstMs);
            m_views.recordPrefill(flight.instance, nodeOf(flight).id, flight.tokensToPrefill);
            m_views.recordCached(flight.instance, nodeOf(flight).id, flight.prompt);
        } else {
            flight.maxGapMs = std::max(flight.maxGapMs, m_nowMs - flight.lastMs);
        }
        flight.lastMs = m_nowMs;
        if (event.done)
            finish(event.request);
    }

    [[nodiscard]] EngineNode &nodeOf(const InFlightRequest &flight)
    {
        return m_engines[static_cast<std::size_t>(flight.engine)];
    }

    void finish(std::uint64_t id)
    {
        const InFlightRequest flight = m_inFlight.at(id);
        const RequestClass &requestClass = m_scenario.classes[flight.requestClass];
        ClassResult &result = m_result.classes[flight.requestClass];
        const bool onTime =
            flight.firstMs <= requestClass.targetMs && flight.maxGapMs <= requestClass.pauseMs;
        ++(onTime ? result.onTime : result.late);
        result.earned +=
            flight.credit * (onTime ? 1 : requestClass.lateWorth / std::max(requestClass.worth, 1e-9));
        m_views.recordEnd(flight.instance, nodeOf(flight).id);
        m_inFlight.erase(id);
    }

    /// Ends a request without a complete response. Does nothing when it has already ended.
    void fail(std::uint64_t id)
    {
        const auto found = m_inFlight.find(id);
        if (found == m_inFlight.end())
            return;
        const InFlightRequest &flight = found->second;
        nodeOf(flight).engine.cancel(id);
        if (flight.firstMs < 0)
            m_views.recordPrefill(flight.instance, nodeOf(flight).id, flight.tokensToPrefill);
        m_views.recordEnd(flight.instance, nodeOf(flight).id);
        m_inFlight.erase(found);
    }

    const Scenario &m_scenario;
    const Policy &m_policy;
    RandomSource m_randomSource;
    UpstreamLoadViews m_views;
    double m_minGapTargetMs;
    std::vector<EngineNode> m_engines;
    std::unordered_map<std::uint64_t, InFlightRequest> m_inFlight;
    std::unordered_map<std::uint64_t, std::uint32_t> m_sharedPartTokens;
    double m_distinctSharedTokens = 0;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_schedule;
    std::uint64_t m_nextOrder = 0;
    double m_nowMs = 0;
    Result m_result;
};

} // namespace

double Result::worth() const noexcept
{
    double attainable = 0;
    double earned = 0;
    for (const ClassResult &each : classes) {
        attainable += each.attainable;
        earned += each.earned;
    }
    return attainable > 0 ? earned / attainable : 0;
}

Result simulate(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    return Simulation(scenario, policy, seed).run();
}

} // namespace chestnutsill::emulator
