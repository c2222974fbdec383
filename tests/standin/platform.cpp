#include "standin.h"

#include <deque>
#include <fstream>
#include <sstream>

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::int64_t queryNumber(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + '=');
    return at == std::string::npos ? 0 : std::strtoll(target.c_str() + at + name.size() + 1, nullptr, 10);
}

/// Stand-in for the platform: a configuration service with long polling, and an instance list whose changes
/// become visible after a delay. Operators publish with PUT /config, with a version one above the published
/// one; PUT /instances replaces the instance list. Options: listen, config (file), instances (file),
/// list-lag-ms.
class Platform
{
public:
    Platform(boost::asio::io_context &io, const Options &options)
        : m_config(readFile(options.at("config")))
        , m_listLagMs(number(options, "list-lag-ms", 500))
        , m_server(io, options.at("listen"), HttpLimits{},
                   [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); })
    {
        m_lists.emplace_back(0, readFile(options.at("instances")));
    }

private:
    void handle(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        const bool put = request.method == "PUT";
        if (request.target == "/control")
            return control(exchange, fiber);
        if (request.target == "/stats")
            return respondJson(exchange, 200,
                               json::object{{"configCalls", m_configCalls}, {"listCalls", m_listCalls}},
                               fiber);
        if (request.target.starts_with("/config"))
            return put ? publish(exchange, fiber) : readConfig(exchange, fiber);
        if (put) {
            m_lists.emplace_back(unixMs(), request.body);
            return respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
        }
        readList(exchange, fiber);
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        if (command.contains("configMode"))
            m_configMode = command.at("configMode").as_string().c_str();
        if (command.contains("listMode"))
            m_listMode = command.at("listMode").as_string().c_str();
        if (command.contains("staleConfig"))
            m_staleConfig = json::serialize(command.at("staleConfig"));
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
    }

    static std::int64_t versionOf(const std::string &text)
    {
        return integer(parseObject(text), "version", 0);
    }

    void publish(Exchange &exchange, const Fiber &fiber)
    {
        const std::string &text = exchange.request().body;
        const std::int64_t expected = versionOf(m_config) + 1;
        if (versionOf(text) != expected)
            return respondJson(exchange, 409,
                               json::object{{"error", "version must be " + std::to_string(expected)}}, fiber);
        m_config = text;
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
    }

    /// Handles a call in an outage: `silent` keeps it open until the caller disconnects, `down` breaks the
    /// connection at once. Returns false when the mode is no outage.
    static bool simulateOutage(const std::string &mode, Exchange &exchange, const Fiber &fiber)
    {
        if (mode == "silent") {
            while (!exchange.callerGone())
                sleepFor(milliseconds(50), fiber);
        }
        if (mode == "ok" || mode == "stale")
            return false;
        exchange.abort();
        return true;
    }

    void readConfig(Exchange &exchange, const Fiber &fiber)
    {
        ++m_configCalls;
        if (simulateOutage(m_configMode, exchange, fiber))
            return;
        const std::string &target = exchange.request().target;
        const std::int64_t after = queryNumber(target, "after");
        const std::int64_t until = unixMs() + queryNumber(target, "waitMs");
        // A stale service returns its old document to every call.
        if (m_configMode == "stale") {
            exchange.respond(200, "application/json", m_staleConfig, {}, fiber);
            return;
        }
        while (versionOf(m_config) <= after && unixMs() < until && m_configMode == "ok")
            sleepFor(milliseconds(10), fiber);
        if (simulateOutage(m_configMode, exchange, fiber))
            return;
        const bool newer = versionOf(m_config) > after;
        exchange.respond(newer ? 200 : 304, "application/json", newer ? m_config : std::string(), {}, fiber);
    }

    void readList(Exchange &exchange, const Fiber &fiber)
    {
        ++m_listCalls;
        if (simulateOutage(m_listMode, exchange, fiber))
            return;
        while (m_lists.size() > 1 && m_lists[1].first + m_listLagMs <= unixMs())
            m_lists.pop_front();
        exchange.respond(200, "application/json", m_lists.front().second, {}, fiber);
    }

    std::string m_config;
    std::string m_staleConfig;
    std::int64_t m_listLagMs;
    /// Published lists with the Unix time in milliseconds of their publication, oldest first.
    std::deque<std::pair<std::int64_t, std::string>> m_lists;
    std::string m_configMode = "ok";
    std::string m_listMode = "ok";
    std::int64_t m_configCalls = 0;
    std::int64_t m_listCalls = 0;
    HttpServer m_server;
};

} // namespace

void runPlatform(boost::asio::io_context &io, const Options &options)
{
    const Platform platform(io, options);
    io.run();
}

} // namespace chestnutsill::standin
