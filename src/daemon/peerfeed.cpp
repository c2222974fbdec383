#include "daemon/peerfeed.h"

#include "chestnutsill/net/querytarget.h"

#include <charconv>

namespace chestnutsill {

namespace {

/// Maximum duration of a poll, whatever the follower asks for.
constexpr milliseconds MaxPollDuration{5000};
/// Several times what a peer keeps of changes, or a snapshot of a table and thousands of entries.
constexpr std::size_t MaxAnswerBytes = 16 << 20;
constexpr int StatusOk = 200;
constexpr int StatusGone = 410;

/// Returns a number from the query string; 0 when it is missing or invalid.
std::uint64_t queryNumber(std::string_view target, std::string_view name)
{
    const std::string prefix = std::string(name) + '=';
    const auto found = target.find(prefix);
    std::uint64_t number = 0;
    if (found != std::string_view::npos)
        std::from_chars(target.data() + found + prefix.size(), target.data() + target.size(), number);
    return number;
}

} // namespace

bool isFresh(const FeedAnswer &answer) noexcept
{
    return answer.confirmedAge && *answer.confirmedAge <= MaxFeedAge;
}

void FeedServer::serve(Exchange &exchange, const Fiber &fiber)
{
    const std::string_view target = exchange.request().target;
    const StoreRevision after{queryNumber(target, "era"), queryNumber(target, "after")};
    const milliseconds wait(std::min<milliseconds::rep>(
        static_cast<milliseconds::rep>(queryNumber(target, "wait")), MaxPollDuration.count()));
    auto answer = m_answer(after);
    const bool acceptsStale = queryNumber(target, "stale") != 0;
    // Without an answer the first full read of this instance is still in progress.
    if (!answer || (answer->items.empty() && (acceptsStale || isFresh(*answer)))) {
        boost::asio::steady_timer timer(fiber.get_executor(), wait);
        const auto position = m_waiting.insert(m_waiting.end(), &timer);
        boost::system::error_code ignored;
        timer.async_wait(fiber[ignored]);
        m_waiting.erase(position);
        answer = m_answer(after);
    }
    if (answer)
        exchange.respond(StatusOk, "application/octet-stream", encodeFeed(*answer), {}, fiber);
    else
        exchange.respond(StatusGone, "application/json", "{}", {}, fiber);
}

void FeedServer::wake()
{
    for (boost::asio::steady_timer *timer : m_waiting)
        timer->cancel();
}

std::optional<FeedAnswer> FeedClient::follow(const FeedSource &source, StoreRevision after, milliseconds wait,
                                             milliseconds timeout, const Fiber &fiber)
{
    const std::string target = queryTarget(FeedPath, {{"after", std::to_string(after.number)},
                                                      {"era", std::to_string(after.era)},
                                                      {"wait", std::to_string(wait.count())},
                                                      {"stale", source.acceptsStale ? "1" : "0"}});
    const auto response = m_client.call(source.peer, {.target = target}, MaxAnswerBytes, timeout, fiber);
    if (!response) {
        m_reason = m_client.lastReason();
        return std::nullopt;
    }
    auto answer = response->head.status == StatusOk ? decodeFeed(response->body) : std::nullopt;
    if (!answer)
        m_reason = "status " + std::to_string(response->head.status);
    return answer;
}

} // namespace chestnutsill
