#include "daemon/entrynode.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/httpserver.h"
#include "chestnutsill/observe/log.h"
#include "daemon/fleetlink.h"
#include "daemon/identity.h"
#include "daemon/statetext.h"
#include "daemon/storewatch.h"
#include "platform/published.h"
#include "platform/wire.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace chestnutsill {

namespace {

/// Time that a watch of the store waits: a call of each instance proves the configuration so often.
constexpr milliseconds WatchWait{1500};
/// Keys are refused this much before the platform's bound, for changes that a watch is late to tell.
constexpr milliseconds KeyAgeMargin{500};
/// How long callers keep a directory answer; some keep it three times as long.
constexpr milliseconds DirectoryLife{1000};
/// How long a leaving instance takes requests of callers that still hold its address, in parts of the grace
/// time.
constexpr double TakeRequestsPart = 0.4;
/// When a leaving instance stops at the latest, in parts of the grace time.
constexpr double StopPart = 0.95;
constexpr milliseconds DrainPoll{50};
constexpr milliseconds HousekeepingPeriod{250};
constexpr milliseconds TableTimeout{1000};
/// How long a newer table that peers tell of may take to come from the store.
constexpr milliseconds TablePatience{300};
/// Housekeeping periods between two looks at the settings file.
constexpr int SettingsTurns = 4;
constexpr std::string_view TablePath = "/table";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view StatePath = "/state";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

RouterSettings routerSettings(const platform::ProcessSettings &settings)
{
    RouterSettings router{settings.instance, settings.zone, settings.bounds.maxKeyConfirmationAge,
                          settings.bounds.maxApplyTime};
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

/// The contents of a file; empty when it can't be read.
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

milliseconds partOf(milliseconds time, double part)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(time.count()) * part));
}

} // namespace

class EntryNode::Impl
{
public:
    Impl(const platform::ProcessSettings &settings, std::string settingsPath, int metricsPort)
        : m_settings(settings)
        , m_settingsPath(std::move(settingsPath))
        , m_settingsText(settingsText(m_settingsPath))
        , m_incarnation(randomNumber())
        , m_io(1)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_state(settings.instance, settings.zone, strengthOf(settings.cpuShare, settings.linkMbps),
                  {settings.bounds.retryRatio, settings.bounds.retrySlack, settings.bounds.retryWindow})
        , m_router(routerSettings(settings), platform::protocolAdapter(), m_state)
        , m_store(settings.storeAddress, WatchWait, m_state,
                  {[this](std::string_view text) { applyTable(text); },
                   [this] { return m_state.membership.feedCandidates(now()); }, [this] { m_feed.wake(); }})
        , m_feed([this](std::uint64_t after) { return m_store.feedAnswer(after); })
        , m_fleet(m_io, peerAddress(settings.ip, settings), seedAddresses(settings), m_state,
                  {[this] { return self(); }, [this] { return m_store.revision(); },
                   [this] { return m_store.followedFor(now()); },
                   [this](const std::string &peer, std::uint64_t version) { fetchTable(peer, version); },
                   [this](std::uint64_t revision) { m_store.noteNewer(revision); }})
        , m_callers(
              m_io, settings.callerListen, [this] { return callerLimits(); },
              [this](Exchange &exchange, const Fiber &fiber) { m_router.handle(exchange, fiber); })
        , m_readiness(m_io, settings.readinessListen, HttpLimits{},
                      [this](Exchange &exchange, const Fiber &fiber) { answerReadiness(exchange, fiber); })
        , m_directory(m_io, settings.directoryListen, HttpLimits{},
                      [this](Exchange &exchange, const Fiber &fiber) { answerDirectory(exchange, fiber); })
        , m_peers(m_io, peerAddress(settings.ip, settings), HttpLimits{},
                  [this](Exchange &exchange, const Fiber &fiber) { answerPeer(exchange, fiber); })
        , m_operators(m_io, settings.ip + ':' + std::to_string(metricsPort), HttpLimits{},
                      [this](Exchange &exchange, const Fiber &fiber) { answerOperator(exchange, fiber); })
    {}

    void run()
    {
        m_state.notifyPeers = [this] { m_fleet.beat(); };
        startFiber(m_io, [this](const Fiber &fiber) { m_store.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_fleet.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { keepHouse(fiber); });
        waitForSignal();
        log(LogLevel::Info, "started",
            {{"listen", m_settings.callerListen}, {"incarnation", std::to_string(m_incarnation)}});
        m_io.run();
    }

private:
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

    void applyTable(std::string_view text)
    {
        ValidationErrors faults;
        auto table = platform::parseTable(text, faults);
        if (!table) {
            log(LogLevel::Error, "configuration-refused",
                {{"field", faults[0].path}, {"reason", faults[0].message}});
            return;
        }
        const std::uint64_t version = table->version;
        if (!m_state.catalog.applyTable(std::move(table)))
            return;
        m_tableText = text;
        log(LogLevel::Info, "configuration-in-force",
            {{"configVersion", static_cast<std::int64_t>(version)}});
    }

    /// Reads a newer table from a peer, one at a time.
    void fetchTable(const std::string &peer, std::uint64_t version)
    {
        if (m_heardVersion < version) {
            m_heardVersion = version;
            m_heardVersionAt = now();
        }
        // While the store can be followed it brings the table itself, soon and without a second copy on the
        // links.
        const bool isLate = now() - m_heardVersionAt > TablePatience;
        if (m_fetching || (m_store.followedFor(now()) > milliseconds(0) && !isLate))
            return;
        m_fetching = true;
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
            m_fetching = false;
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
        respondJson(exchange, status, platform::directoryResponseBody(addresses, DirectoryLife), fiber);
    }

    void answerPeer(Exchange &exchange, const Fiber &fiber)
    {
        if (!exchange.request().error && exchange.request().target.starts_with(FeedPath)) {
            m_feed.serve(exchange, fiber);
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
            exchange.respond(StatusOk, "text/plain; version=0.0.4", m_state.metrics.exposition(), {}, fiber);
        else if (!request.error && request.target == StatePath)
            respondJson(exchange, StatusOk, stateText(m_state, now()), fiber);
        else
            respondJson(exchange, StatusNotFound, "{}", fiber);
    }

    void keepHouse(const Fiber &fiber)
    {
        for (int turn = 1;; ++turn) {
            sleepFor(HousekeepingPeriod, fiber);
            m_state.catalog.removeExpired(now());
            m_state.connections.expire(now());
            // The settings may change without a signal.
            if (turn % SettingsTurns == 0 && settingsText(m_settingsPath) != m_settingsText)
                reload();
        }
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else if (!m_state.leaving)
                startFiber(m_io, [this](const Fiber &fiber) { leave(fiber); });
            waitForSignal();
        });
    }

    void reload()
    {
        ValidationErrors faults;
        m_settingsText = settingsText(m_settingsPath);
        const auto settings = platform::parseSettings(m_settingsText, faults);
        log(settings ? LogLevel::Info : LogLevel::Error, "settings-read-again",
            {{"reason", faults.empty() ? std::string() : faults[0].path + ' ' + faults[0].message}});
        if (!settings)
            return;
        // Addresses that are listened on stay as they were until the next start.
        m_settings.bounds = settings->bounds;
        m_settings.seedIps = settings->seedIps;
        m_router.setSettings(routerSettings(m_settings));
        m_fleet.setSeeds(seedAddresses(m_settings));
    }

    void leave(const Fiber &fiber)
    {
        m_state.leaving = true;
        m_fleet.beat();
        const Instant start = now();
        log(LogLevel::Info, "leaving",
            {{"graceMs", static_cast<std::int64_t>(m_settings.bounds.terminationGrace.count())}});
        sleepFor(partOf(m_settings.bounds.terminationGrace, TakeRequestsPart), fiber);
        m_state.rejectsRequests = true;
        const Instant end = start + partOf(m_settings.bounds.terminationGrace, StopPart);
        while (m_callers.activeRequests() > 0 && now() < end)
            sleepFor(DrainPoll, fiber);
        log(LogLevel::Info, "stopped", {{"cut", static_cast<std::int64_t>(m_callers.activeRequests())}});
        m_io.stop();
    }

    platform::ProcessSettings m_settings;
    const std::string m_settingsPath;
    /// The settings file as it was last read.
    std::string m_settingsText;
    const std::uint64_t m_incarnation;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    RouterState m_state;
    Router m_router;
    StoreWatch m_store;
    FeedServer m_feed;
    FleetLink m_fleet;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_directory;
    HttpServer m_peers;
    HttpServer m_operators;
    /// The table in force as published, for peers.
    std::string m_tableText;
    bool m_fetching = false;
    /// The highest version that peers have told of, and when it was first heard of.
    std::uint64_t m_heardVersion = 0;
    Instant m_heardVersionAt{};
    std::uint64_t m_directoryAnswers = 0;
};

EntryNode::EntryNode(const platform::ProcessSettings &settings, std::string settingsPath, int metricsPort)
    : m_impl(std::make_unique<Impl>(settings, std::move(settingsPath), metricsPort))
{}

EntryNode::~EntryNode() = default;

void EntryNode::run()
{
    m_impl->run();
}

std::optional<platform::ProcessSettings> readSettingsFile(const std::string &path, ValidationErrors &faults)
{
    const std::string text = settingsText(path);
    if (text.empty()) {
        faults.push_back({"$", "can't be read from " + path});
        return std::nullopt;
    }
    return platform::parseSettings(text, faults);
}

} // namespace chestnutsill
