#include "impl/peerserver.h"

#include "chestnutsill/clock.h"
#include "impl/convert.h"
#include "impl/wirebytes.h"

#include <memory>

namespace chestnutsill::impl {

namespace {

/// A promise that a handler fulfills from any thread by calling `done`. Values that arrive after the call was
/// cancelled are ignored.
template<typename T>
struct DeferredResult
{
    kj::Promise<T> promise = nullptr;
    std::function<void(T)> done;
};

template<typename T>
DeferredResult<T> makeDeferredResult(const PostTask &post)
{
    auto pair = kj::newPromiseAndFulfiller<T>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(pair.fulfiller));
    DeferredResult<T> deferred;
    deferred.promise = kj::mv(pair.promise);
    deferred.done = [post, fulfiller](T value) {
        auto shared = std::make_shared<T>(std::move(value));
        post([fulfiller, shared] { (*fulfiller)->fulfill(kj::mv(*shared)); });
    };
    return deferred;
}

} // namespace

PeerServer::PeerServer(const PeerHandlers &handlers, PostTask post)
    : m_handlers(handlers)
    , m_post(std::move(post))
{}

kj::Promise<void> PeerServer::heartbeat(HeartbeatContext context)
{
    const Heartbeat own = m_handlers.heartbeat(read(context.getParams().getOwn()));
    write(context.getResults().initPeer(), own);
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::configuration(ConfigurationContext context)
{
    const PublishedText published = m_handlers.configuration();
    context.getResults().setVersion(published.version);
    context.getResults().setText(published.text.c_str());
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::ask(AskContext context)
{
    auto params = context.getParams();
    auto deferred = makeDeferredResult<Decision>(m_post);
    m_handlers.ask(toText(params.getPool()), read(params.getRequest(), now()), deferred.done);
    return deferred.promise.then([context](const Decision &decision) mutable {
        write(context.getResults().initDecision(), decision);
    });
}

kj::Promise<void> PeerServer::release(ReleaseContext context)
{
    auto params = context.getParams();
    m_handlers.release(toText(params.getPool()), read(params.getEnded()));
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::adopt(AdoptContext context)
{
    m_handlers.adopt(read(context.getParams().getHeld()));
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::forward(ForwardContext context)
{
    auto deferred = makeDeferredResult<Answer>(m_post);
    m_handlers.forward(read(context.getParams().getRequest()), deferred.done);
    return deferred.promise.then(
        [context](const Answer &answer) mutable { write(context.getResults().initAnswer(), answer); });
}

kj::Promise<void> PeerServer::crash(CrashContext context)
{
    m_handlers.crash(read(context.getParams().getReport()));
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::cleared(ClearedContext context)
{
    m_handlers.cleared(context.getParams().getFingerprint());
    return kj::READY_NOW;
}

} // namespace chestnutsill::impl
