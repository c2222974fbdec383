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

/// A model engine: a slot limit with a queue by priority, cold start, load reports that lag, and counts.
/// Options: listen, slots, first-token-ms, token-ms, cold-bear, cold-requests, cold-start (0 or 1), fall-ms,
/// report-lag-ms, mean-tokens.
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
        m_reportedReady = !cold;
        m_completedCold = 0;
        m_running = 0;
        m_server.emplace(m_io, m_options.at("listen"), HttpLimits{},
                         [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); });
    }

    /// Breaks all connections, refuses new ones for a time, and comes back cold.
    void fall()
    {
        if (!m_server)
            return;
        ++m_falls;
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
                        {{"incarnation", m_incarnation}, {"ready", m_reportedReady}, {"running", m_running}},
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
        return {{"runs", std::move(runs)},
                {"started", m_started},
                {"completed", m_completed},
                {"cancelled", m_cancelled},
                {"falls", m_falls},
                {"maxCold", m_maxCold},
                {"coldOverload", m_coldOverload},
                {"maxRunning", m_maxRunning},
                {"tokens", m_tokens},
                {"tokensWasted", m_tokensWasted},
                {"lastStartMs", m_lastStartMs},
                {"cold", m_cold}};
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object order = parseObject(exchange.request().body);
        m_tokenMs = integer(order, "tokenMs", m_tokenMs);
        m_firstTokenMs = integer(order, "firstTokenMs", m_firstTokenMs);
        m_mute = flag(order, "mute");
        m_crossed = flag(order, "crossed");
        if (flag(order, "resetCounts")) {
            m_runs.clear();
            m_started = m_completed = m_tokens = m_tokensWasted = m_cancelled = 0;
        }
        if (flag(order, "turnCold"))
            turnCold();
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
        if (flag(order, "crash"))
            fall();
    }

    /// Turns cold without a restart; the load report says so only after its lag.
    void turnCold()
    {
        m_cold = true;
        m_completedCold = 0;
        startFiber(m_io, [this](const Fiber &fiber) {
            sleepFor(milliseconds(number(m_options, "report-lag-ms", 1000)), fiber);
            m_reportedReady = !m_cold;
        });
    }

    /// Output length: given by the request, or drawn from a long-tailed distribution seeded by its content.
    std::int64_t outputLength(const json::object &body) const
    {
        const json::value *order = body.if_contains("standin");
        const std::int64_t given =
            order != nullptr && order->is_object() ? integer(order->get_object(), "tokens", 0) : 0;
        if (given > 0)
            return given;
        std::mt19937_64 random(stableHash(json::serialize(body)));
        const double mean = static_cast<double>(number(m_options, "mean-tokens", 60));
        constexpr double Sigma = 0.9;
        std::lognormal_distribution<double> length(std::log(mean) - Sigma * Sigma / 2, Sigma);
        return std::clamp<std::int64_t>(std::llround(length(random)), 1, 2000);
    }

    /// Whether the caller stays and the engine stands until a slot is free.
    bool waitForSlot(Exchange &exchange, std::uint64_t generation, std::int64_t priority, const Fiber &fiber)
    {
        ++m_waiting[priority];
        bool stays = true;
        const auto higherWaits = [&] { return m_waiting.begin()->first < priority; };
        while (stays && (m_running >= m_slots || higherWaits())) {
            sleepFor(milliseconds(2), fiber);
            stays = generation == m_generation && !exchange.callerGone();
        }
        if (--m_waiting[priority] == 0)
            m_waiting.erase(priority);
        return stays;
    }

    /// Counts a start. Returns false when it makes the engine fall over.
    bool beginRun(const std::string &id)
    {
        ++m_runs[id];
        ++m_started;
        ++m_running;
        m_lastStartMs = unixMs();
        m_maxRunning = std::max(m_maxRunning, m_running);
        if (!m_cold)
            return true;
        m_maxCold = std::max(m_maxCold, m_running);
        if (m_running <= number(m_options, "cold-bear", 2) + m_completedCold)
            return true;
        ++m_coldOverload;
        fall();
        return false;
    }

    void endRun(bool completed)
    {
        --m_running;
        if (!completed)
            return;
        ++m_completed;
        if (m_cold && ++m_completedCold >= m_coldRequests) {
            m_cold = false;
            m_reportedReady = true;
        }
        if (m_cold && m_completedCold >= 1)
            m_reportedReady = true;
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
        if (!beginRun(id)) {
            exchange.abort();
            return;
        }
        const json::value *order = body.if_contains("standin");
        if (order != nullptr && order->is_object() && flag(order->get_object(), "kill")) {
            sleepFor(milliseconds(m_firstTokenMs), fiber);
            fall();
            exchange.abort();
            return;
        }
        const bool completed = produce(exchange, body, id, generation, fiber);
        if (generation == m_generation)
            endRun(completed);
    }

    /// Sends the tokens. Returns whether all of them were sent.
    bool produce(Exchange &exchange, const json::object &body, const std::string &id,
                 std::uint64_t generation, const Fiber &fiber)
    {
        const std::int64_t length = outputLength(body);
        const std::string shownId = m_crossed ? "another" : id;
        const bool stream = flag(body, "stream");
        const std::array<HttpField, 1> fields{{{"x-request-id", shownId}}};
        sleepFor(milliseconds(m_cold ? 2 * m_firstTokenMs : m_firstTokenMs), fiber);
        std::string whole;
        for (std::int64_t token = 0; token < length; ++token) {
            if (generation != m_generation || (!stream && exchange.callerGone())) {
                m_cancelled += generation == m_generation ? 1 : 0;
                exchange.abort();
                m_tokensWasted += token;
                return false;
            }
            if (token > 0)
                sleepFor(milliseconds(m_tokenMs), fiber);
            while (m_mute && !exchange.callerGone())
                sleepFor(milliseconds(10), fiber);
            ++m_tokens;
            const std::string text = "w" + std::to_string(token) + ' ';
            whole += text;
            if (!stream)
                continue;
            const json::object delta{{"content", text}};
            const json::value event = {
                {"id", shownId}, {"choices", json::array{json::object{{"index", 0}, {"delta", delta}}}}};
            const bool begun = token > 0 || exchange.startStream(200, "text/event-stream", fields, fiber);
            if (!begun || !exchange.sendPiece("data: " + json::serialize(event) + "\n\n", fiber)
                || exchange.callerGone()) {
                ++m_cancelled;
                m_tokensWasted += token + 1;
                return false;
            }
        }
        if (stream)
            return exchange.sendPiece("data: [DONE]\n\n", fiber) && exchange.endStream(fiber);
        const json::object message{{"role", "assistant"}, {"content", whole}};
        const json::value answer = {
            {"id", shownId},
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
    bool m_reportedReady = true;
    bool m_mute = false;
    bool m_crossed = false;
    std::int64_t m_completedCold = 0;
    std::int64_t m_running = 0;
    std::map<std::int64_t, int> m_waiting;
    std::map<std::string, std::int64_t> m_runs;
    std::int64_t m_started = 0;
    std::int64_t m_completed = 0;
    std::int64_t m_cancelled = 0;
    std::int64_t m_falls = 0;
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
