#include "standin.h"

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Stand-in for a plain service whose calls must not be retried. Counts executions by request id. Options:
/// listen, latency-ms.
class Service
{
public:
    Service(boost::asio::io_context &io, const Options &options)
        : m_latencyMs(number(options, "latency-ms", 30))
        , m_incarnation("s" + std::to_string(unixMs()))
        , m_server(io, options.at("listen"), HttpLimits{},
                   [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); })
    {}

private:
    void handle(Exchange &exchange, const Fiber &fiber)
    {
        const std::string &target = exchange.request().target;
        if (target == "/load")
            respondJson(exchange, 200,
                        {{"incarnation", m_incarnation}, {"ready", true}, {"running", m_running}}, fiber);
        else if (target == "/stats")
            respondJson(exchange, 200, stats(), fiber);
        else if (target == "/control")
            control(exchange, fiber);
        else
            book(exchange, fiber);
    }

    json::value stats() const
    {
        json::object runs;
        for (const auto &[id, count] : m_runs)
            runs[id] = count;
        return {{"runs", std::move(runs)},
                {"started", m_started},
                {"lastStartMs", m_lastStartMs},
                {"maxRunning", m_maxRunning}};
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        m_latencyMs = integer(command, "latencyMs", m_latencyMs);
        m_closeAfterRun = integer(command, "closeAfterRun", 0);
        m_closeBeforeRun = integer(command, "closeBeforeRun", 0);
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
    }

    void book(Exchange &exchange, const Fiber &fiber)
    {
        if (m_closeBeforeRun > 0) {
            --m_closeBeforeRun;
            exchange.abort();
            return;
        }
        const std::string id(exchange.request().field("x-request-id"));
        ++m_runs[id];
        ++m_started;
        m_maxRunning = std::max(m_maxRunning, ++m_running);
        m_lastStartMs = unixMs();
        sleepFor(milliseconds(m_latencyMs), fiber);
        --m_running;
        if (m_closeAfterRun > 0) {
            --m_closeAfterRun;
            exchange.abort();
            return;
        }
        const HttpField echo{"x-request-id", id};
        exchange.respond(200, "application/json",
                         json::serialize(json::object{{"booked", id}, {"number", m_started}}) + '\n',
                         {&echo, 1}, fiber);
    }

    std::int64_t m_latencyMs;
    std::string m_incarnation;
    std::int64_t m_closeAfterRun = 0;
    std::int64_t m_closeBeforeRun = 0;
    std::int64_t m_running = 0;
    std::int64_t m_maxRunning = 0;
    std::int64_t m_started = 0;
    std::int64_t m_lastStartMs = 0;
    std::map<std::string, std::int64_t> m_runs;
    HttpServer m_server;
};

} // namespace

void runService(boost::asio::io_context &io, const Options &options)
{
    const Service service(io, options);
    io.run();
}

} // namespace chestnutsill::standin
