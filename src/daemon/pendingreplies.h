#pragma once

#include "chestnutsill/clock.h"
#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/gossipmessage.h"
#include "daemon/identity.h"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <utility>

namespace chestnutsill {

/// Requests to peers, sent by datagram, whose replies fibers wait for. Used from one event loop only.
template<typename Content>
class PendingReplies
{
public:
    /// Sends a request with `send`, which is given its id and returns the number of peers that it went to,
    /// and waits for a reply that `isFinal` accepts. Returns the last reply if all peers have sent others,
    /// and nothing if not all of them reply in time. A process that was stopped meanwhile gets nothing
    /// either, because what a reply grants may have been meant for an earlier time.
    template<typename Send, typename IsFinal>
    [[nodiscard]] std::optional<Content> request(milliseconds timeout, const Send &send,
                                                 const IsFinal &isFinal, const Fiber &fiber)
    {
        const Instant start = now();
        const auto pending =
            m_pending.insert(m_pending.end(), {++m_lastId, 0, std::nullopt, isFinal,
                                               boost::asio::steady_timer(fiber.get_executor(), timeout)});
        pending->awaited = send(pending->id);
        if (pending->awaited > 0) {
            boost::system::error_code ignored;
            pending->timer.async_wait(fiber[ignored]);
        }
        auto reply = pending->awaited == 0 ? std::move(pending->reply) : std::nullopt;
        m_pending.erase(pending);
        return now() - start <= timeout ? reply : std::nullopt;
    }

    /// Takes the reply of a peer. One that nobody waits for any more is ignored.
    void receive(PeerQuery<Content> reply)
    {
        for (Pending &pending : m_pending) {
            if (pending.id != reply.id || pending.awaited == 0)
                continue;
            pending.awaited = pending.isFinal(reply.content) ? 0 : pending.awaited - 1;
            pending.reply = std::move(reply.content);
            if (pending.awaited == 0)
                pending.timer.cancel();
            return;
        }
    }

private:
    struct Pending
    {
        std::uint64_t id = 0;
        /// Number of replies still to come.
        std::size_t awaited = 0;
        std::optional<Content> reply;
        std::function<bool(const Content &)> isFinal;
        boost::asio::steady_timer timer;
    };

    std::list<Pending> m_pending;
    /// Random at the start, so that replies to an earlier process have other ids.
    std::uint64_t m_lastId = randomNumber();
};

} // namespace chestnutsill
