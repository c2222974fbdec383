#include "standin.h"

#include <boost/asio/steady_timer.hpp>

#include <unistd.h>

#include <deque>
#include <iostream>

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Stand-in for an upstream of the users' platform. It answers a plain request after `workMs` and a streaming
/// request with `events` events, one each `eventMs`, and counts executions. Commands to /control have the
/// fields `mode`, `events`, `eventMs`, `headMs` (time before the head of a stream), `workMs`, `version`,
/// which its events name unless it is empty, `rate`, the request rate that its responses name unless it is
/// empty, `retryAfter`, which its refusals state unless it is empty, `leaving`, whether its responses say
/// that it leaves, `room`, how many requests it takes at the same time before it rejects further ones (0 for
/// no limit), and `brittle`: it ends if it rejects more than so many in a second, and says so in its
/// responses (0 for never). Modes: ok; error (status 500); shed (rejects without executing); reset (executes,
/// then resets the connection); mute (executes, then sends nothing); cut (breaks off a stream in the middle
/// of an event); cut-first (the same, unless it resumes one); stray (sends a response to another request
/// first); refusal-before and refusal-after (sends, once, a refusal that names no request before or after the
/// response of the next request). A request whose body contains `poison` ends the process, and so does, after
/// the first event, a streaming request whose prompt has the shared part `dead`. A request whose body is an
/// object with the field `at` states the `mode`, `workMs` and `headMs` that apply to it, by id of the
/// upstream. Options: listen, id, version.
class Replica
{
public:
    Replica(boost::asio::io_context &io, const Options &options)
        : m_id(options.at("id"))
        , m_version(options.at("version"))
        , m_server(io, options.at("listen"), HttpLimits{},
                   [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); })
    {}

private:
    void handle(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        if (request.target == "/stats")
            return respondJson(exchange, 200, stats(), fiber);
        if (request.target == "/control")
            return control(exchange, fiber);
        const std::string id(request.field("X-Attempt-Id"));
        std::vector<HttpField> fields;
        if (m_leaving)
            fields.push_back({"Server-Leaving", "1"});
        if (request.target == "/healthz") {
            ++m_healthChecks;
            fields.push_back({"X-Replica-Id", m_id});
            return answer(exchange, m_leaving ? 503 : 200, fields, "", fiber);
        }
        if (request.field("X-Expect-Instance") != m_id)
            return answer(exchange, 421, {{"X-Replica-Id", m_id}, {"X-Attempt-Id", id}}, "", fiber);
        fields.push_back({"X-Attempt-Id", id});
        if (m_brittle > 0)
            fields.push_back({"Server-Brittle", std::to_string(m_brittle)});
        if (m_room > 0 && m_running >= m_room)
            recordRejection();
        if (m_mode == "shed" || (m_room > 0 && m_running >= m_room)) {
            fields.push_back({"X-Not-Executed", "1"});
            if (!m_retryAfter.empty())
                fields.push_back({"Retry-After", m_retryAfter});
            ++m_refused;
            return answer(exchange, 503, fields, "", fiber);
        }
        ++m_running;
        run(exchange, id, std::move(fields), fiber);
        --m_running;
    }

    /// Ends the process if it has rejected too many requests in the last second.
    void recordRejection()
    {
        m_rejections.push_back(unixMs());
        while (m_rejections.back() - m_rejections.front() >= 1000)
            m_rejections.pop_front();
        if (m_brittle > 0 && static_cast<std::int64_t>(m_rejections.size()) > m_brittle)
            ::_exit(1);
    }

    static json::object byId(const std::map<std::string, std::int64_t> &counts)
    {
        json::object object;
        for (const auto &[id, count] : counts)
            object[id] = count;
        return object;
    }

    json::value stats() const
    {
        return {{"runs", byId(m_runs)},         {"started", m_started},
                {"abandoned", m_abandoned},     {"abandonedRuns", byId(m_abandonedRuns)},
                {"refused", m_refused},         {"healthChecks", m_healthChecks},
                {"account", m_account},         {"keySeen", m_keySeen},
                {"lastEventId", m_lastEventId}, {"deadlineMs", m_deadlineMs},
                {"lastStartMs", m_lastStartMs}, {"rank", m_rank}};
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        if (const auto *mode = command.if_contains("mode"))
            m_mode = json::value_to<std::string>(*mode);
        m_events = integer(command, "events", m_events);
        m_eventMs = integer(command, "eventMs", m_eventMs);
        m_headMs = integer(command, "headMs", m_headMs);
        m_workMs = integer(command, "workMs", m_workMs);
        m_room = integer(command, "room", m_room);
        m_brittle = integer(command, "brittle", m_brittle);
        if (const auto *rate = command.if_contains("rate"))
            m_rate = json::value_to<std::string>(*rate);
        if (const auto *leaving = command.if_contains("leaving"))
            m_leaving = leaving->as_bool();
        if (const auto *retryAfter = command.if_contains("retryAfter"))
            m_retryAfter = json::value_to<std::string>(*retryAfter);
        if (const auto *version = command.if_contains("version"))
            m_version = json::value_to<std::string>(*version);
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
    }

    void recordRun(const HttpRequest &request, const std::string &id)
    {
        ++m_runs[id];
        ++m_started;
        m_lastStartMs = unixMs();
        // The log outlives the process, so that checks can count executions across crashes.
        std::cout << "run " << id << ' ' << m_lastStartMs << std::endl;
        m_account = request.field("X-Tenant");
        m_keySeen = m_keySeen || !request.field("Authorization").empty();
        m_lastEventId = request.field("Last-Event-Id");
        m_rank = request.field("X-Request-Priority");
        m_deadlineMs = std::string(request.field("X-Deadline-Ms"));
        if (request.body.find("poison") != std::string::npos)
            ::_exit(1);
    }

    void recordAbandoned(const HttpRequest &request)
    {
        ++m_abandoned;
        ++m_abandonedRuns[std::string(request.field("X-Attempt-Id"))];
    }

    void run(Exchange &exchange, const std::string &id, std::vector<HttpField> fields, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        recordRun(request, id);
        fields.push_back({"X-Server-Seal", m_id + '.' + id});
        if (!m_rate.empty())
            fields.push_back({"Server-Limit", m_rate});
        // A command that arrives while the request is in progress applies to the next one.
        const json::object own = ownCommand(request.body);
        const auto *ownMode = own.if_contains("mode");
        const std::string mode = ownMode != nullptr ? json::value_to<std::string>(*ownMode) : m_mode;
        if (request.target.find("/stream") != std::string::npos && mode != "error")
            return stream(exchange, fields, integer(own, "headMs", m_headMs), fiber);
        sleepFor(milliseconds(integer(own, "workMs", m_workMs)), fiber);
        if (exchange.callerGone())
            recordAbandoned(request);
        if (mode == "exit")
            ::_exit(1);
        if (mode == "mute")
            sleepFor(std::chrono::seconds(30), fiber);
        if (mode == "reset" || mode == "mute")
            return exchange.abort();
        if (mode == "stray") {
            m_mode = "ok";
            answer(exchange, 200, {{"X-Attempt-Id", "of-another"}}, "another answer", fiber);
        }
        const auto refuse = [&] {
            m_mode = "ok";
            answer(exchange, 503, {{"X-Not-Executed", "1"}, {"X-Replica-Id", m_id}}, "", fiber);
        };
        if (mode == "refusal-before")
            refuse();
        answer(exchange, mode == "error" ? 500 : 200, fields, "body of " + id, fiber);
        if (mode == "refusal-after")
            refuse();
    }

    /// What the body of a request states for this upstream.
    [[nodiscard]] json::object ownCommand(const std::string &body) const
    {
        if (body.find("\"at\"") == std::string::npos)
            return {};
        const json::object commands = parseObject(body);
        const json::value *own = commands.if_contains("at");
        own = own != nullptr && own->is_object() ? own->as_object().if_contains(m_id) : nullptr;
        return own != nullptr && own->is_object() ? own->as_object() : json::object();
    }

    void stream(Exchange &exchange, const std::vector<HttpField> &fields, std::int64_t headMs,
                const Fiber &fiber)
    {
        // A shared part is followed by another one.
        const std::string parts = ',' + std::string(exchange.request().field("X-Prefix-Hash"));
        const auto crashingPart = parts.find(",dead:");
        const bool hasCrashingPart =
            crashingPart != std::string::npos && parts.find(',', crashingPart + 1) != std::string::npos;
        const std::string last(exchange.request().field("Last-Event-Id"));
        const std::string data = m_version.empty() ? "token" : "token of " + m_version;
        const bool isCut = m_mode == "cut" || (m_mode == "cut-first" && last.empty());
        std::int64_t next = last.empty() ? 1 : std::stoll(last) + 1;
        std::vector<HttpField> all = fields;
        all.push_back({"Content-Type", "text/event-stream"});
        if (headMs > 0)
            sleepFor(milliseconds(headMs), fiber);
        exchange.startRelay(200, all, std::nullopt, fiber);
        for (; next <= m_events; ++next) {
            const std::string event = "id: " + std::to_string(next) + "\ndata: " + data + "\n\n";
            if ((isCut || m_mode == "cut") && next > m_events / 2) {
                exchange.sendPiece(event.substr(0, event.size() / 2), fiber);
                return exchange.abort();
            }
            if (exchange.callerGone() || !exchange.sendPiece(event, fiber)) {
                recordAbandoned(exchange.request());
                return exchange.abort();
            }
            sleepFor(milliseconds(m_eventMs), fiber);
            if (hasCrashingPart)
                ::_exit(1);
        }
        exchange.endStream(fiber);
    }

    static void answer(Exchange &exchange, int status, const std::vector<HttpField> &fields,
                       std::string_view body, const Fiber &fiber)
    {
        exchange.startRelay(status, fields, body.size(), fiber);
        exchange.sendPiece(body, fiber);
        exchange.endStream(fiber);
    }

    std::string m_id;
    std::string m_version;
    std::string m_mode = "ok";
    std::int64_t m_events = 6;
    std::int64_t m_eventMs = 10;
    std::int64_t m_headMs = 0;
    std::int64_t m_workMs = 10;
    std::int64_t m_room = 0;
    std::int64_t m_brittle = 0;
    std::int64_t m_running = 0;
    std::deque<std::int64_t> m_rejections;
    std::string m_rate;
    bool m_leaving = false;
    std::string m_retryAfter;
    std::map<std::string, std::int64_t> m_runs;
    std::int64_t m_started = 0;
    std::int64_t m_abandoned = 0;
    std::map<std::string, std::int64_t> m_abandonedRuns;
    std::int64_t m_refused = 0;
    std::int64_t m_healthChecks = 0;
    std::int64_t m_lastStartMs = 0;
    std::string m_account;
    std::string m_lastEventId;
    std::string m_deadlineMs;
    std::string m_rank;
    bool m_keySeen = false;
    HttpServer m_server;
};

} // namespace

void runReplica(boost::asio::io_context &io, const Options &options)
{
    const Replica replica(io, options);
    io.run();
}

} // namespace chestnutsill::standin
