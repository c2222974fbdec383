#include "standin.h"

#include "chestnutsill/policy/hash.h"

#include <array>
#include <cmath>
#include <optional>
#include <random>

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Whether any message but the last one has the content `crashes engines`.
bool hasCrashingMessage(const json::object &body)
{
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return false;
    const json::array &list = messages->get_array();
    for (std::size_t i = 0; i + 1 < list.size(); ++i) {
        const json::object *message = list[i].if_object();
        const json::value *content = message != nullptr ? message->if_contains("content") : nullptr;
        if (content != nullptr && content->is_string() && content->get_string() == "crashes engines")
            return true;
    }
    return false;
}

/// Stand-in for a model engine, with a slot limit, a priority queue, a cold start, delayed load reports and
/// counters. Options: listen, slots, first-token-ms, token-ms, cold-bear (concurrent requests that it
/// survives at the beginning of its cold start; each completed request adds one), cold-requests (completed
/// requests that end the cold start), cold-start (0 or 1), fall-ms (downtime after a crash), report-lag-ms,
/// mean-tokens.
class Engine
{
public:
    Engine(boost::asio::io_context &io, Options options)
        : m_io(io)
        , m_options(std::move(options))
        , m_slots(number(m_options, "slots", 8))
        , m_tokenMs(number(m_options, "token-ms", 20))
        , m_firstTokenMs(number(m_options, "first-token-ms", 100))
        , m_coldRequests(number(m_options, "cold-requests", 6))
    {
        restart(number(m_options, "cold-start", 0) == 1);
    }

private:
    void restart(bool cold)
    {
        ++m_generation;
        m_incarnation = "e" + std::to_string(unixMs()) + "-" + std::to_string(m_generation);
        m_cold = cold;
        m_reportsReady = !cold;
        m_completedInColdStart = 0;
        m_running = 0;
        m_server.emplace(m_io, m_options.at("listen"), HttpLimits{},
                         [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); });
    }

    /// Closes all connections, refuses new ones for `fall-ms` milliseconds, and restarts in cold start.
    void crash()
    {
        if (!m_server)
            return;
        ++m_crashes;
        ++m_generation;
        m_server.reset();
        startFiber(m_io, [this](const Fiber &fiber) {
            sleepFor(milliseconds(number(m_options, "fall-ms", 1000)), fiber);
            restart(true);
        });
    }

    void handle(Exchange &exchange, const Fiber &fiber)
    {
        const std::string &target = exchange.request().target;
        if (target == "/load")
            respondJson(exchange, 200,
                        {{"incarnation", m_incarnation}, {"ready", m_reportsReady}, {"running", m_running}},
                        fiber);
        else if (target == "/stats")
            respondJson(exchange, 200, stats(), fiber);
        else if (target == "/control")
            control(exchange, fiber);
        else
            generate(exchange, fiber);
    }

    json::value stats() const
    {
        json::object runs;
        for (const auto &[id, count] : m_runs)
            runs[id] = count;
        return {{"runs", std::move(runs)},        {"started", m_started},         {"completed", m_completed},
                {"cancelled", m_cancelled},       {"falls", m_crashes},           {"maxCold", m_maxCold},
                {"coldOverload", m_coldOverload}, {"maxRunning", m_maxRunning},   {"tokens", m_tokens},
                {"tokensWasted", m_tokensWasted}, {"lastStartMs", m_lastStartMs}, {"cold", m_cold}};
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        m_tokenMs = integer(command, "tokenMs", m_tokenMs);
        m_firstTokenMs = integer(command, "firstTokenMs", m_firstTokenMs);
        m_stalled = flag(command, "mute");
        m_answersWrongId = flag(command, "crossed");
        m_breaksEvents = flag(command, "breakEvents");
        if (flag(command, "resetCounts")) {
            m_runs.clear();
            m_started = m_completed = m_tokens = m_tokensWasted = m_cancelled = 0;
        }
        if (flag(command, "turnCold"))
            turnCold();
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
        if (flag(command, "crash"))
            crash();
    }

    /// Enters cold start without a restart. The load report shows it only after `report-lag-ms`.
    void turnCold()
    {
        m_cold = true;
        m_completedInColdStart = 0;
        startFiber(m_io, [this](const Fiber &fiber) {
            sleepFor(milliseconds(number(m_options, "report-lag-ms", 1000)), fiber);
            m_reportsReady = !m_cold;
        });
    }

    /// Output tokens of a request: the number in the request, or else drawn from a long-tailed distribution
    /// that is seeded by the request's content.
    std::int64_t outputLength(const json::object &body) const
    {
        const json::value *requestOptions = body.if_contains("standin");
        const std::int64_t given = requestOptions != nullptr && requestOptions->is_object()
                                       ? integer(requestOptions->get_object(), "tokens", 0)
                                       : 0;
        if (given > 0)
            return given;
        std::mt19937_64 random(stableHash(json::serialize(body)));
        const double mean = static_cast<double>(number(m_options, "mean-tokens", 60));
        constexpr double Sigma = 0.9;
        std::lognormal_distribution<double> length(std::log(mean) - Sigma * Sigma / 2, Sigma);
        return std::clamp<std::int64_t>(std::llround(length(random)), 1, 2000);
    }

    /// Waits for a free slot. Returns false when the caller disconnects or the engine crashes before.
    bool waitForSlot(Exchange &exchange, std::uint64_t generation, std::int64_t priority, const Fiber &fiber)
    {
        ++m_waiting[priority];
        bool connected = true;
        const auto higherWaits = [&] { return m_waiting.begin()->first < priority; };
        while (connected && (m_running >= m_slots || higherWaits())) {
            sleepFor(milliseconds(2), fiber);
            connected = generation == m_generation && !exchange.callerGone();
        }
        if (--m_waiting[priority] == 0)
            m_waiting.erase(priority);
        return connected;
    }

    /// Counts a started request. Returns false when it overloads the engine in cold start, which crashes it.
    bool recordStart(const std::string &id)
    {
        ++m_runs[id];
        ++m_started;
        ++m_running;
        m_lastStartMs = unixMs();
        m_maxRunning = std::max(m_maxRunning, m_running);
        if (!m_cold)
            return true;
        m_maxCold = std::max(m_maxCold, m_running);
        if (m_running <= number(m_options, "cold-bear", 2) + m_completedInColdStart)
            return true;
        ++m_coldOverload;
        crash();
        return false;
    }

    void recordEnd(bool completed)
    {
        --m_running;
        if (!completed)
            return;
        ++m_completed;
        if (m_cold && ++m_completedInColdStart >= m_coldRequests) {
            m_cold = false;
            m_reportsReady = true;
        }
        if (m_cold && m_completedInColdStart >= 1)
            m_reportsReady = true;
    }

    void generate(Exchange &exchange, const Fiber &fiber)
    {
        const json::object body = parseObject(exchange.request().body);
        const std::string id(exchange.request().field("x-request-id"));
        const std::uint64_t generation = m_generation;
        const std::string priority(exchange.request().field("x-priority"));
        if (!waitForSlot(exchange, generation, priority.empty() ? 3 : std::stoll(priority), fiber)) {
            ++m_cancelled;
            exchange.abort();
            return;
        }
        if (!recordStart(id)) {
            exchange.abort();
            return;
        }
        const json::value *requestOptions = body.if_contains("standin");
        const bool kills = requestOptions != nullptr && requestOptions->is_object()
                           && flag(requestOptions->get_object(), "kill");
        if (kills || hasCrashingMessage(body)) {
            sleepFor(milliseconds(m_firstTokenMs), fiber);
            crash();
            exchange.abort();
            return;
        }
        const bool completed = sendTokens(exchange, body, id, generation, fiber);
        if (generation == m_generation)
            recordEnd(completed);
    }

    /// Sends the output tokens. Returns whether all of them were sent.
    bool sendTokens(Exchange &exchange, const json::object &body, const std::string &id,
                    std::uint64_t generation, const Fiber &fiber)
    {
        const std::int64_t length = outputLength(body);
        const std::string responseId = m_answersWrongId ? "another" : id;
        const bool stream = flag(body, "stream");
        const std::array<HttpField, 1> fields{{{"x-request-id", responseId}}};
        sleepFor(milliseconds(m_cold ? 2 * m_firstTokenMs : m_firstTokenMs), fiber);
        std::string content;
        for (std::int64_t token = 0; token < length; ++token) {
            if (generation != m_generation || (!stream && exchange.callerGone())) {
                m_cancelled += generation == m_generation ? 1 : 0;
                exchange.abort();
                m_tokensWasted += token;
                return false;
            }
            if (token > 0)
                sleepFor(milliseconds(m_tokenMs), fiber);
            while (m_stalled && !exchange.callerGone())
                sleepFor(milliseconds(10), fiber);
            ++m_tokens;
            const std::string text = "w" + std::to_string(token) + ' ';
            content += text;
            if (!stream)
                continue;
            const json::object delta{{"content", text}};
            const json::value event = {
                {"id", responseId}, {"choices", json::array{json::object{{"index", 0}, {"delta", delta}}}}};
            const bool streaming = token > 0 || exchange.startStream(200, "text/event-stream", fields, fiber);
            const std::string bytes = "data: " + json::serialize(event) + "\n\n";
            if (m_breaksEvents && token > 0) {
                exchange.sendPiece(bytes.substr(0, bytes.size() / 2), fiber);
                exchange.abort();
                return false;
            }
            if (!streaming || !exchange.sendPiece(bytes, fiber) || exchange.callerGone()) {
                ++m_cancelled;
                m_tokensWasted += token + 1;
                return false;
            }
        }
        if (stream)
            return exchange.sendPiece("data: [DONE]\n\n", fiber) && exchange.endStream(fiber);
        const json::object message{{"role", "assistant"}, {"content", content}};
        const json::value answer = {
            {"id", responseId},
            {"choices", json::array{json::object{{"index", 0}, {"message", message}}}},
            {"usage", json::object{{"completion_tokens", length}}}};
        return exchange.respond(200, "application/json", json::serialize(answer), fields, fiber);
    }

    boost::asio::io_context &m_io;
    const Options m_options;
    std::optional<HttpServer> m_server;
    std::int64_t m_slots;
    std::int64_t m_tokenMs;
    std::int64_t m_firstTokenMs;
    std::int64_t m_coldRequests;
    std::uint64_t m_generation = 0;
    std::string m_incarnation;
    bool m_cold = false;
    bool m_reportsReady = true;
    bool m_stalled = false;
    bool m_answersWrongId = false;
    bool m_breaksEvents = false;
    std::int64_t m_completedInColdStart = 0;
    std::int64_t m_running = 0;
    std::map<std::int64_t, int> m_waiting;
    std::map<std::string, std::int64_t> m_runs;
    std::int64_t m_started = 0;
    std::int64_t m_completed = 0;
    std::int64_t m_cancelled = 0;
    std::int64_t m_crashes = 0;
    std::int64_t m_maxCold = 0;
    std::int64_t m_coldOverload = 0;
    std::int64_t m_maxRunning = 0;
    std::int64_t m_tokens = 0;
    std::int64_t m_tokensWasted = 0;
    std::int64_t m_lastStartMs = 0;
};

} // namespace

void runEngine(boost::asio::io_context &io, const Options &options)
{
    const Engine engine(io, options);
    io.run();
}

} // namespace chestnutsill::standin
