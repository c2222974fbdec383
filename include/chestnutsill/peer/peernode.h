#pragma once

#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/peertypes.h"
#include "chestnutsill/policy/pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace chestnutsill {

/// How a call to a peer failed.
enum class PeerFailure {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The call timed out, the connection broke, or the peer reported an error.
    Unreachable,
};

/// Result of a call to a peer: a value or, without one, the kind of failure.
template<typename T>
struct PeerResult
{
    std::optional<T> value;
    PeerFailure failure = PeerFailure::Unreachable;
};

/// Handlers for calls from peers. They run on the peer thread and must not block. A handler with a `done`
/// parameter calls it once, which may be later and from any thread.
struct PeerHandlers
{
    /// Processes a peer's heartbeat and returns that of this instance.
    std::function<Heartbeat(const Heartbeat &)> heartbeat;
    /// Returns the configuration document in force; version 0 before the first.
    std::function<PublishedText()> configuration;
    /// Requests a slot of a pool from its home.
    std::function<void(const std::string &pool, SlotRequest, std::function<void(Decision)> done)> ask;
    /// Releases a slot of a pool, or withdraws a waiting request, at its home.
    std::function<void(const std::string &pool, const Release &)> release;
    /// Records a slot that the pool's previous home granted.
    std::function<void(const HeldSlot &)> adopt;
    /// Runs a request at the owner of its request id.
    std::function<void(ForwardedRequest, std::function<void(Answer)> done)> forward;
    /// Records a suspected crash of an upstream that the peer observed.
    std::function<void(const CrashReport &)> crash;
    /// Records that a request with this fingerprint, which had strikes, completed at the peer.
    std::function<void(std::uint64_t fingerprint)> cleared;
};

/// Client and server of the Cap'n Proto RPC between instances, on a dedicated peer thread. Calls may be made
/// from any thread; `done` runs on the peer thread and must not block. A connection is closed when a call on
/// it fails or times out, so that one that the network dropped silently causes at most one timeout.
class PeerNode
{
public:
    template<typename T>
    using Done = std::function<void(PeerResult<T>)>;
    /// Result of calls that return nothing.
    struct Nothing
    {};

    /// Listens on `address` (`ip:port`). Throws `std::runtime_error` when it can't.
    PeerNode(const std::string &address, PeerHandlers handlers);
    ~PeerNode();

    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    // Each of the following calls the function of the same name of the `PeerHandlers` at `peer` (`ip:port`).
    // `done` is called once, with the result, or with the failure when the call fails or `timeout` passes. It
    // is not called for calls in progress when the node is destroyed.

    void heartbeat(const std::string &peer, Heartbeat own, std::chrono::milliseconds timeout,
                   Done<Heartbeat> done);
    void configuration(const std::string &peer, std::chrono::milliseconds timeout, Done<PublishedText> done);
    void ask(const std::string &peer, std::string pool, SlotRequest request,
             std::chrono::milliseconds timeout, Done<Decision> done);
    void release(const std::string &peer, std::string pool, Release ended, std::chrono::milliseconds timeout,
                 Done<Nothing> done);
    void adopt(const std::string &peer, HeldSlot held, std::chrono::milliseconds timeout, Done<Nothing> done);
    void forward(const std::string &peer, ForwardedRequest request, std::chrono::milliseconds timeout,
                 Done<Answer> done);
    void crash(const std::string &peer, CrashReport report, std::chrono::milliseconds timeout,
               Done<Nothing> done);
    void cleared(const std::string &peer, std::uint64_t fingerprint, std::chrono::milliseconds timeout,
                 Done<Nothing> done);

    /// CPU time used by the peer thread.
    [[nodiscard]] std::chrono::microseconds cpuTime() const;

    /// Payload bytes of all outgoing calls and their results.
    [[nodiscard]] std::uint64_t payloadBytes() const noexcept;

    /// Number of outgoing calls.
    [[nodiscard]] std::uint64_t callCount() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chestnutsill
