#include "plannedstops.h"

#include "history.h"
#include "rawcaller.h"
#include "site.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace chestnutsill::soak {

namespace {

using std::chrono::milliseconds;
using support::RawAnswer;
using support::Site;

constexpr int Callers = 32;
/// Time of a directory response in milliseconds, and the time after a signal by which a request must have
/// been sent to be excused.
constexpr std::int64_t DirectoryTtlMs = 1000;
constexpr std::int64_t ExcusedMs = 3000;
/// Time from a request's last byte in which its connection may end without an answer if it was not passed on.
constexpr std::int64_t LossSlackMs = 200;
/// Planned work lasts from the signal until this long after the grace time.
constexpr std::int64_t AfterGraceMs = 1000;
constexpr milliseconds CallTimeout{12'000};

struct Route
{
    const char *path;
    std::int64_t timeoutMs;
    bool runsOnce;
    bool isStream;
};

constexpr std::array<Route, 4> Routes{{{"/plain/x", 3000, false, false},
                                       {"/booking/x", 2000, true, false},
                                       {"/stream/stream/x", 8000, false, true},
                                       {"/streamonce/stream/x", 8000, true, true}}};

struct Outcome
{
    std::string id;
    const Route *route = nullptr;
    std::size_t instance = 0;
    std::int64_t sentMs = 0;
    std::int64_t endMs = 0;
    int status = 0;
    bool isComplete = false;
    bool isWhole = false;
    /// How the connection ended, for the report.
    std::string end;
};

struct Stop
{
    std::size_t instance;
    std::int64_t atMs;
};

/// Signals of a planned stop come alone, twice, or behind a reload.
constexpr std::array<std::array<int, 2>, 3> SignalSeries{
    {{SIGTERM, 0}, {SIGTERM, SIGTERM}, {SIGHUP, SIGTERM}}};

class PlannedStops
{
public:
    PlannedStops(std::uint64_t seed, int seconds, int instances, int upstreams)
        : m_site("stops-" + std::to_string(seed))
        , m_seed(seed)
        , m_seconds(seconds)
        , m_random(seed)
        , m_graceSeconds(seed % 3 == 0 ? 4 : 8)
    {
        m_site.setTerminationGrace(m_graceSeconds);
        for (const std::size_t route : {3U, 4U})
            m_site.table().at("routes").as_array().at(route).as_object()["timeout_ms"] = Routes[2].timeoutMs;
        m_site.publishTable();
        for (int i = 0; i < upstreams; ++i) {
            auto &upstream =
                m_site.addUpstream("upstream-" + std::to_string(i), i % 3 == 0 ? "desk" : "chat");
            // Streams take from 1 s to 4.5 s.
            m_events = 10 + static_cast<int>(seed % 6);
            Site::commandUpstream(upstream, R"({"workMs":)" + std::to_string(pick(300)) + R"(,"events":)"
                                                + std::to_string(m_events) + R"(,"eventMs":)"
                                                + std::to_string(100 + pick(200)) + '}');
        }
        m_site.start(instances);
    }

    std::vector<std::string> run()
    {
        if (!m_site.waitReady())
            return {"the site did not become ready"};
        m_stopsOf.resize(m_site.instances().size());
        std::vector<std::thread> callers;
        for (int i = 0; i < Callers; ++i)
            callers.emplace_back([this, i] { call(i); });
        const std::int64_t end = unixMs() + std::int64_t{1000} * m_seconds;
        while (unixMs() < end)
            step();
        setSilent(false);
        m_stopped = true;
        for (std::thread &caller : callers)
            caller.join();
        return check();
    }

private:
    std::uint64_t pick(std::uint64_t count) { return m_random() % count; }

    /// Stops and starts instances, silences upstreams and changes the table when each is due.
    void step()
    {
        const std::int64_t time = unixMs();
        for (std::size_t i = 0; i < m_stopsOf.size(); ++i) {
            auto &process = m_site.instances()[i].process;
            if (m_stopsOf[i] == 0)
                continue;
            const bool isKilled = time >= m_stopsOf[i] + std::int64_t{1000} * m_graceSeconds;
            if (!isKilled && process->waitForExit(0) != 0)
                continue;
            process->kill();
            m_site.startInstance(i);
            m_stopsOf[i] = 0;
        }
        if (time >= m_nextStopMs) {
            m_nextStopMs = time + 300 + static_cast<std::int64_t>(pick(1500));
            stop(m_nextInstance++ % m_stopsOf.size());
        }
        if (time >= m_nextSilenceMs) {
            m_nextSilenceMs = time + (m_isSilent ? 1500 : 900) + static_cast<std::int64_t>(pick(400));
            setSilent(!m_isSilent);
        }
        if (time >= m_nextChangeMs) {
            m_nextChangeMs = time + 2000 + static_cast<std::int64_t>(pick(1000));
            m_site.publishTable();
        }
        std::this_thread::sleep_for(milliseconds(20));
    }

    void stop(std::size_t instance)
    {
        // An instance that has just started may not have installed its handlers yet.
        if (m_stopsOf[instance] != 0 || m_site.readiness(instance) != 200)
            return;
        const std::lock_guard lock(m_mutex);
        m_stops.push_back({instance, unixMs()});
        m_stopsOf[instance] = m_stops.back().atMs;
        for (const int signal : SignalSeries[pick(SignalSeries.size())]) {
            if (signal != 0)
                m_site.instances()[instance].process->signal(signal);
        }
    }

    void setSilent(bool isSilent)
    {
        m_isSilent = isSilent;
        for (std::size_t i = 0; i < m_site.upstreamCount(); ++i) {
            if (!isSilent || pick(10) < 7)
                m_site.upstreamAt(i).process->signal(isSilent ? SIGSTOP : SIGCONT);
        }
    }

    /// Addresses by the directory of an instance; empty without a response.
    std::vector<std::size_t> resolve(std::size_t instance) const
    {
        const auto answer = support::readObject(m_site.address(instance, m_site.directoryPort()),
                                                "/api/resolve?name=site.example&region=r&zone=a");
        std::vector<std::size_t> named;
        if (!answer.contains("addresses"))
            return named;
        for (const auto &address : answer.at("addresses").as_array()) {
            for (std::size_t i = 0; i < m_site.instances().size(); ++i) {
                if (address.as_string() == m_site.address(i, m_site.callerPort()))
                    named.push_back(i);
            }
        }
        return named;
    }

    void call(int caller)
    {
        std::mt19937_64 random(m_seed * Callers + static_cast<std::uint64_t>(caller));
        // For its time, three times as long, or as by callers that obtain no other response.
        const std::int64_t keptMs =
            DirectoryTtlMs * std::array{1, 3, 6}[static_cast<std::size_t>(caller) % 3];
        std::vector<std::size_t> known = resolve(0);
        std::int64_t resolvedMs = unixMs();
        for (int number = 0; !m_stopped; ++number) {
            if (unixMs() - resolvedMs >= keptMs) {
                // Three instances are asked; without a response the old addresses are used on.
                for (int tries = 0; tries < 3; ++tries) {
                    auto named = resolve(random() % m_site.instances().size());
                    if (named.empty())
                        continue;
                    known = std::move(named);
                    resolvedMs = unixMs();
                    break;
                }
            }
            Outcome outcome;
            outcome.id = "c" + std::to_string(caller) + '-' + std::to_string(number);
            outcome.route = &Routes[random() % Routes.size()];
            outcome.instance =
                known.empty() ? random() % m_site.instances().size() : known[random() % known.size()];
            send(outcome);
            const std::lock_guard lock(m_mutex);
            m_outcomes.push_back(std::move(outcome));
        }
    }

    void send(Outcome &outcome) const
    {
        const std::string request = std::string("POST ") + outcome.route->path
                                    + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + outcome.id
                                    + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
                                      "Content-Length: 2\r\n\r\n{}";
        outcome.sentMs = unixMs();
        const RawAnswer answer = support::exchangeBytes(m_site.address(outcome.instance, m_site.callerPort()),
                                                        request, CallTimeout);
        outcome.endMs = unixMs();
        outcome.status = support::statusOf(answer);
        outcome.isComplete = support::looksComplete(answer, true);
        outcome.isWhole = !outcome.route->isStream
                          || answer.bytes.find("id: " + std::to_string(m_events) + "\n") != std::string::npos;
        outcome.end = answer.end == RawAnswer::End::Closed  ? "closed"
                      : answer.end == RawAnswer::End::Reset ? "reset"
                                                            : "error " + std::to_string(answer.error);
        outcome.end += " after " + std::to_string(answer.bytes.size()) + " bytes";
        // Callers that are refused or find nobody wait for a moment.
        if (outcome.status != 200)
            std::this_thread::sleep_for(milliseconds(100));
    }

    /// Whether a request without a complete response may have ended so.
    [[nodiscard]] bool isExcused(const Outcome &outcome, std::size_t runs) const
    {
        if (outcome.endMs - outcome.sentMs >= outcome.route->timeoutMs)
            return true;
        if (runs == 0 && outcome.endMs - outcome.sentMs <= LossSlackMs)
            return true;
        const std::int64_t graceMs = std::int64_t{1000} * m_graceSeconds;
        return std::any_of(m_stops.begin(), m_stops.end(), [&](const Stop &stop) {
            const bool isDuring = stop.instance == outcome.instance && outcome.endMs >= stop.atMs
                                  && outcome.endMs <= stop.atMs + graceMs + AfterGraceMs;
            return isDuring && outcome.sentMs <= stop.atMs + ExcusedMs
                   && outcome.endMs >= stop.atMs + graceMs * 5 / 6;
        });
    }

    std::vector<std::string> check() const
    {
        std::vector<std::string> violations;
        const auto runs = m_site.allRuns();
        std::size_t whole = 0;
        std::size_t refused = 0;
        std::size_t excused = 0;
        for (const Outcome &outcome : m_outcomes) {
            const std::size_t count = runs.count(outcome.id);
            std::string fault;
            if (outcome.route->runsOnce && count > 1)
                fault = "ran " + std::to_string(count) + " times";
            else if (outcome.status == 503 && count > 0 && outcome.isComplete && outcome.route->runsOnce)
                fault = "was refused as not run, but ran";
            else if (!outcome.isComplete && !isExcused(outcome, count))
                fault = "got no complete response, " + std::to_string(outcome.endMs - outcome.sentMs)
                        + " ms after it was sent" + describeStop(outcome) + ", " + outcome.end;
            else if (outcome.isComplete && outcome.status == 200 && !outcome.isWhole)
                fault = "ended as complete without its last event";
            if (!fault.empty())
                violations.push_back(outcome.id + " (" + outcome.route->path + " at instance "
                                     + std::to_string(outcome.instance) + ", ran " + std::to_string(count)
                                     + ") " + fault);
            whole += outcome.isComplete && outcome.status == 200 ? 1 : 0;
            refused += outcome.isComplete && outcome.status != 200 ? 1 : 0;
            excused += outcome.isComplete ? 0 : 1;
        }
        std::cout << "seed " << m_seed << ": " << m_stops.size() << " stops with " << m_graceSeconds
                  << " s of grace time, " << m_outcomes.size() << " requests, " << whole << " whole, "
                  << refused << " refused, " << excused << " without a complete response\n";
        return violations;
    }

    [[nodiscard]] std::string describeStop(const Outcome &outcome) const
    {
        std::string text;
        for (const Stop &stop : m_stops) {
            if (stop.instance == outcome.instance && stop.atMs <= outcome.endMs)
                text = ", sent " + std::to_string(outcome.sentMs - stop.atMs) + " ms and ended "
                       + std::to_string(outcome.endMs - stop.atMs) + " ms after the signal";
        }
        return text;
    }

    Site m_site;
    const std::uint64_t m_seed;
    const int m_seconds;
    std::mt19937_64 m_random;
    const int m_graceSeconds;
    int m_events = 0;
    /// When each instance was signalled; 0 while it isn't leaving.
    std::vector<std::int64_t> m_stopsOf;
    std::size_t m_nextInstance = 0;
    std::int64_t m_nextStopMs = 0;
    std::int64_t m_nextSilenceMs = 0;
    std::int64_t m_nextChangeMs = 0;
    bool m_isSilent = false;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::vector<Stop> m_stops;
    std::vector<Outcome> m_outcomes;
};

} // namespace

std::vector<std::string> runPlannedStops(std::uint64_t seed, int seconds, int instances, int upstreams)
{
    return PlannedStops(seed, seconds, instances, upstreams).run();
}

} // namespace chestnutsill::soak
