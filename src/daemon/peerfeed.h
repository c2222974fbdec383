#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/keepaliveclient.h"
#include "chestnutsill/peer/feed.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// Path under which peers follow the store through this instance.
inline constexpr std::string_view FeedPath = "/published";

/// Oldest confirmation of a peer that is followed. It keeps a follower of a stuck peer well within the time
/// to apply a change.
inline constexpr milliseconds MaxFeedAge{2500};

/// Whether an answer is from a peer that has followed the store till lately.
[[nodiscard]] bool isFresh(const FeedAnswer &answer) noexcept;

/// Serves peers that follow the store through this instance: each call waits until there are changes. An
/// answer that isn't fresh is sent at once, so that the follower finds another way.
class FeedServer
{
public:
    /// `answer` gives the changes after a revision, or nothing when they are no longer kept.
    explicit FeedServer(std::function<std::optional<FeedAnswer>(std::uint64_t after)> answer)
        : m_answer(std::move(answer))
    {}

    /// Answers the call, after a wait if there are no changes yet.
    void serve(Exchange &exchange, const Fiber &fiber);

    /// Wakes the calls that wait.
    void wake();

private:
    std::function<std::optional<FeedAnswer>(std::uint64_t after)> m_answer;
    std::list<boost::asio::steady_timer *> m_waiting;
};

/// Follows the store through a peer over one kept connection.
class FeedClient
{
public:
    /// Asks for changes after a revision and waits for them up to `wait`. Returns nothing when the peer
    /// doesn't answer or no longer keeps them, and sets `lastReason`.
    [[nodiscard]] std::optional<FeedAnswer> follow(const std::string &peer, std::uint64_t after,
                                                   milliseconds wait, milliseconds timeout,
                                                   const Fiber &fiber);

    /// Ends a call that waits.
    void cancel() { m_client.close(); }

    [[nodiscard]] const std::string &lastReason() const noexcept { return m_reason; }

private:
    static constexpr milliseconds ConnectTimeout{300};

    KeepAliveClient m_client{ConnectTimeout};
    std::string m_reason;
};

} // namespace chestnutsill
