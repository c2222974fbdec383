#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/keepaliveclient.h"
#include "chestnutsill/peer/feed.h"
#include "chestnutsill/policy/feedselector.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// Path that followers poll.
inline constexpr std::string_view FeedPath = "/published";

/// Whether the peer's confirmation is recent enough for it to be followed.
[[nodiscard]] bool isFresh(const FeedAnswer &answer) noexcept;

/// Relays the store's changes to followers by long polls.
class FeedServer
{
public:
    /// `answer` returns the changes after a revision, or a snapshot. It returns nothing until this instance
    /// has read all items.
    explicit FeedServer(std::function<std::optional<FeedAnswer>(StoreRevision after)> answer)
        : m_answer(std::move(answer))
    {}

    /// Answers a poll, waiting for changes if there are none yet. A response that is not fresh is sent at
    /// once unless the follower accepts it. Responds with status 410 when there is still no answer then.
    void serve(Exchange &exchange, const Fiber &fiber);

    /// Answers all waiting polls now.
    void wake();

private:
    std::function<std::optional<FeedAnswer>(StoreRevision after)> m_answer;
    std::list<boost::asio::steady_timer *> m_waiting;
};

/// Receives the store's changes from a peer over a keep-alive connection.
class FeedClient
{
public:
    /// Polls the source's peer for changes after a revision; the peer waits for them up to `wait`. Returns
    /// nothing and sets `lastReason` when the peer does not respond within `timeout` or has not read all
    /// items yet.
    [[nodiscard]] std::optional<FeedAnswer> follow(const FeedSource &source, StoreRevision after,
                                                   milliseconds wait, milliseconds timeout,
                                                   const Fiber &fiber);

    /// Aborts the current poll.
    void cancel() { m_client.close(); }

    [[nodiscard]] const std::string &lastReason() const noexcept { return m_reason; }

private:
    static constexpr milliseconds ConnectTimeout{300};

    KeepAliveClient m_client{ConnectTimeout};
    std::string m_reason;
};

} // namespace chestnutsill
