#pragma once

// Stand-in for a model replica of the platform.

#include "site.h"

namespace review {

/// Sends a head with these fields and a stream of events. False if the connection ends.
inline bool sendStream(Connection &connection, const Headers &headers, int events, milliseconds pause)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &[name, value] : headers)
        head += name + ": " + value + "\r\n";
    if (!connection.send(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int i = 1; i <= events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        if (!connection.send(chunk.str()))
            return false;
        std::this_thread::sleep_for(pause);
    }
    return connection.send("0\r\n\r\n");
}

/// Answers plain requests at once and streams with a few events. It counts what it runs.
class Replica
{
public:
    struct Run
    {
        Clock::time_point at;
        std::string attempt;
    };
    struct Options
    {
        int events = 3;
        milliseconds eventPause{5};
        /// Requests a second that all answers name; none if empty.
        std::string serverLimit;
    };

    Replica(std::string id, const std::string &ip, int port, Options options)
        : m_id(std::move(id))
        , m_options(std::move(options))
        , m_server(ip, port,
                   [this](Connection &connection, Message &request) { return handle(connection, request); })
    {}

    [[nodiscard]] std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    [[nodiscard]] const std::string &id() const { return m_id; }
    void setServerLimit(const std::string &limit)
    {
        const std::lock_guard lock(m_mutex);
        m_options.serverLimit = limit;
    }

private:
    bool handle(Connection &connection, Message &request)
    {
        if (request.target() == "/healthz")
            return connection.send(response(200, {{"X-Replica-Id", m_id}}, ""));
        if (request.field("X-Expect-Instance") != m_id)
            return connection.send(response(421, {{"X-Replica-Id", m_id}}, ""));
        const std::string attempt = request.field("X-Attempt-Id");
        Headers headers{
            {"X-Attempt-Id", attempt}, {"X-Server-Seal", m_id + '.' + attempt}, {"Keep-Alive", "timeout=10"}};
        {
            const std::lock_guard lock(m_mutex);
            if (!m_options.serverLimit.empty())
                headers.emplace_back("Server-Limit", m_options.serverLimit);
            m_runs.push_back({Clock::now(), attempt});
        }
        if (request.target().find("/stream") != 0)
            return connection.send(response(200, headers, "body of " + attempt));
        return sendStream(connection, headers, m_options.events, m_options.eventPause);
    }

    std::string m_id;
    Options m_options;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

/// A configuration of one streaming, one unsafe and one safe route.
inline std::string configuration(int version, const std::string &tenants)
{
    return "{\"version\":" + std::to_string(version)
           + R"(,"routes":[)"
             R"({"name":"quick","hostname":"site.example","path_prefix":"/stream/","route_kind":"streaming","timeout_ms":8000,)"
             R"("goal_ms":400,"priority":0,"service":"llm","max_attempts":2,"anonymous":false,"affinity":true,"resumable":true,"target_gap_ms":250},)"
             R"({"name":"book","hostname":"site.example","path_prefix":"/book/","route_kind":"unsafe","timeout_ms":600,"goal_ms":100,)"
             R"("priority":0,"service":"app","max_attempts":1,"anonymous":false},)"
             R"({"name":"read","hostname":"site.example","path_prefix":"/read/","route_kind":"safe","timeout_ms":600,"goal_ms":100,)"
             R"("priority":1,"service":"app","max_attempts":2,"anonymous":false}],)"
             R"("services":[{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":8.0,"engine":{"slots":64,"kv_capacity":402142,"kv_token_bytes":18432,"link_mbps":370000.0,"models":[{"name":"m"}]}},)"
             R"({"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
             R"("tenants":[)"
           + tenants + "]}";
}

inline const std::string TwoTenants =
    R"({"name":"trust","api_keys":["key-1"],"priority":1},{"name":"parish","api_keys":["key-2"],"priority":1})";

inline std::string hexadecimal(unsigned number)
{
    char text[16];
    std::snprintf(text, sizeof text, "%x", number);
    return text;
}

/// Tokens of the prompts of `quick-quirk`, and how many of them are parts of one token each in an odd prompt.
constexpr int PromptTokens = 1460;
constexpr int OddParts = 1400;

/// The parts of the prompt of a request: many of one token each, or two shared ones and the request's own.
inline std::string promptParts(unsigned request, bool isOdd)
{
    if (!isOdd)
        return hexadecimal(1 + request % 4) + ":100," + hexadecimal(100 + request % 90) + ":250,"
               + hexadecimal(0x100000 + request) + ":1110";
    std::string parts;
    for (unsigned i = 0; i < OddParts; ++i)
        parts += hexadecimal(0x1000000U + request * OddParts + i) + ":1,";
    return parts + hexadecimal(0x100000 + request) + ':' + std::to_string(PromptTokens - OddParts);
}

/// Headers of a client's request.
inline Headers requestHeaders(const std::string &attempt, const std::string &key, int deadlineMs)
{
    return {{"Host", "site.example"},
            {"X-Attempt-Id", attempt},
            {"X-Deadline-Ms", std::to_string(deadlineMs)},
            {"Authorization", "Bearer " + key}};
}

/// Headers of a stream request for `quick-quirk`.
inline Headers streamHeaders(const std::string &attempt, unsigned request, bool isOdd)
{
    Headers headers = requestHeaders(attempt, "key-1", 8000);
    headers.emplace_back("X-Model", "m");
    headers.emplace_back("X-Token-Count", std::to_string(PromptTokens) + ",80");
    headers.emplace_back("X-Prefix-Hash", promptParts(request, isOdd));
    return headers;
}

} // namespace review
