#include "daemon/upstreamcall.h"

#include "chestnutsill/net/httpclient.h"
#include "daemon/identity.h"
#include "daemon/loadreport.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace chestnutsill {

namespace {

constexpr milliseconds ConnectTimeout{400};
constexpr milliseconds SendTimeout{2000};
constexpr milliseconds AbandonPoll{100};
constexpr std::string_view EventPrefix = "data:";
constexpr std::string_view DonePrefix = "data: [DONE]";

/// Counts the events of a stream and detects the `[DONE]` event that ends it.
class EventScanner
{
public:
    void scan(std::string_view piece)
    {
        m_line += piece;
        std::size_t start = 0;
        for (std::size_t end = 0; (end = m_line.find('\n', start)) != std::string::npos; start = end + 1)
            scanLine(std::string_view(m_line).substr(start, end - start));
        m_line.erase(0, start);
    }

    [[nodiscard]] bool done() const noexcept { return m_done; }
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }

private:
    void scanLine(std::string_view line)
    {
        if (line.substr(0, DonePrefix.size()) == DonePrefix)
            m_done = true;
        else if (line.substr(0, EventPrefix.size()) == EventPrefix)
            ++m_tokens;
    }

    std::string m_line;
    std::uint64_t m_tokens = 0;
    bool m_done = false;
};

milliseconds remaining(Instant until)
{
    return std::max(std::chrono::duration_cast<milliseconds>(until - now()), milliseconds(1));
}

Attempt &fail(Attempt &attempt, RunOutcome outcome, std::string reason)
{
    attempt.outcome = outcome;
    attempt.reason = std::move(reason);
    return attempt;
}

/// Connects and checks the incarnation. Returns false and sets the outcome if the request must not be sent.
bool connectAndCheck(HttpClient &client, const HeldGrant &held, Attempt &attempt, const Fiber &fiber)
{
    if (!client.connect(held.grant.address, ConnectTimeout, fiber)) {
        fail(attempt, RunOutcome::ConnectFailed, client.lastReason());
        return false;
    }
    std::string reason;
    const auto report = readLoadReport(client, held.grant.upstream, fiber, reason);
    if (!report) {
        fail(attempt, RunOutcome::ConnectFailed, reason);
        return false;
    }
    if (report->incarnation != held.grant.incarnation) {
        attempt.incarnationSeen = report->incarnation;
        fail(attempt, RunOutcome::OtherIncarnation, "the upstream has restarted since the grant");
        return false;
    }
    return true;
}

bool sendRequest(HttpClient &client, const UpstreamRequest &request, const Fiber &fiber)
{
    const std::array<HttpField, 3> fields{{{"content-type", std::string(request.contentType)},
                                           {"x-request-id", request.attemptId},
                                           {"x-priority", std::to_string(request.tier)}}};
    return client.send({request.method, request.target, fields, request.body}, SendTimeout, fiber);
}

RunOutcome failureOutcome(const HttpClient &client)
{
    return client.timedOut() ? RunOutcome::Silent : RunOutcome::Broken;
}

void relayBody(HttpClient &client, const UpstreamRequest &request, const UpstreamSink &sink, Instant sentAt,
               Attempt &attempt, const Fiber &fiber)
{
    EventScanner scanner;
    for (;;) {
        const auto piece = client.readPiece(std::min(request.idleTimeout, remaining(request.endBy)), fiber);
        attempt.tokens = scanner.tokens();
        if (!piece) {
            fail(attempt, failureOutcome(client), client.lastReason());
            return;
        }
        if (piece->empty())
            break;
        if (attempt.firstByteAt == Instant{}) {
            attempt.firstByteAt = now();
            attempt.firstToken = attempt.firstByteAt - sentAt;
        }
        scanner.scan(*piece);
        attempt.tokens = scanner.tokens();
        attempt.relayed = true;
        if (!sink.piece(*piece)) {
            fail(attempt, RunOutcome::Cancelled, "the response can't be passed on");
            return;
        }
    }
    if (request.stream && !scanner.done()) {
        fail(attempt, RunOutcome::Broken, "the stream ended before its final event");
        return;
    }
    attempt.outcome = RunOutcome::Completed;
    attempt.verdict = Verdict::Answered;
}

/// Sends the request and relays the response.
void exchange(HttpClient &client, const UpstreamRequest &request, const UpstreamSink &sink, Attempt &attempt,
              const Fiber &fiber)
{
    const Instant sentAt = now();
    attempt.verdict = Verdict::MayHaveRun;
    if (!sendRequest(client, request, fiber)) {
        fail(attempt, failureOutcome(client), client.lastReason());
        return;
    }
    const milliseconds headTimeout =
        request.stream ? std::min(request.idleTimeout, remaining(request.endBy)) : remaining(request.endBy);
    const auto head = client.readHead(headTimeout, fiber);
    if (!head) {
        fail(attempt, failureOutcome(client), client.lastReason());
        return;
    }
    attempt.status = head->status;
    const std::string_view echoed = head->field("x-request-id");
    if (!echoed.empty() && echoed != request.attemptId) {
        fail(attempt, RunOutcome::WrongAnswer, "the response carries the id of another request");
        return;
    }
    if (!sink.head(*head)) {
        fail(attempt, RunOutcome::Cancelled, "the caller disconnected");
        return;
    }
    relayBody(client, request, sink, sentAt, attempt, fiber);
}

/// Closes the connection to the upstream once the caller has disconnected, even while the upstream sends
/// nothing.
class AbandonmentWatcher
{
public:
    AbandonmentWatcher(HttpClient &client, const std::function<bool()> &isAbandoned, const Fiber &fiber)
        : m_state(std::make_shared<State>(
            State{client, isAbandoned, boost::asio::steady_timer(fiber.get_executor()), false, false}))
    {
        poll(m_state);
    }

    ~AbandonmentWatcher()
    {
        m_state->ended = true;
        m_state->timer.cancel();
    }

    AbandonmentWatcher(const AbandonmentWatcher &) = delete;
    AbandonmentWatcher &operator=(const AbandonmentWatcher &) = delete;

    [[nodiscard]] bool hasClosed() const noexcept { return m_state->closed; }

private:
    struct State
    {
        HttpClient &client;
        std::function<bool()> isAbandoned;
        boost::asio::steady_timer timer;
        bool ended;
        bool closed;
    };

    static void poll(const std::shared_ptr<State> &state)
    {
        state->timer.expires_after(AbandonPoll);
        state->timer.async_wait([state](const boost::system::error_code &) {
            if (state->ended)
                return;
            if (!state->isAbandoned()) {
                poll(state);
                return;
            }
            state->closed = true;
            state->client.close();
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace

Attempt callUpstream(const HeldGrant &held, const UpstreamRequest &request, const AttemptChecks &checks,
                     const UpstreamSink &sink, const Fiber &fiber)
{
    Attempt attempt;
    HttpClient client;
    if (!connectAndCheck(client, held, attempt, fiber))
        return attempt;
    if (!checks.mayStart())
        return fail(attempt, RunOutcome::NotStarted,
                    "the grant or the request has expired, the configuration is stale, or the upstream is "
                    "out of service or leaving");
    AbandonmentWatcher watch(client, checks.isAbandoned, fiber);
    exchange(client, request, sink, attempt, fiber);
    if (watch.hasClosed())
        return fail(attempt, RunOutcome::Cancelled, "the caller disconnected");
    return attempt;
}

} // namespace chestnutsill
