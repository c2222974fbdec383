#include "daemon/platformdaemon.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/httpserver.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"
#include "chestnutsill/router/handedoverexchange.h"
#include "daemon/identity.h"
#include "daemon/memorywatch.h"
#include "daemon/statetext.h"
#include "daemon/storewatcher.h"
#include "daemon/udpgossip.h"
#include "platform/published.h"
#include "platform/wire.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace chestnutsill {

namespace {

/// Duration of a long poll of the store. Each poll confirms that the configuration is current, so an instance
/// that polls the store renews its confirmation about this often.
constexpr milliseconds LongPollDuration{1500};
/// API keys are refused this long before their confirmation reaches the platform's maximum age, because a
/// long poll may report a change late.
constexpr milliseconds KeyAgeMargin{500};
/// How long callers may cache a directory response; some cache it for three times as long.
constexpr milliseconds DirectoryTtl{1000};
/// How long callers connect because of a directory response, as a multiple of its time.
constexpr int DirectoryTtlsUsed = 3;
/// How long peers may go on naming a leaving instance, and responses that do are on their way.
constexpr milliseconds DirectoryLag{200};
constexpr milliseconds DrainPollInterval{50};
constexpr milliseconds FinalPollInterval{5};
constexpr milliseconds HousekeepingPeriod{250};
constexpr milliseconds TableTimeout{1000};
/// How long to wait for the store to deliver a newer table that a peer has announced, before fetching it from
/// that peer.
constexpr milliseconds TableFetchDelay{300};
/// Housekeeping periods between two checks of the settings file.
constexpr int SettingsCheckPeriods = 4;
/// One in this many of the file descriptors is for connections to upstreams that are kept for reuse.
constexpr std::size_t IdleConnectionShare = 10;
constexpr std::string_view TablePath = "/table";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view StatePath = "/state";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

RouterSettings routerSettings(const platform::ProcessSettings &settings, const PlatformFlags &flags)
{
    RouterSettings router{settings.instance,
                          settings.zone,
                          settings.platformLimits.maxKeyConfirmationAge,
                          settings.platformLimits.maxApplyTime,
                          flags.sourceAddress,
                          flags.gapBudget,
                          flags.dispatchQueue == "on",
                          flags.hedgeRatio};
    if (router.maxKeyConfirmationAge)
        router.maxKeyConfirmationAge =
            std::max(*router.maxKeyConfirmationAge - KeyAgeMargin, milliseconds(0));
    return router;
}

std::string peerAddress(const std::string &ip, const platform::ProcessSettings &settings)
{
    return ip + ':' + std::to_string(settings.firstPeerPort);
}

std::vector<std::string> seedAddresses(const platform::ProcessSettings &settings)
{
    std::vector<std::string> addresses;
    for (const std::string &ip : settings.seedIps)
        addresses.push_back(peerAddress(ip, settings));
    return addresses;
}

std::size_t memoryBytes(const platform::ProcessSettings &settings, const PlatformFlags &flags)
{
    return flags.memoryLimitMb ? static_cast<std::size_t>(*flags.memoryLimitMb) << 20 : settings.memoryBytes;
}

std::size_t descriptors(const platform::ProcessSettings &settings, const PlatformFlags &flags)
{
    return flags.descriptorLimit ? static_cast<std::size_t>(*flags.descriptorLimit)
                                 : settings.fileDescriptors;
}

/// Returns the contents of a file; empty when it cannot be read.
std::string settingsText(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

void respondJson(Exchange &exchange, int status, std::string_view body, const Fiber &fiber)
{
    exchange.respond(status, "application/json", body, {}, fiber);
}

} // namespace

class PlatformDaemon::Impl
{
public:
    Impl(const platform::ProcessSettings &settings, std::string settingsPath, const PlatformFlags &flags)
        : m_settings(settings)
        , m_flags(flags)
        , m_settingsPath(std::move(settingsPath))
        , m_settingsText(settingsText(m_settingsPath))
        , m_incarnation(randomNumber())
        , m_io(1)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_state(settings.instance, settings.zone, strengthOf(settings.cpuShare, settings.linkMbps),
                  {settings.platformLimits.retryRatio, settings.platformLimits.retrySlack,
                   settings.platformLimits.retryWindow})
        , m_router(routerSettings(settings, flags), platform::protocolAdapter(), m_state)
        , m_storeWatcher(settings.storeAddress, LongPollDuration, m_state,
                         {[this](std::string_view text) { applyTable(text); },
                          [this] { return m_state.membership.feedCandidates(now()); },
                          [this] { return m_router.isKeyFresh(); }, [this] { m_feedServer.wake(); }})
        , m_feedServer([this](StoreRevision after) { return m_storeWatcher.feedAnswer(after); })
        , m_gossip(m_io, peerAddress(settings.ip, settings), seedAddresses(settings), m_state,
                   {[this] { return self(); }, [this] { return m_storeWatcher.revision(); },
                    [this] { return m_storeWatcher.followedFor(now()); },
                    [this](const std::string &peer, std::uint64_t version) { fetchTable(peer, version); },
                    [this](StoreRevision revision) { m_storeWatcher.recordPeerRevision(revision); }})
        , m_connectionBudget(makeConnectionBudget(memoryBytes(settings, flags), descriptors(settings, flags)))
        , m_memoryWatch(m_connectionBudget)
        , m_callerServer(
              m_io, settings.callerListen, [this] { return callerLimits(); },
              [this](Exchange &exchange, const Fiber &fiber) { m_router.handle(exchange, fiber); },
              {m_connectionBudget, MemoryBudget::Origin::Caller})
        , m_readinessServer(
              m_io, settings.readinessListen, HttpLimits{},
              [this](Exchange &exchange, const Fiber &fiber) { answerReadiness(exchange, fiber); },
              internalMemory())
        , m_directoryServer(
              m_io, settings.directoryListen, HttpLimits{},
              [this](Exchange &exchange, const Fiber &fiber) { answerDirectory(exchange, fiber); },
              internalMemory())
        , m_peerServer(
              m_io, peerAddress(settings.ip, settings), [this] { return peerLimits(); },
              [this](Exchange &exchange, const Fiber &fiber) { answerPeer(exchange, fiber); },
              internalMemory())
        , m_operatorServer(
              m_io, settings.ip + ':' + std::to_string(flags.metricsPort), HttpLimits{},
              [this](Exchange &exchange, const Fiber &fiber) { answerOperator(exchange, fiber); },
              internalMemory())
    {
        if (const std::size_t limit = descriptors(settings, flags); limit > 0)
            m_state.connections.setMaxIdle(limit / IdleConnectionShare);
    }

    void run()
    {
        m_state.upstreamSpeeds.setEnabled(m_flags.upstreamSpeeds);
        m_state.notifyPeers = [this] { m_gossip.sendRound(); };
        m_state.requestPermit = [this](const std::string &address, const PermitRequest &request,
                                       const Fiber &fiber) {
            return m_gossip.requestPermit(address, request, fiber);
        };
        m_state.tellOrigin = [this](std::uint64_t stream, const StreamOrigin &origin) {
            m_gossip.tellOrigin(stream, origin);
        };
        m_state.requestOrigin = [this](std::uint64_t stream, const Fiber &fiber) {
            return m_gossip.requestOrigin(stream, fiber);
        };
        startFiber(m_io, [this](const Fiber &fiber) { m_storeWatcher.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_gossip.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_router.monitorUpstreams(m_io, fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { runHousekeeping(fiber); });
        waitForSignal();
        log(LogLevel::Info, "started",
            {{"listen", m_settings.callerListen}, {"incarnation", std::to_string(m_incarnation)}});
        m_io.run();
    }

private:
    [[nodiscard]] ServerMemory internalMemory() const
    {
        return {m_connectionBudget, MemoryBudget::Origin::Internal};
    }

    [[nodiscard]] bool isServing() const { return !m_state.leaving && m_state.catalog.table() != nullptr; }

    [[nodiscard]] InstanceStatus self() const
    {
        return {m_settings.instance,
                m_incarnation,
                m_settings.zone,
                m_settings.callerListen,
                peerAddress(m_settings.ip, m_settings),
                isServing(),
                milliseconds(0),
                strengthOf(m_settings.cpuShare, m_settings.linkMbps)};
    }

    [[nodiscard]] HttpLimits callerLimits() const
    {
        HttpLimits limits;
        if (const auto &table = m_state.catalog.table()) {
            limits.maxHead = table->limits.maxHead;
            limits.maxBody = table->limits.maxBody;
            limits.headTimeout = table->limits.headTimeout;
            limits.idleTimeout = table->limits.idleTimeout;
        }
        return limits;
    }

    /// Peers hand over requests that are as large as those of callers, with a few fields more.
    [[nodiscard]] HttpLimits peerLimits() const
    {
        constexpr std::size_t HandOverHeadBytes = 16'384;
        const HttpLimits ofCallers = callerLimits();
        HttpLimits limits;
        limits.maxHead = std::max(limits.maxHead, 2 * ofCallers.maxHead + HandOverHeadBytes);
        limits.maxBody = std::max(limits.maxBody, ofCallers.maxBody);
        return limits;
    }

    void applyTable(std::string_view text)
    {
        ValidationErrors errors;
        auto table = platform::parseTable(text, errors);
        if (!table) {
            log(LogLevel::Error, "configuration-refused",
                {{"field", errors[0].path}, {"reason", errors[0].message}});
            return;
        }
        const std::uint64_t version = table->version;
        if (!m_state.catalog.applyTable(std::move(table)))
            return;
        m_tableText = text;
        m_state.membership.setServing(isServing());
        log(LogLevel::Info, "configuration-in-force",
            {{"configVersion", static_cast<std::int64_t>(version)}});
    }

    /// Fetches a newer table from a peer unless the store is expected to deliver it. At most one fetch runs
    /// at a time.
    void fetchTable(const std::string &peer, std::uint64_t version)
    {
        if (m_newestPeerVersion < version) {
            m_newestPeerVersion = version;
            m_newestPeerVersionAt = now();
        }
        // A reachable store normally delivers the table itself within `TableFetchDelay`; fetching it from a
        // peer too would transfer it twice.
        const bool isLate = now() - m_newestPeerVersionAt > TableFetchDelay;
        if (m_fetchingTable || (m_storeWatcher.followedFor(now()) > milliseconds(0) && !isLate))
            return;
        m_fetchingTable = true;
        startFiber(m_io, [this, peer, version](const Fiber &fiber) {
            std::string reason;
            const auto response = fetch(peer, {.target = TablePath}, TableTimeout, fiber, reason);
            if (response && response->head.status == StatusOk)
                applyTable(response->body);
            else
                log(LogLevel::Warning, "configuration-from-peer-failed",
                    {{"peer", peer},
                     {"configVersion", static_cast<std::int64_t>(version)},
                     {"reason", reason}});
            m_fetchingTable = false;
        });
    }

    void answerReadiness(Exchange &exchange, const Fiber &fiber) const
    {
        const bool known = platform::isReadinessRequest(exchange.request());
        const int status = !known ? StatusNotFound : isServing() ? StatusOk : StatusUnavailable;
        respondJson(exchange, status, "{}", fiber);
    }

    void answerDirectory(Exchange &exchange, const Fiber &fiber)
    {
        if (!platform::isDirectoryRequest(exchange.request())) {
            respondJson(exchange, StatusNotFound, "{}", fiber);
            return;
        }
        auto instances = m_state.membership.alive(now());
        instances.push_back(self());
        const auto addresses = callerAddresses(std::move(instances), ++m_directoryAnswers);
        const int status = addresses.empty() ? StatusUnavailable : StatusOk;
        respondJson(exchange, status, platform::directoryResponseBody(addresses, DirectoryTtl), fiber);
    }

    void answerPeer(Exchange &exchange, const Fiber &fiber)
    {
        if (!exchange.request().error && exchange.request().target.starts_with(FeedPath)) {
            m_feedServer.serve(exchange, fiber);
            return;
        }
        if (!exchange.request().error && exchange.request().target == HandOverPath) {
            HandedOverExchange handedOver(exchange);
            ++m_handedOverRequests;
            m_router.handleHandedOver(handedOver, fiber);
            --m_handedOverRequests;
            return;
        }
        if (!exchange.request().error && exchange.request().target == TablePath && !m_tableText.empty())
            respondJson(exchange, StatusOk, m_tableText, fiber);
        else
            respondJson(exchange, StatusNotFound, "{}", fiber);
    }

    void answerOperator(Exchange &exchange, const Fiber &fiber) const
    {
        const HttpRequest &request = exchange.request();
        if (!request.error && request.target == MetricsPath)
            exchange.respond(StatusOk, "text/plain; version=0.0.4",
                             m_state.metrics.exposition() + m_memoryWatch.exposition(), {}, fiber);
        else if (!request.error && request.target == StatePath)
            respondJson(exchange, StatusOk, stateText(m_state, now()), fiber);
        else
            respondJson(exchange, StatusNotFound, "{}", fiber);
    }

    void runHousekeeping(const Fiber &fiber)
    {
        for (int period = 1;; ++period) {
            sleepFor(HousekeepingPeriod, fiber);
            m_state.catalog.removeExpired(now());
            m_state.connections.expire(now());
            m_state.permitIssuer.expire(now());
            m_state.streamOrigins.expire(now());
            m_state.upstreamPauses.expire(now());
            m_state.handOverTargets.expire(now());
            m_state.brittleUpstreams.expire(now());
            expireRateLimits();
            m_memoryWatch.check(now());
            // The file may change without a SIGHUP.
            if (period % SettingsCheckPeriods == 0 && settingsText(m_settingsPath) != m_settingsText)
                reload();
        }
    }

    void expireRateLimits()
    {
        if (m_state.rateLimits.empty())
            return;
        std::vector<std::uint64_t> published;
        for (const auto &[id, record] : m_state.catalog.upstreams())
            published.push_back(stableHash(id));
        m_state.rateLimits.expire(published, now());
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else if (!m_state.leaving)
                leave();
            waitForSignal();
        });
    }

    void reload()
    {
        ValidationErrors errors;
        m_settingsText = settingsText(m_settingsPath);
        const auto settings = platform::parseSettings(m_settingsText, errors);
        log(settings ? LogLevel::Info : LogLevel::Error, "settings-read-again",
            {{"reason", errors.empty() ? std::string() : errors[0].path + ' ' + errors[0].message}});
        if (!settings)
            return;
        // Listen addresses take effect only at the next start.
        m_settings.platformLimits = settings->platformLimits;
        m_settings.seedIps = settings->seedIps;
        m_router.setSettings(routerSettings(m_settings, m_flags));
        m_gossip.setSeeds(seedAddresses(m_settings));
    }

    void leave()
    {
        const milliseconds grace = m_settings.platformLimits.terminationGrace;
        m_state.leaving = leavingSchedule(now(), grace, DirectoryTtlsUsed * DirectoryTtl);
        m_state.membership.setServing(false);
        m_gossip.sendRound();
        log(LogLevel::Info, "leaving", {{"graceMs", static_cast<std::int64_t>(grace.count())}});
        startFiber(m_io, [this](const Fiber &fiber) { drain(fiber); });
    }

    [[nodiscard]] int requestsInProgress() const
    {
        return m_callerServer.activeRequests() + m_handedOverRequests;
    }

    /// Serves until callers no longer use the address and no request is in progress, at the latest until all
    /// requests must have ended. Then answers those that have not, and ends the process.
    void drain(const Fiber &fiber)
    {
        const LeavingSchedule schedule = *m_state.leaving;
        const Instant earliestEnd = schedule.addressesExpire + DirectoryLag;
        while (now() < schedule.requestsEnd && (now() < earliestEnd || requestsInProgress() > 0))
            sleepFor(DrainPollInterval, fiber);
        const int ended = requestsInProgress();
        m_state.leaving->requestsEnd = now();
        m_router.endRequests();
        m_callerServer.refuseUnfinished();
        m_peerServer.refuseUnfinished();
        do {
            sleepFor(FinalPollInterval, fiber);
        } while (now() < schedule.processEnds && requestsInProgress() > 0);
        log(LogLevel::Info, "stopped",
            {{"ended", static_cast<std::int64_t>(ended)},
             {"cut", static_cast<std::int64_t>(requestsInProgress())}});
        m_io.stop();
    }

    platform::ProcessSettings m_settings;
    const PlatformFlags m_flags;
    const std::string m_settingsPath;
    /// Contents of the settings file when it was last read.
    std::string m_settingsText;
    const std::uint64_t m_incarnation;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    RouterState m_state;
    Router m_router;
    StoreWatcher m_storeWatcher;
    FeedServer m_feedServer;
    UdpGossip m_gossip;
    /// Null if neither memory nor descriptors are bounded.
    const std::shared_ptr<ConnectionBudget> m_connectionBudget;
    MemoryWatch m_memoryWatch;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    HttpServer m_peerServer;
    HttpServer m_operatorServer;
    /// Published text of the table in force, served to peers.
    std::string m_tableText;
    bool m_fetchingTable = false;
    /// Number of requests in progress that peers have handed over.
    int m_handedOverRequests = 0;
    /// Newest table version that a peer has announced, and when it was first announced.
    std::uint64_t m_newestPeerVersion = 0;
    Instant m_newestPeerVersionAt{};
    /// Number of directory responses, the seed that selects among equally strong instances.
    std::uint64_t m_directoryAnswers = 0;
};

PlatformDaemon::PlatformDaemon(const platform::ProcessSettings &settings, std::string settingsPath,
                               const PlatformFlags &flags)
    : m_impl(std::make_unique<Impl>(settings, std::move(settingsPath), flags))
{}

PlatformDaemon::~PlatformDaemon() = default;

void PlatformDaemon::run()
{
    m_impl->run();
}

std::optional<platform::ProcessSettings> readSettingsFile(const std::string &path, ValidationErrors &errors)
{
    const std::string text = settingsText(path);
    if (text.empty()) {
        errors.push_back({"$", "cannot be read from " + path});
        return std::nullopt;
    }
    return platform::parseSettings(text, errors);
}

} // namespace chestnutsill
