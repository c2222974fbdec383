#include "world.h"

#include "chestnutsill/policy/hash.h"
#include "fleetpicture.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>

namespace chestnutsill::emulator {

namespace {

constexpr double MsInSecond = 1000;
/// What a request of a size earns beside a fixed part, against the mean of its class, and the largest factor.
constexpr double FixedCredit = 0.3;
constexpr double LargestCredit = 4;
/// How much a token that is made counts against one that is read when the size of a request is taken.
constexpr double OutputWeight = 10;

Instant instantOf(double ms)
{
    return Instant(static_cast<Instant::rep>(ms * MsInSecond));
}

/// A generation from its arrival to its end.
struct Flight
{
    std::size_t requestClass = 0;
    int instance = 0;
    int engine = 0;
    /// Engine whose memory it fetches shared parts from; negative for none.
    int source = -1;
    int outputTokens = 0;
    double credit = 1;
    Prompt prompt;
    double arrivedMs = 0;
    double tokensToPrefill = 0;
    double firstMs = -1;
    double lastMs = 0;
    double longestPauseMs = 0;
};

struct Action
{
    double ms = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const Action &a, const Action &b)
    {
        return a.ms != b.ms ? a.ms > b.ms : a.order > b.order;
    }
};

struct EngineSite
{
    std::string id;
    Engine engine;
    bool stepping = false;
    bool down = false;
    /// Grows with each loss of the engine, so that steps begun before it are dropped.
    int life = 0;
};

/// Draws sizes and things.
class Dice
{
public:
    explicit Dice(std::uint64_t seed)
        : m_random(seed)
    {}

    double size(const Size &size)
    {
        if (size.spread <= 0)
            return size.mean;
        // The mean of a log-normal value is exp(mu + sigma^2 / 2).
        const double mu = std::log(std::max(size.mean, 1.0)) - size.spread * size.spread / 2;
        return std::min(std::lognormal_distribution<double>(mu, size.spread)(m_random), size.largest);
    }

    int thing(const SharedPart &part)
    {
        if (part.skew <= 0)
            return std::uniform_int_distribution<int>(0, part.things - 1)(m_random);
        // The inverse of the distribution function of i to the power of minus skew, as if i were continuous.
        const double u = std::uniform_real_distribution<double>(0, 1)(m_random);
        return std::min(static_cast<int>(part.things * std::pow(u, 1 / (1 - std::min(part.skew, 0.99)))),
                        part.things - 1);
    }

    double gapMs(double perSecond)
    {
        return MsInSecond * std::exponential_distribution<double>(perSecond)(m_random);
    }

    int below(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }

    std::uint64_t number() { return m_random(); }

private:
    std::mt19937_64 m_random;
};

class World
{
public:
    World(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_policy(policy)
        , m_dice(seed)
        , m_picture(scenario.instances, scenario.zones)
        , m_shortestPauseMs(shortestPause(scenario))
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
            scheduleBeat(i, FleetPicture::PeriodMs * i / m_scenario.instances);
        for (const Outage &outage : m_scenario.outages)
            scheduleOutage(outage);
        while (!m_actions.empty()) {
            Action action = m_actions.top();
            m_actions.pop();
            m_nowMs = action.ms;
            action.run();
        }
        for (const EngineSite &site : m_engines)
            count(site.engine);
        m_result.sharedReadAgain = std::max(m_result.sharedReadAgain - m_distinctShared, 0.0);
        return std::move(m_result);
    }

private:
    static double shortestPause(const Scenario &scenario)
    {
        double shortest = scenario.classes[0].pauseMs;
        for (const RequestClass &each : scenario.classes)
            shortest = std::min(shortest, each.pauseMs);
        return shortest;
    }

    void after(double ms, std::function<void()> run)
    {
        m_actions.push({m_nowMs + ms, m_nextOrder++, std::move(run)});
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
        after(m_dice.gapMs(rate), [this, index] {
            if (isOver())
                return;
            arrive(index);
            scheduleArrival(index);
        });
    }

    void scheduleBeat(int instance, double ms)
    {
        after(ms, [this, instance] {
            m_picture.beat(instance, instantOf(m_nowMs));
            if (!isOver())
                scheduleBeat(instance, FleetPicture::PeriodMs);
        });
    }

    void scheduleOutage(const Outage &outage)
    {
        const auto count = static_cast<std::size_t>(std::lround(outage.share * m_scenario.engines));
        after(outage.from * MsInSecond, [this, count, outage] {
            for (std::size_t i = 0; i < count; ++i)
                lose(m_engines[i]);
            after(outage.seconds * MsInSecond, [this, count] {
                for (std::size_t i = 0; i < count; ++i)
                    m_engines[i].down = false;
            });
        });
    }

    void lose(EngineSite &site)
    {
        count(site.engine);
        const auto index = static_cast<std::size_t>(&site - m_engines.data());
        site.engine = Engine(m_scenario.shape, m_scenario.speeds[index % m_scenario.speeds.size()]);
        site.stepping = false;
        site.down = true;
        ++site.life;
        m_picture.forget(site.id);
        std::vector<std::uint64_t> lost;
        for (const auto &[id, flight] : m_flights) {
            if (flight.engine == static_cast<int>(index))
                lost.push_back(id);
        }
        for (const std::uint64_t id : lost)
            fail(id);
    }

    /// Adds what an engine did to the result, at its end or the end of the play.
    void count(const Engine &engine)
    {
        m_result.tokensRead += engine.tokensRead();
        m_result.sharedReadAgain += engine.sharedTokensRead();
        m_result.preempted += engine.preempted();
    }

    Prompt drawPrompt(std::size_t index)
    {
        const RequestClass &requestClass = m_scenario.classes[index];
        Prompt prompt;
        for (std::size_t i = 0; i < requestClass.sharedParts.size(); ++i) {
            const SharedPart &part = requestClass.sharedParts[i];
            const std::uint64_t id =
                stableHash(requestClass.name, (i << 32) + static_cast<std::uint64_t>(m_dice.thing(part)));
            // A part has the same size whenever it is asked for.
            const auto [known, isNew] = m_partTokens.try_emplace(id, 0);
            if (isNew) {
                known->second = static_cast<std::uint32_t>(std::max(Dice(id).size(part.tokens), 1.0));
                m_distinctShared += known->second;
            }
            prompt.parts.push_back({id, known->second});
        }
        const auto own = static_cast<std::uint32_t>(std::max(m_dice.size(requestClass.ownTokens), 1.0));
        prompt.parts.push_back({m_dice.number(), own});
        for (const PromptPart &part : prompt.parts)
            prompt.tokens += part.tokens;
        return prompt;
    }

    [[nodiscard]] double creditOf(const RequestClass &requestClass, const Prompt &prompt, int output) const
    {
        double mean = requestClass.ownTokens.mean
                      + OutputWeight * requestClass.events.mean * m_scenario.shape.tokensPerEvent;
        for (const SharedPart &part : requestClass.sharedParts)
            mean += part.tokens.mean;
        const double size = prompt.tokens + OutputWeight * output;
        return requestClass.worth
               * std::min(FixedCredit + (1 - FixedCredit) * size / std::max(mean, 1.0), LargestCredit);
    }

    [[nodiscard]] std::vector<UpstreamCandidate> candidates(int instance, const Prompt &prompt,
                                                            bool sensitive) const
    {
        std::vector<UpstreamCandidate> found;
        for (const EngineSite &site : m_engines) {
            if (!site.down)
                found.push_back(m_picture.candidate(instance, site.id, m_scenario.shape.slots, prompt,
                                                    instantOf(m_nowMs)));
        }
        separateByGapSensitivity(found, sensitive);
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
        Flight flight;
        flight.requestClass = index;
        flight.instance = m_dice.below(m_scenario.instances);
        const double events = std::max(m_dice.size(requestClass.events), 1.0);
        flight.outputTokens = static_cast<int>(std::lround(events) * m_scenario.shape.tokensPerEvent);
        flight.prompt = prompt;
        flight.arrivedMs = m_nowMs;
        flight.credit = creditOf(requestClass, prompt, flight.outputTokens);
        const std::uint64_t id = m_dice.number();
        ++m_result.classes[index].offered;
        m_result.classes[index].owed += flight.credit;
        const auto found =
            candidates(flight.instance, prompt, isGapSensitive(requestClass.pauseMs, m_shortestPauseMs));
        if (found.empty())
            return;
        ServiceTimeModel speed;
        speed.fetchTokensPerMs = m_scenario.shape.fetchTokensPerMs;
        const UpstreamSelection placement = m_policy(found, prompt, speed, id);
        flight.engine = indexOf(found[placement.candidate]);
        if (placement.source)
            flight.source = indexOf(found[*placement.source]);
        flight.tokensToPrefill = placement.tokensToPrefill;
        EngineSite &site = m_engines[static_cast<std::size_t>(flight.engine)];
        m_picture.begin(flight.instance, site.id, prompt, flight.tokensToPrefill,
                        m_scenario.shape.memoryTokens);
        m_flights[id] = flight;
        after(m_scenario.linkMs + m_scenario.shape.firstMs,
              [this, id, prompt, rank = requestClass.rank, output = flight.outputTokens] {
                  send(id, {id, prompt, output, rank});
              });
        after(requestClass.deadlineMs, [this, id] { fail(id); });
    }

    void send(std::uint64_t id, EngineRequest request)
    {
        const auto flight = m_flights.find(id);
        if (flight == m_flights.end())
            return;
        EngineSite &site = m_engines[static_cast<std::size_t>(flight->second.engine)];
        if (site.down) {
            fail(id);
            return;
        }
        fetch(flight->second, site, request);
        if (request.fetchedTokens <= 0) {
            site.engine.add(std::move(request));
            step(site);
            return;
        }
        const EngineShape &shape = m_scenario.shape;
        after(shape.fetchSetupMs + request.fetchedTokens / shape.fetchTokensPerMs,
              [this, request = std::move(request), &site, life = site.life] {
                  if (site.life != life)
                      return;
                  site.engine.add(request);
                  step(site);
              });
    }

    /// Looks what the source of a request has of its prompt beyond what its engine has.
    void fetch(const Flight &flight, const EngineSite &site, EngineRequest &request)
    {
        if (flight.source < 0)
            return;
        const EngineSite &source = m_engines[static_cast<std::size_t>(flight.source)];
        const double tokens = source.down ? 0 : source.engine.cachedTokens(request.prompt);
        const double own = site.engine.cachedTokens(request.prompt);
        if (tokens <= own)
            return;
        request.fetchedTokens = tokens;
        m_result.fetched += tokens - own;
    }

    void step(EngineSite &site)
    {
        if (site.stepping || site.down || !site.engine.isBusy())
            return;
        site.stepping = true;
        const double ms = site.engine.begin();
        after(ms, [this, &site, life = site.life] {
            if (site.life != life)
                return;
            site.stepping = false;
            for (const EngineEvent &event : site.engine.end())
                after(m_scenario.linkMs, [this, event] { receive(event); });
            step(site);
        });
    }

    void receive(const EngineEvent &event)
    {
        const auto found = m_flights.find(event.request);
        if (found == m_flights.end())
            return;
        Flight &flight = found->second;
        if (flight.firstMs < 0) {
            flight.firstMs = m_nowMs - flight.arrivedMs;
            m_result.classes[flight.requestClass].firstMs.push_back(flight.firstMs);
            m_picture.read(flight.instance, siteOf(flight).id, flight.tokensToPrefill);
            m_picture.noteRead(flight.instance, siteOf(flight).id, flight.prompt);
        } else {
            flight.longestPauseMs = std::max(flight.longestPauseMs, m_nowMs - flight.lastMs);
        }
        flight.lastMs = m_nowMs;
        if (event.done)
            finish(event.request);
    }

    [[nodiscard]] EngineSite &siteOf(const Flight &flight)
    {
        return m_engines[static_cast<std::size_t>(flight.engine)];
    }

    void finish(std::uint64_t id)
    {
        const Flight flight = m_flights.at(id);
        const RequestClass &requestClass = m_scenario.classes[flight.requestClass];
        ClassResult &result = m_result.classes[flight.requestClass];
        const bool onTime =
            flight.firstMs <= requestClass.targetMs && flight.longestPauseMs <= requestClass.pauseMs;
        ++(onTime ? result.onTime : result.late);
        result.earned +=
            flight.credit * (onTime ? 1 : requestClass.lateWorth / std::max(requestClass.worth, 1e-9));
        m_picture.end(flight.instance, siteOf(flight).id);
        m_flights.erase(id);
    }

    /// Ends a request without a whole answer, unless it has ended before.
    void fail(std::uint64_t id)
    {
        const auto found = m_flights.find(id);
        if (found == m_flights.end())
            return;
        const Flight &flight = found->second;
        siteOf(flight).engine.cancel(id);
        if (flight.firstMs < 0)
            m_picture.read(flight.instance, siteOf(flight).id, flight.tokensToPrefill);
        m_picture.end(flight.instance, siteOf(flight).id);
        m_flights.erase(found);
    }

    const Scenario &m_scenario;
    const Policy &m_policy;
    Dice m_dice;
    FleetPicture m_picture;
    double m_shortestPauseMs;
    std::vector<EngineSite> m_engines;
    std::unordered_map<std::uint64_t, Flight> m_flights;
    std::unordered_map<std::uint64_t, std::uint32_t> m_partTokens;
    double m_distinctShared = 0;
    std::priority_queue<Action, std::vector<Action>, std::greater<>> m_actions;
    std::uint64_t m_nextOrder = 0;
    double m_nowMs = 0;
    Result m_result;
};

} // namespace

double Result::worth() const noexcept
{
    double owed = 0;
    double earned = 0;
    for (const ClassResult &each : classes) {
        owed += each.owed;
        earned += each.earned;
    }
    return owed > 0 ? earned / owed : 0;
}

Result play(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    return World(scenario, policy, seed).run();
}

} // namespace chestnutsill::emulator
