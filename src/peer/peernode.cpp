#include "chestnutsill/peer/peernode.h"

#include "chestnutsill/clock.h"
#include "impl/convert.h"
#include "impl/kjloop.h"
#include "impl/peerserver.h"

#include <capnp/rpc-twoparty.h>

#include <atomic>
#include <cstring>
#include <map>

namespace chestnutsill {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{500};

kj::Duration toKj(std::chrono::milliseconds time)
{
    return static_cast<std::int64_t>(time.count()) * kj::MILLISECONDS;
}

bool isRefused(const kj::Exception &error)
{
    return std::strstr(error.getDescription().cStr(), std::strerror(ECONNREFUSED)) != nullptr;
}

/// An open connection to a peer.
struct Link
{
    explicit Link(kj::Own<kj::AsyncIoStream> connection)
        : stream(kj::mv(connection))
        , client(*stream)
        , peer(client.bootstrap().castAs<wire::Peer>())
    {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    wire::Peer::Client peer;
};

/// The link to one peer, opened on demand. A failed call closes it, which fails all calls in progress on it.
struct LinkSlot
{
    kj::Maybe<kj::ForkedPromise<void>> opening;
    std::shared_ptr<Link> link;
};

} // namespace

class PeerNode::Impl
{
public:
    Impl(const std::string &address, PeerHandlers handlers)
        : m_handlers(std::move(handlers))
        , m_loop([&](impl::KjLoop::Context &context) { listen(address, context); },
                 [this](impl::KjLoop::Context &) { close(); })
    {}

    /// Makes one call. `makeRequest` sets the parameters, `readResult` reads the response.
    template<typename T, typename MakeRequest, typename ReadResult>
    void call(const std::string &peer, std::chrono::milliseconds timeout, Done<T> done,
              MakeRequest makeRequest, ReadResult readResult)
    {
        m_loop.post([this, peer, timeout, done = std::move(done), makeRequest, readResult](auto &context) {
            auto work = open(peer, context).then([this, peer, makeRequest] {
                auto request = makeRequest(m_links[peer].link->peer);
                m_words += request.totalSize().wordCount;
                ++m_callCount;
                return request.send();
            });
            auto sharedDone = std::make_shared<Done<T>>(done);
            auto bounded = context.timer.timeoutAfter(toKj(timeout), kj::mv(work));
            m_calls->add(bounded.then(
                [this, sharedDone, readResult](auto &&response) {
                    m_words += response.totalSize().wordCount;
                    (*sharedDone)({readResult(response), {}});
                },
                [this, peer, sharedDone](kj::Exception &&error) {
                    dropLink(peer);
                    const auto failure = isRefused(error) ? PeerFailure::Refused : PeerFailure::Unreachable;
                    (*sharedDone)({std::nullopt, failure});
                }));
        });
    }

    [[nodiscard]] std::chrono::microseconds cpuTime() const { return m_loop.cpuTime(); }
    [[nodiscard]] std::uint64_t payloadBytes() const noexcept { return m_words * sizeof(capnp::word); }
    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_callCount; }

private:
    class CallErrors : public kj::TaskSet::ErrorHandler
    {
    public:
        void taskFailed(kj::Exception &&) override {}
    };

    void listen(const std::string &address, impl::KjLoop::Context &context)
    {
        m_calls.emplace(m_errors);
        auto parsed = context.network.parseAddress(address.c_str()).wait(context.waitScope);
        m_listener = parsed->listen();
        const auto post = [this](std::function<void()> task) {
            m_loop.post([task = std::move(task)](auto &) { task(); });
        };
        m_server.emplace(kj::heap<impl::PeerServer>(m_handlers, post));
        m_calls->add(m_server->listen(*m_listener));
    }

    void close()
    {
        m_calls.reset();
        m_server.reset();
        m_links.clear();
        m_listener = nullptr;
    }

    kj::Promise<void> open(const std::string &peer, impl::KjLoop::Context &context)
    {
        LinkSlot &slot = m_links[peer];
        if (slot.link)
            return kj::READY_NOW;
        KJ_IF_MAYBE (opening, slot.opening) {
            return opening->addBranch();
        }
        auto connecting = context.network.parseAddress(peer.c_str())
                              .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                                  auto promise = parsed->connect();
                                  return promise.attach(kj::mv(parsed));
                              })
                              .then([this, peer](kj::Own<kj::AsyncIoStream> &&stream) {
                                  LinkSlot &opened = m_links[peer];
                                  opened.link = std::make_shared<Link>(kj::mv(stream));
                                  opened.opening = nullptr;
                              });
        auto forked = context.timer.timeoutAfter(toKj(ConnectTimeout), kj::mv(connecting)).fork();
        auto branch = forked.addBranch();
        slot.opening = kj::mv(forked);
        return branch;
    }

    void dropLink(const std::string &peer)
    {
        const auto found = m_links.find(peer);
        if (found == m_links.end())
            return;
        auto dropped = std::make_shared<LinkSlot>(std::move(found->second));
        m_links.erase(found);
        // Destroys the link in a separate task, not within the callback of a call that still runs on it.
        m_loop.post([dropped](auto &) {});
    }

    PeerHandlers m_handlers;
    std::atomic<std::uint64_t> m_words = 0;
    std::atomic<std::uint64_t> m_callCount = 0;
    CallErrors m_errors;
    std::optional<kj::TaskSet> m_calls;
    kj::Own<kj::ConnectionReceiver> m_listener;
    std::optional<capnp::TwoPartyServer> m_server;
    std::map<std::string, LinkSlot> m_links;
    impl::KjLoop m_loop;
};

PeerNode::PeerNode(const std::string &address, PeerHandlers handlers)
    : m_impl(std::make_unique<Impl>(address, std::move(handlers)))
{}

PeerNode::~PeerNode() = default;

void PeerNode::heartbeat(const std::string &peer, Heartbeat own, std::chrono::milliseconds timeout,
                         Done<Heartbeat> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [own = std::move(own)](wire::Peer::Client &client) {
            auto request = client.heartbeatRequest();
            impl::write(request.initOwn(), own);
            return request;
        },
        [](auto &response) { return impl::read(response.getPeer()); });
}

void PeerNode::configuration(const std::string &peer, std::chrono::milliseconds timeout,
                             Done<PublishedText> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [](wire::Peer::Client &client) { return client.configurationRequest(); },
        [](auto &response) {
            const auto text = response.getText();
            return PublishedText{response.getVersion(), std::string(text.begin(), text.size())};
        });
}

void PeerNode::ask(const std::string &peer, std::string pool, SlotRequest request,
                   std::chrono::milliseconds timeout, Done<Decision> done)
{
    const Instant askedAt = now();
    m_impl->call(
        peer, timeout, std::move(done),
        [pool = std::move(pool), ask = std::move(request), askedAt](wire::Peer::Client &client) {
            auto request = client.askRequest();
            request.setPool(pool.c_str());
            impl::write(request.initRequest(), ask, askedAt);
            return request;
        },
        [](auto &response) { return impl::read(response.getDecision()); });
}

void PeerNode::release(const std::string &peer, std::string pool, Release ended,
                       std::chrono::milliseconds timeout, Done<Nothing> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [pool = std::move(pool), ended = std::move(ended)](wire::Peer::Client &client) {
            auto request = client.releaseRequest();
            request.setPool(pool.c_str());
            impl::write(request.initEnded(), ended);
            return request;
        },
        [](auto &) { return Nothing{}; });
}

void PeerNode::adopt(const std::string &peer, HeldSlot held, std::chrono::milliseconds timeout,
                     Done<Nothing> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [held = std::move(held)](wire::Peer::Client &client) {
            auto request = client.adoptRequest();
            impl::write(request.initHeld(), held);
            return request;
        },
        [](auto &) { return Nothing{}; });
}

void PeerNode::forward(const std::string &peer, ForwardedRequest request, std::chrono::milliseconds timeout,
                       Done<Answer> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [forwarded = std::move(request)](wire::Peer::Client &client) {
            auto request = client.forwardRequest();
            impl::write(request.initRequest(), forwarded);
            return request;
        },
        [](auto &response) { return impl::read(response.getAnswer()); });
}

void PeerNode::crash(const std::string &peer, CrashReport report, std::chrono::milliseconds timeout,
                     Done<Nothing> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [report = std::move(report)](wire::Peer::Client &client) {
            auto request = client.crashRequest();
            impl::write(request.initReport(), report);
            return request;
        },
        [](auto &) { return Nothing{}; });
}

void PeerNode::cleared(const std::string &peer, std::uint64_t fingerprint, std::chrono::milliseconds timeout,
                       Done<Nothing> done)
{
    m_impl->call(
        peer, timeout, std::move(done),
        [fingerprint](wire::Peer::Client &client) {
            auto request = client.clearedRequest();
            request.setFingerprint(fingerprint);
            return request;
        },
        [](auto &) { return Nothing{}; });
}

std::chrono::microseconds PeerNode::cpuTime() const
{
    return m_impl->cpuTime();
}

std::uint64_t PeerNode::callCount() const noexcept
{
    return m_impl->callCount();
}

std::uint64_t PeerNode::payloadBytes() const noexcept
{
    return m_impl->payloadBytes();
}

} // namespace chestnutsill
