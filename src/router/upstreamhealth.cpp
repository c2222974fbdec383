#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "requestcontext.h"

#include <algorithm>
#include <random>

namespace chestnutsill {

namespace {

/// How long a connection opened by a probe is kept for a request.
constexpr milliseconds ProbeMaxIdleTime{300};
/// How long a probe connection must stay open to prove that the upstream is alive: a process that is exiting
/// still accepts connections for a few milliseconds and then closes them.
constexpr milliseconds ProbeSettleTime{20};
/// Maximum number of probe connections, opened one after another until one stays open or can't be opened.
constexpr int MaxProbes = 3;
/// Timeout for opening the connection of a probe.
constexpr milliseconds ProbeConnectTimeout{300};
/// Timeout for opening the connection of a health check: many round trips to an upstream.
constexpr milliseconds HealthConnectTimeout{150};
/// Timeout for the response to a health check, which waits for a slot like any other request.
constexpr milliseconds HealthTimeout{300};
constexpr std::size_t MaxHealthBytes = 65'536;
/// How long the connection of an answered health check is kept for a request.
constexpr milliseconds HealthMaxIdleTime{300};
/// Pause after the first health check without a response, and its maximum; it doubles with each one.
constexpr milliseconds FirstHealthPause{50};
constexpr milliseconds MaxHealthPause{1000};
/// Health checks without a response after which requests that wait at the upstream are sent elsewhere: a
/// single one may have been lost on the network.
constexpr int ChecksBeforeRetry = 2;

enum class HealthResult {
    Answered,
    /// The upstream's process has ended.
    Refused,
    NoAnswer,
};

/// Checks the health of an upstream on a new connection, and sets `head` if a response arrives.
HealthResult checkHealth(HttpClient &client, const UpstreamEntry &entry, std::string_view path,
                         std::optional<HttpHead> &head, const std::string &source, const Fiber &fiber)
{
    if (!client.connect(entry.address, HealthConnectTimeout, fiber, source))
        return client.timedOut() ? HealthResult::NoAnswer : HealthResult::Refused;
    auto response = client.call({.target = path}, MaxHealthBytes, HealthTimeout, fiber);
    if (response && !response->head.keepAlive)
        client.close();
    if (response)
        head = std::move(response->head);
    return response || !client.timedOut() ? HealthResult::Answered : HealthResult::NoAnswer;
}

} // namespace

void Router::handleUnreachable(const std::string &upstream, bool refused)
{
    const Instant time = now();
    const UpstreamRecord *record = m_state.catalog.find(upstream);
    // An instance that reaches no upstream can't tell what has become of one.
    if (record != nullptr && m_state.upstreamReach.isCutOff(record->entry.service))
        return;
    m_state.connections.close(upstream);
    // A timeout may also come from a fault of this instance's own network; only a refused connection proves
    // that the upstream process has ended.
    if (!refused) {
        m_state.silenceDetector.suspect(upstream, time);
        return;
    }
    // After a long silence it is unknown when the process ended, and usually many ended together.
    const bool wasHeard = m_state.silenceDetector.silence(upstream, time) <= CrashTracker::AttributionWindow;
    m_state.catalog.suspectRestart(upstream, time);
    m_state.prefixCacheIndex.forget(upstream);
    const std::string incarnation = std::to_string(record != nullptr ? record->entry.startUnixMs : 0);
    const std::size_t running = m_state.crashTracker.recordCrash(upstream, incarnation, time, wasHeard);
    if (running == 0)
        return;
    log(LogLevel::Warning, "upstream-crashed",
        {{"upstream", upstream},
         {"incarnation", record != nullptr ? std::to_string(record->incarnationKey) : std::string()},
         {"running", static_cast<std::int64_t>(running)}});
    if (m_state.notifyPeers)
        m_state.notifyPeers();
}

void Router::probe(const std::string &upstream, const std::string &address, const Fiber &fiber)
{
    // A broken connection may mean that the upstream has crashed or only that this connection failed; opening
    // a new one shows which. The caller gets its response only after that, so that all peers know of a
    // request that crashes upstreams before it can be retried or resent.
    if (!m_probedUpstreams.insert(upstream).second)
        return;
    for (int probes = 0; probes < MaxProbes; ++probes) {
        auto client = std::make_unique<HttpClient>();
        if (!client->connect(address, ProbeConnectTimeout, fiber, m_settings.sourceAddress)) {
            m_state.outlierDetector.record(upstream, AttemptResult::Unreachable, now());
            if (const UpstreamRecord *record = m_state.catalog.find(upstream))
                m_state.upstreamReach.recordUnreached(record->entry.service, upstream, now());
            handleUnreachable(upstream, !client->timedOut());
            break;
        }
        sleepFor(ProbeSettleTime, fiber);
        if (client->isIdle()) {
            m_state.connections.release(upstream, std::move(client), ProbeMaxIdleTime, now());
            break;
        }
    }
    m_probedUpstreams.erase(upstream);
}

std::unique_ptr<HttpClient> Router::openProbe(const UpstreamEntry &entry, const Fiber &fiber)
{
    auto client = std::make_unique<HttpClient>();
    if (!client->connect(entry.address, HealthConnectTimeout, fiber, m_settings.sourceAddress))
        return nullptr;
    sleepFor(ProbeSettleTime, fiber);
    return client->isIdle() ? std::move(client) : nullptr;
}

bool Router::probeService(const std::string &service, std::size_t count, const Fiber &fiber)
{
    std::vector<UpstreamEntry> entries;
    for (const UpstreamRecord *record : m_state.catalog.usableUpstreams(service))
        entries.push_back(record->entry);
    // Those to which no connection has failed yet come first.
    std::shuffle(entries.begin(), entries.end(), std::minstd_rand(static_cast<unsigned>(now().count())));
    std::stable_partition(entries.begin(), entries.end(), [&](const UpstreamEntry &entry) {
        return !m_state.upstreamReach.isUnreached(service, entry.id);
    });
    for (std::size_t i = 0; i < std::min(count, entries.size()); ++i) {
        auto client = openProbe(entries[i], fiber);
        if (client) {
            m_state.upstreamReach.recordReached(service);
            m_state.connections.release(entries[i].id, std::move(client), ProbeMaxIdleTime, now());
            return true;
        }
        m_state.upstreamReach.recordUnreached(service, entries[i].id, now());
    }
    return false;
}

void Router::verifyReach(const std::string &service, const Fiber &fiber)
{
    /// Number of further upstreams that must be out of reach to confirm that none is reached.
    constexpr std::size_t ConfirmingProbes = 2;
    /// Pause between two probes of a service of which no upstream is reached.
    constexpr milliseconds ReachProbePause{250};
    const Instant start = now();
    bool isReached = probeService(service, ConfirmingProbes, fiber);
    if (!isReached) {
        m_state.upstreamReach.confirm(service);
        log(LogLevel::Warning, "upstreams-out-of-reach", {{"service", service}});
    }
    const auto isCutOff = [&] { return m_state.upstreamReach.isCutOff(service); };
    while (isCutOff()) {
        sleepFor(ReachProbePause, fiber);
        isReached = isCutOff() && probeService(service, 1, fiber);
    }
    m_verifiedServices.erase(service);
    // What was seen of the upstreams meanwhile says nothing about them.
    for (const UpstreamRecord *record : m_state.catalog.usableUpstreams(service)) {
        m_state.silenceDetector.dismiss(record->entry.id);
        m_state.outlierDetector.forgive(record->entry.id);
    }
    log(LogLevel::Info, "upstreams-reached",
        {{"service", service},
         {"outOfReachMs", std::chrono::duration<double, std::milli>(now() - start).count()}});
}

void Router::monitorUpstreams(boost::asio::io_context &io, const Fiber &fiber)
{
    for (;;) {
        sleepFor(SilenceDetector::CheckPeriod, fiber);
        for (const std::string &upstream : m_state.silenceDetector.detect(now()))
            startFiber(io, [this, upstream](const Fiber &checking) { verifySilence(upstream, checking); });
        const auto &table = m_state.catalog.table();
        if (!table)
            continue;
        for (const auto &[service, settings] : table->services) {
            if (m_state.upstreamReach.isSuspected(service, m_state.catalog.usableUpstreams(service).size(),
                                                  now())
                && m_verifiedServices.insert(service).second)
                startFiber(
                    io, [this, service = service](const Fiber &checking) { verifyReach(service, checking); });
        }
    }
}

void Router::verifySilence(const std::string &upstream, const Fiber &fiber)
{
    SilenceDetector &detector = m_state.silenceDetector;
    const Instant start = now();
    const Instant silence = detector.silence(upstream, start);
    milliseconds pause = FirstHealthPause;
    std::string_view outcome = "answered";
    int checks = 0;
    InterruptibleSleep permitSleep;
    while (detector.isSuspected(upstream)) {
        const UpstreamRecord *record = m_state.catalog.find(upstream);
        if (record == nullptr) {
            outcome = "gone";
            detector.dismiss(upstream);
            break;
        }
        // The record may change while the check waits.
        const UpstreamEntry entry = record->entry;
        const std::string path = healthPath(entry.service);
        // A health check takes a slot like any other request.
        if (pausedUntil(*record, now()) || !acquirePermit(upstream, MaxHealthPause, 0, permitSleep, fiber)) {
            sleepFor(pause, fiber);
            continue;
        }
        auto client = std::make_unique<HttpClient>();
        ++checks;
        std::optional<HttpHead> head;
        const HealthResult result = checkHealth(*client, entry, path, head, m_settings.sourceAddress, fiber);
        if (head)
            m_state.upstreamReach.recordReached(entry.service);
        else
            m_state.upstreamReach.recordUnreached(entry.service, upstream, now());
        if (head)
            recordStatements(upstream, entry.startUnixMs, m_protocol.interpret(*head, {}));
        if (result == HealthResult::Answered) {
            detector.recordBytes(upstream, now());
            if (client->isIdle())
                m_state.connections.release(upstream, std::move(client), HealthMaxIdleTime, now());
        } else if (result == HealthResult::Refused) {
            outcome = "refused";
            m_state.outlierDetector.record(upstream, AttemptResult::Unreachable, now());
            handleUnreachable(upstream, true);
            detector.dismiss(upstream);
        } else if (detector.isSuspected(upstream)) {
            recordSilence(upstream, silence);
            const Instant silentFor = silence + now() - start;
            if (checks >= ChecksBeforeRetry && silentFor >= SilenceDetector::ToleratedSilence)
                retryElsewhere(upstream);
            else if (silentFor + pause > SilenceDetector::ToleratedSilence)
                pause = std::chrono::ceil<milliseconds>(
                    std::max<Instant>(SilenceDetector::ToleratedSilence - silentFor, FirstHealthPause));
            sleepFor(pause, fiber);
            pause = std::min(2 * pause, MaxHealthPause);
        }
    }
    detector.endVerification(upstream);
    log(LogLevel::Info, "silence-ended",
        {{"upstream", upstream},
         {"outcome", std::string(outcome)},
         {"checks", static_cast<std::int64_t>(checks)},
         {"silentMs", std::chrono::duration<double, std::milli>(silence + now() - start).count()}});
}

std::string Router::healthPath(std::string_view serviceName) const
{
    const auto &table = m_state.catalog.table();
    if (table) {
        const auto service = table->services.find(serviceName);
        if (service != table->services.end() && !service->second.healthPath.empty())
            return service->second.healthPath;
    }
    return "/";
}

void Router::recordSilence(const std::string &upstream, Instant silence)
{
    if (m_state.silenceDetector.isSilent(upstream))
        return;
    m_state.silenceDetector.recordUnanswered(upstream);
    m_state.connections.close(upstream);
    log(LogLevel::Warning, "upstream-silent",
        {{"upstream", upstream}, {"silentMs", std::chrono::duration<double, std::milli>(silence).count()}});
    if (m_state.notifyPeers)
        m_state.notifyPeers();
}

void Router::retryElsewhere(const std::string &upstream)
{
    const auto [begin, end] = m_attemptsInProgress.equal_range(upstream);
    for (auto item = begin; item != end; ++item) {
        auto &[context, attempt] = item->second;
        // Without a free upstream elsewhere the request keeps waiting, since the silence may end.
        const auto candidates = collectCandidates(*context, now());
        const bool hasFreeUpstream = std::any_of(candidates.begin(), candidates.end(),
                                                 [](const auto &other) { return !other.rateLimited; });
        const bool canBeHandedOver =
            !context->handedOver && !context->responseStarted && reachesNone(*context);
        // While two attempts run, each is the retry of the other one.
        if (attempt->retryGranted || context->attemptsRace || (!hasFreeUpstream && !canBeHandedOver))
            continue;
        attempt->verdict = Verdict::MayHaveRun;
        if (!mayRetry(*context, *attempt))
            continue;
        attempt->retryGranted = true;
        attempt->client->reset();
    }
}

} // namespace chestnutsill
