#include "daemon/daemon.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/httpserver.h"
#include "chestnutsill/observe/log.h"
#include "daemon/admin.h"
#include "daemon/controlplane.h"
#include "daemon/memorywatch.h"
#include "daemon/pipeline.h"
#include "daemon/rpcheartbeats.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <thread>

namespace chestnutsill {

namespace {

constexpr std::chrono::milliseconds DrainPollInterval{50};
constexpr std::chrono::milliseconds PeerCallTimeout{1000};
constexpr std::chrono::milliseconds MemoryCheckPeriod{250};

Identity makeIdentity(const Settings &settings)
{
    return {settings.name, settings.zone, settings.listen, randomNumber()};
}

HttpLimits makeLimits(const Settings &settings)
{
    HttpLimits limits;
    limits.maxBody = settings.maxBody;
    limits.readTimeout = settings.readTimeout;
    return limits;
}

} // namespace

class Daemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : m_settings(settings)
        , m_identity(makeIdentity(settings))
        , m_io(settings.threads)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_view(m_identity.name)
        , m_localPools(m_io, m_view, m_identity,
                       [this](const CrashReport &crash) { m_crashHistory.recordLocalCrash(crash); })
        , m_crashHistory(
              m_localPools, [this](const CrashReport &crash) { broadcastCrash(crash); },
              [this](std::uint64_t fingerprint) { broadcastCleared(fingerprint); })
        , m_slots(m_io, m_view, m_localPools, m_identity)
        , m_heartbeats(m_view, m_localPools, m_slots, m_identity, m_leaving)
        , m_peers(settings.peerListen, peerHandlers())
        , m_pipeline({m_io, m_identity, m_view, m_slots, m_executor, m_crashHistory, m_metrics, m_peers,
                      m_rejectsRequests})
        , m_admin{m_identity,
                  settings.addressTtl,
                  m_view,
                  m_localPools,
                  m_slots,
                  m_executor,
                  m_crashHistory,
                  m_metrics,
                  m_heartbeats,
                  m_leaving,
                  [this] { return m_server->activeRequests(); },
                  m_peers,
                  [this] { return m_memoryWatch.exposition(); }}
        , m_connectionBudget(makeConnectionBudget(static_cast<std::size_t>(settings.memoryLimitMb) << 20,
                                                  static_cast<std::size_t>(settings.descriptorLimit)))
        , m_memoryWatch(m_connectionBudget)
    {
        m_slots.setPeers(&m_peers);
        m_heartbeats.setPeers(&m_peers);
        m_peersReady = true;
        m_server.emplace(
            m_io, settings.listen, makeLimits(settings),
            [this](Exchange &exchange, const Fiber &fiber) { serveCaller(exchange, fiber); },
            ServerMemory{m_connectionBudget, MemoryBudget::Origin::Caller});
        m_adminServer.emplace(
            m_io, settings.adminListen, HttpLimits{},
            [this](Exchange &exchange, const Fiber &fiber) { handleAdmin(m_admin, exchange, fiber); },
            ServerMemory{m_connectionBudget, MemoryBudget::Origin::Internal});
    }

    void run()
    {
        startFiber(m_io, [this](const Fiber &fiber) {
            watchConfiguration(m_view, m_settings.configService, fiber);
        });
        startFiber(m_io,
                   [this](const Fiber &fiber) { pollInstanceList(m_view, m_settings.instanceList, fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_localPools.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_heartbeats.run(fiber); });
        if (m_connectionBudget) {
            startFiber(m_io, [this](const Fiber &fiber) {
                for (;;) {
                    sleepFor(MemoryCheckPeriod, fiber);
                    m_memoryWatch.check(now());
                }
            });
        }
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error)
                startFiber(m_io, [this](const Fiber &fiber) { drain(fiber); });
        });
        log(LogLevel::Info, "started",
            {{"listen", m_settings.listen}, {"incarnation", std::to_string(m_identity.incarnation)}});
        std::vector<std::jthread> threads;
        for (int i = 1; i < m_settings.threads; ++i)
            threads.emplace_back([this] { m_io.run(); });
        m_io.run();
    }

private:
    PeerHandlers peerHandlers()
    {
        PeerHandlers handlers;
        handlers.heartbeat = [this](const Heartbeat &heartbeat) {
            if (m_peersReady)
                m_heartbeats.handleHeartbeat(heartbeat);
            return m_heartbeats.ownHeartbeat();
        };
        handlers.configuration = [this] { return m_view.published(); };
        handlers.ask = [this](const std::string &pool, SlotRequest request, LocalPools::Done done) {
            m_localPools.requestSlot(pool, std::move(request), std::move(done));
        };
        handlers.release = [this](const std::string &pool, const Release &ended) {
            m_localPools.release(pool, ended);
        };
        handlers.adopt = [this](const HeldSlot &held) { m_localPools.adopt(held); };
        handlers.forward = [this](ForwardedRequest request, std::function<void(Answer)> done) {
            if (m_peersReady)
                m_pipeline.handleForwarded(std::move(request), std::move(done));
            else
                done(refusal(503, Verdict::MayHaveRun, "starting", "instance", "this instance is starting"));
        };
        handlers.crash = [this](const CrashReport &crash) { m_crashHistory.recordPeerCrash(crash); };
        handlers.cleared = [this](std::uint64_t fingerprint) {
            m_crashHistory.recordPeerCompletion(fingerprint);
        };
        return handlers;
    }

    void broadcastCrash(const CrashReport &crash)
    {
        m_heartbeats.forEachPeer([&](const Member &member) {
            m_peers.crash(member.peerAddress, crash, PeerCallTimeout, [](const auto &) {});
        });
    }

    void broadcastCleared(std::uint64_t fingerprint)
    {
        m_heartbeats.forEachPeer([&](const Member &member) {
            m_peers.cleared(member.peerAddress, fingerprint, PeerCallTimeout, [](const auto &) {});
        });
    }

    void serveCaller(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        if (!request.error && request.method == "GET" && request.target == "/v1/addresses")
            exchange.respond(200, "application/json", addressResponseBody(m_admin), {}, fiber);
        else
            m_pipeline.handle(exchange, fiber);
    }

    void drain(const Fiber &fiber)
    {
        m_leaving = true;
        log(LogLevel::Info, "leaving", {{"drainMs", m_settings.drainTime.count()}});
        sleepFor(m_settings.drainTime, fiber);
        m_rejectsRequests = true;
        while (m_server->activeRequests() + m_pipeline.forwardedRequests() > 0 || m_slots.heldCount() > 0)
            sleepFor(DrainPollInterval, fiber);
        m_server->stopAccepting();
        m_server->refuseUnfinished();
        sleepFor(DrainPollInterval, fiber);
        log(LogLevel::Info, "stopped", {});
        m_io.stop();
    }

    const Settings m_settings;
    const Identity m_identity;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_rejectsRequests = false;
    /// Set once all components that handle calls of peers are constructed; `m_peers` listens before that.
    std::atomic<bool> m_peersReady = false;
    Metrics m_metrics;
    ClusterView m_view;
    AtMostOnceExecutor m_executor;
    LocalPools m_localPools;
    SharedCrashHistory m_crashHistory;
    SlotClient m_slots;
    RpcHeartbeats m_heartbeats;
    PeerNode m_peers;
    Pipeline m_pipeline;
    AdminDependencies m_admin;
    /// Null if neither memory nor descriptors are bounded.
    const std::shared_ptr<ConnectionBudget> m_connectionBudget;
    MemoryWatch m_memoryWatch;
    std::optional<HttpServer> m_server;
    std::optional<HttpServer> m_adminServer;
};

Daemon::Daemon(const Settings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{}

Daemon::~Daemon() = default;

void Daemon::run()
{
    m_impl->run();
}

} // namespace chestnutsill
