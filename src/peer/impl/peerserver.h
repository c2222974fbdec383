#pragma once

#include "chestnutsill/peer/peernode.h"
#include "peer.capnp.h"

#include <functional>

namespace chestnutsill::impl {

/// Runs a task on the peer thread. Callable from any thread.
using PostTask = std::function<void(std::function<void()>)>;

/// Serves RPC calls from peers by calling the instance's handlers.
class PeerServer final : public wire::Peer::Server
{
public:
    PeerServer(const PeerHandlers &handlers, PostTask post);

    kj::Promise<void> heartbeat(HeartbeatContext context) override;
    kj::Promise<void> configuration(ConfigurationContext context) override;
    kj::Promise<void> ask(AskContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;
    kj::Promise<void> adopt(AdoptContext context) override;
    kj::Promise<void> forward(ForwardContext context) override;
    kj::Promise<void> crash(CrashContext context) override;
    kj::Promise<void> cleared(ClearedContext context) override;

private:
    const PeerHandlers &m_handlers;
    PostTask m_post;
};

} // namespace chestnutsill::impl
