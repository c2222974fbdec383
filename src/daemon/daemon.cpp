#include "daemon/daemon.h"

#include "chestnutsill/net/httpserver.h"
#include "chestnutsill/observe/log.h"
#include "daemon/admin.h"
#include "daemon/gossip.h"
#include "daemon/pipeline.h"
#include "daemon/platform.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <thread>

namespace chestnutsill {

namespace {

constexpr std::chrono::milliseconds DrainPoll{50};
constexpr std::chrono::milliseconds PeerCallTimeout{1000};

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
        , m_homes(m_io, m_view, m_identity, [this](const CrashReport &crash) { m_suspects.sawCrash(crash); })
        , m_suspects(
              m_homes, [this](const CrashReport &crash) { tellCrash(crash); },
              [this](std::uint64_t fingerprint) { tellCleared(fingerprint); })
        , m_capacity(m_io, m_view, m_homes, m_identity)
        , m_gossip(m_view, m_homes, m_capacity, m_identity, m_leaving)
        , m_peers(settings.peerListen, peerHandlers())
        , m_pipeline(
              {m_io, m_identity, m_view, m_capacity, m_owner, m_suspects, m_metrics, m_peers, m_closed})
        , m_admin{m_identity,
                  settings.hold,
                  m_view,
                  m_homes,
                  m_capacity,
                  m_owner,
                  m_suspects,
                  m_metrics,
                  m_gossip,
                  m_leaving,
                  [this] { return m_server->activeRequests(); },
                  m_peers}
    {
        m_capacity.setPeers(&m_peers);
        m_gossip.setPeers(&m_peers);
        m_peersReady = true;
        m_server.emplace(m_io, settings.listen, makeLimits(settings),
                         [this](Exchange &exchange, const Fiber &fiber) { serveCaller(exchange, fiber); });
        m_adminServer.emplace(
            m_io, settings.adminListen, HttpLimits{},
            [this](Exchange &exchange, const Fiber &fiber) { handleAdmin(m_admin, exchange, fiber); });
    }

    void run()
    {
        startFiber(m_io, [this](const Fiber &fiber) {
            watchConfiguration(m_view, m_settings.configService, fiber);
        });
        startFiber(m_io,
                   [this](const Fiber &fiber) { readInstanceList(m_view, m_settings.instanceList, fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_homes.run(fiber); });
        startFiber(m_io, [this](const Fiber &fiber) { m_gossip.run(fiber); });
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
                m_gossip.heard(heartbeat);
            return m_gossip.own();
        };
        handlers.configuration = [this] { return m_view.published(); };
        handlers.ask = [this](const std::string &pool, SlotRequest request, Homes::Done done) {
            m_homes.ask(pool, std::move(request), std::move(done));
        };
        handlers.release = [this](const std::string &pool, const Release &ended) {
            m_homes.release(pool, ended);
        };
        handlers.adopt = [this](const HeldSlot &held) { m_homes.adopt(held); };
        handlers.forward = [this](ForwardedRequest request, std::function<void(Answer)> done) {
            if (m_peersReady)
                m_pipeline.handleForwarded(std::move(request), std::move(done));
            else
                done(refusal(503, Verdict::MayHaveRun, "starting", "instance", "this instance is starting"));
        };
        handlers.crash = [this](const CrashReport &crash) { m_suspects.heardCrash(crash); };
        handlers.cleared = [this](std::uint64_t fingerprint) { m_suspects.heardCompletion(fingerprint); };
        return handlers;
    }

    void tellCrash(const CrashReport &crash)
    {
        m_gossip.forEachPeer([&](const Member &member) {
            m_peers.crash(member.peerAddress, crash, PeerCallTimeout, [](const auto &) {});
        });
    }

    void tellCleared(std::uint64_t fingerprint)
    {
        m_gossip.forEachPeer([&](const Member &member) {
            m_peers.cleared(member.peerAddress, fingerprint, PeerCallTimeout, [](const auto &) {});
        });
    }

    void serveCaller(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        if (!request.error && request.method == "GET" && request.target == "/v1/addresses")
            exchange.respond(200, "application/json", addressAnswer(m_admin), {}, fiber);
        else
            m_pipeline.handle(exchange, fiber);
    }

    void drain(const Fiber &fiber)
    {
        m_leaving = true;
        log(LogLevel::Info, "leaving", {{"drainMs", m_settings.drain.count()}});
        sleepFor(m_settings.drain, fiber);
        m_closed = true;
        while (m_server->activeRequests() + m_pipeline.forwardedRequests() > 0 || m_capacity.heldCount() > 0)
            sleepFor(DrainPoll, fiber);
        m_server->stopAccepting();
        sleepFor(DrainPoll, fiber);
        log(LogLevel::Info, "stopped", {});
        m_io.stop();
    }

    const Settings m_settings;
    const Identity m_identity;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_closed = false;
    std::atomic<bool> m_peersReady = false;
    Metrics m_metrics;
    ClusterView m_view;
    Owner m_owner;
    Homes m_homes;
    SuspectRegistry m_suspects;
    Capacity m_capacity;
    Gossip m_gossip;
    PeerNode m_peers;
    Pipeline m_pipeline;
    AdminParts m_admin;
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
