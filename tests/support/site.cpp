#include "site.h"

#include "chestnutsill/net/querytarget.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace chestnutsill::support {

namespace {

namespace json = boost::json;

constexpr const char *InitialTable = R"({
  "routes": [
    {"name": "plain", "hostname": "site.example", "path_prefix": "/plain/", "route_kind": "safe", "timeout_ms": 3000,
     "goal_ms": 500, "priority": 2, "service": "desk", "max_attempts": 2, "anonymous": false},
    {"name": "open", "hostname": "site.example", "path_prefix": "/open/", "route_kind": "safe", "timeout_ms": 3000,
     "goal_ms": 500, "priority": 2, "service": "desk", "max_attempts": 2, "anonymous": true},
    {"name": "booking", "hostname": "site.example", "path_prefix": "/booking/", "route_kind": "unsafe",
     "timeout_ms": 2000, "goal_ms": 500, "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": false},
    {"name": "stream", "hostname": "site.example", "path_prefix": "/stream/", "route_kind": "streaming",
     "timeout_ms": 5000, "goal_ms": 500, "priority": 1, "service": "chat", "max_attempts": 2, "anonymous": false,
     "affinity": true, "resumable": true, "target_gap_ms": 400},
    {"name": "once", "hostname": "site.example", "path_prefix": "/streamonce/", "route_kind": "streaming",
     "timeout_ms": 5000, "goal_ms": 500, "priority": 0, "service": "chat", "max_attempts": 1, "anonymous": false,
     "affinity": true, "resumable": false, "target_gap_ms": 400}],
  "services": [
    {"name": "desk", "health_path": "/healthz", "max_connections": 100, "cold_start_s": 0, "cold_per_s": 0},
    {"name": "chat", "health_path": "/healthz", "max_connections": 100, "cold_start_s": 1, "cold_per_s": 8,
     "engine": {"slots": 16, "kv_capacity": 500000}}],
  "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
  "tenants": [{"name": "account-1", "api_keys": ["key-1"], "priority": 1},
              {"name": "account-2", "api_keys": ["key-2"]}]})";

/// Third byte of the IP addresses of the instances. Derived from the process id, so that test processes
/// running at the same time use different addresses.
int networkOfProcess()
{
    constexpr int FirstNetwork = 10;
    constexpr int Networks = 200;
    return FirstNetwork + static_cast<int>(::getpid()) % Networks;
}

/// Executions by attempt id, and their times, in the log of an upstream.
std::multimap<std::string, std::int64_t> readRuns(const std::string &path)
{
    std::multimap<std::string, std::int64_t> runs;
    std::ifstream log(path);
    std::string word;
    std::string id;
    std::int64_t at = 0;
    while (log >> word) {
        if (word == "run" && log >> id >> at)
            runs.emplace(id, at);
    }
    return runs;
}

} // namespace

SiteCall callTo(const std::string &path, const std::string &attemptId, const std::string &body)
{
    SiteCall call;
    call.path = path;
    call.attemptId = attemptId;
    call.body = body;
    return call;
}

Site::Site(const std::string &name)
    : m_folder(std::string(CHESTNUTSILL_BUILD) + "/sites/" + name + '-' + std::to_string(::getpid()))
    , m_storeAddress(loopback(freePort()))
    , m_table(json::parse(InitialTable).as_object())
    , m_callerPort(freePort())
    , m_readinessPort(freePort())
    , m_directoryPort(freePort())
    , m_peerPort(freePort())
    , m_metricsPort(freePort())
    , m_network(networkOfProcess())
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_store.emplace(std::vector<std::string>{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin",
                                             "store", "--listen", m_storeAddress},
                    m_folder + "/store.log");
    (void)waitUntil([&] { return !readObject(m_storeAddress, "/stats").empty(); });
    publishTable();
}

Site::Upstream &Site::addUpstream(const std::string &id, const std::string &service, const std::string &zone,
                                  bool withProxy)
{
    m_upstreams.push_back(std::make_unique<Upstream>());
    Upstream &upstream = *m_upstreams.back();
    upstream.id = id;
    upstream.service = service;
    upstream.zone = zone;
    upstream.address = loopback(freePort());
    upstream.publishedAddress = upstream.address;
    startUpstream(upstream);
    if (withProxy) {
        upstream.publishedAddress = loopback(freePort());
        upstream.proxyControl = loopback(freePort());
        upstream.proxy.emplace(
            std::vector<std::string>{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin", "proxy",
                                     "--listen", upstream.publishedAddress, "--target", upstream.address,
                                     "--control", upstream.proxyControl},
            m_folder + '/' + id + "-proxy.log");
        (void)waitUntil([&] {
            return support::call(upstream.proxyControl, "POST", "/", R"({"mode":"pass"})").has_value();
        });
    }
    publishUpstream(upstream, "ready");
    return upstream;
}

void Site::startUpstream(Upstream &upstream)
{
    upstream.process.emplace(
        std::vector<std::string>{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin", "replica",
                                 "--listen", upstream.address, "--id", upstream.id, "--version",
                                 upstream.namesVersion ? upstream.softwareVersion : std::string()},
        m_folder + '/' + upstream.id + ".log");
    (void)waitUntil([&] { return !readObject(upstream.address, "/stats").empty(); });
}

void Site::publishUpstream(const Upstream &upstream, const std::string &state, int coldMs)
{
    const std::string key = "servers/" + upstream.id;
    if (state.empty())
        return removeItem(key);
    json::object entry{{"service", upstream.service}, {"address", upstream.publishedAddress},
                       {"zone", upstream.zone},       {"version", upstream.softwareVersion},
                       {"slots", upstream.slots},     {"state", state},
                       {"cold_remaining_ms", coldMs}, {"sequence", 1}};
    if (upstream.startUnixMs != 0)
        entry["born"] = upstream.startUnixMs;
    writeItem(key, json::serialize(entry));
}

void Site::setSoftwareVersion(Upstream &upstream, const std::string &version)
{
    upstream.softwareVersion = version;
    upstream.namesVersion = true;
    commandUpstream(upstream, json::serialize(json::object{{"version", version}}));
    publishUpstream(upstream, "ready");
}

void Site::commandProxy(const Upstream &upstream, const std::string &command)
{
    (void)support::call(upstream.proxyControl, "POST", "/", command);
}

void Site::cutOff(std::span<const std::size_t> instances, const std::string &how) const
{
    json::array sources;
    for (const std::size_t instance : instances)
        sources.emplace_back(m_instances.at(instance).ip);
    const std::string command = json::serialize(json::object{{"cut", std::move(sources)}, {"how", how}});
    for (const auto &upstream : m_upstreams) {
        if (upstream->proxy)
            commandProxy(*upstream, command);
    }
}

std::multimap<std::string, std::int64_t> Site::allRuns() const
{
    std::multimap<std::string, std::int64_t> runs;
    for (const auto &upstream : m_upstreams)
        runs.merge(readRuns(m_folder + '/' + upstream->id + ".log"));
    return runs;
}

std::vector<std::int64_t> Site::runTimes(const std::string &upstream) const
{
    std::vector<std::int64_t> times;
    for (const auto &[id, at] : readRuns(m_folder + '/' + upstream + ".log"))
        times.push_back(at);
    return times;
}

void Site::publishTable()
{
    m_version += 2;
    m_table["version"] = m_version;
    writeItem("op/config", json::serialize(m_table));
}

void Site::writeItem(const std::string &key, const std::string &value)
{
    (void)support::call(m_storeAddress, "PUT", queryTarget("/item", {{"key", key}}), value);
}

void Site::removeItem(const std::string &key)
{
    (void)support::call(m_storeAddress, "DELETE", queryTarget("/item", {{"key", key}}));
}

void Site::commandStore(const std::string &command) const
{
    (void)support::call(m_storeAddress, "POST", "/control", command);
}

std::int64_t Site::storeCalls() const
{
    return readObject(m_storeAddress, "/stats").at("calls").as_int64();
}

void Site::commandUpstream(const Upstream &upstream, const std::string &command)
{
    (void)support::call(upstream.address, "POST", "/control", command);
}

std::string Site::address(std::size_t instance, int port) const
{
    return m_instances[instance].ip + ':' + std::to_string(port);
}

std::string Site::settingsPath(std::size_t instance) const
{
    return m_folder + '/' + m_instances[instance].name + ".json";
}

void Site::writeSettings(std::size_t instance, int maxKeyConfirmationAgeMs) const
{
    json::array seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_instances.size(), 3); ++i)
        seeds.emplace_back(address(i, 1));
    const std::string zone(1, static_cast<char>('a' + static_cast<int>(instance) % m_zoneCount));
    const json::object settings{{"node_name", m_instances[instance].name},
                                {"zone", zone},
                                {"region", "r"},
                                {"ip", m_instances[instance].ip},
                                {"listen",
                                 {{"frontend", address(instance, m_callerPort)},
                                  {"readiness", address(instance, m_readinessPort)},
                                  {"directory", address(instance, m_directoryPort)}}},
                                {"internal_ports", {m_peerPort, m_peerPort}},
                                {"seeds", seeds},
                                {"platform", {{"address", m_storeAddress}}},
                                {"limits", m_limits},
                                {"bounds",
                                 {{"revoke_strict", true},
                                  {"revoke_ms", maxKeyConfirmationAgeMs},
                                  {"config_apply_ms", 2000},
                                  {"grace_s", m_terminationGraceSeconds},
                                  {"retry_budget_ratio", 0.2},
                                  {"retry_slack", 30},
                                  {"retry_window_s", 10}}}};
    // Replaces the file atomically, so that no instance reads a partly written one.
    std::ofstream(settingsPath(instance) + ".new") << json::serialize(settings);
    std::filesystem::rename(settingsPath(instance) + ".new", settingsPath(instance));
}

void Site::start(int count, int maxKeyConfirmationAgeMs)
{
    for (int i = 0; i < count; ++i)
        m_instances.push_back({"entry-" + std::to_string(i),
                               "127.1." + std::to_string(m_network) + '.' + std::to_string(i + 1),
                               std::nullopt});
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        writeSettings(i, maxKeyConfirmationAgeMs);
        startInstance(i);
    }
}

void Site::startInstance(std::size_t index)
{
    Instance &instance = m_instances[index];
    std::vector<std::string> command{"/usr/bin/env",
                                     "CHESTNUTSILL_CONFIG=" + settingsPath(index),
                                     std::string(CHESTNUTSILL_BUILD) + "/chestnutsilld",
                                     "--metrics-port",
                                     std::to_string(m_metricsPort),
                                     "--source-address",
                                     instance.ip};
    command.insert(command.end(), m_instanceFlags.begin(), m_instanceFlags.end());
    instance.process.emplace(command, m_folder + '/' + instance.name + ".log");
}

bool Site::waitReady()
{
    return waitUntil([&] {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            const json::object known = state(i);
            if (readiness(i) != 200 || directorySize(i) != m_instances.size() || known.empty()
                || known.at("upstreams").as_array().size() != m_upstreams.size())
                return false;
        }
        return true;
    });
}

std::optional<HttpResponse> Site::call(std::size_t instance, const SiteCall &call)
{
    std::vector<HttpField> fields{
        {"Host", "site.example"},
        {"X-Attempt-Id", call.attemptId.empty() ? "try-" + std::to_string(m_nextAttempt++) : call.attemptId}};
    if (!call.key.empty())
        fields.push_back({"Authorization", "Bearer " + call.key});
    fields.insert(fields.end(), call.fields.begin(), call.fields.end());
    return support::call(address(instance, m_callerPort), "POST", call.path, call.body, fields, call.timeout);
}

int Site::readiness(std::size_t instance) const
{
    const auto response = support::call(address(instance, m_readinessPort), "GET", "/api/readyz", {}, {},
                                        std::chrono::seconds(1));
    return response ? response->head.status : 0;
}

std::size_t Site::directorySize(std::size_t instance) const
{
    const json::object answer =
        readObject(address(instance, m_directoryPort), "/api/resolve?name=site.example&region=r&zone=a");
    const json::value *addresses = answer.if_contains("addresses");
    return addresses == nullptr ? 0 : addresses->as_array().size();
}

json::value Site::stat(const Upstream &upstream, const std::string &name)
{
    const json::object stats = readObject(upstream.address, "/stats");
    const json::value *value = stats.if_contains(name);
    return value == nullptr ? json::value(nullptr) : *value;
}

std::int64_t Site::runsOf(const std::string &attemptId) const
{
    std::int64_t sum = 0;
    for (const auto &upstream : m_upstreams) {
        const json::value runs = stat(*upstream, "runs");
        const json::value *count = runs.is_object() ? runs.as_object().if_contains(attemptId) : nullptr;
        sum += count == nullptr ? 0 : count->as_int64();
    }
    return sum;
}

std::int64_t Site::counter(std::size_t instance, const std::string &name, const std::string &kind) const
{
    const auto page = support::call(address(instance, m_metricsPort), "GET", "/metrics");
    const std::string start = "\nchestnutsill_" + name + "{kind=\"" + kind + "\"} ";
    const auto found = page ? page->body.find(start) : std::string::npos;
    return found == std::string::npos ? 0 : std::stoll(page->body.substr(found + start.size()));
}

std::vector<json::value> Site::logged(std::size_t instance, const std::string &event,
                                      const std::string &field) const
{
    std::vector<json::value> values;
    std::ifstream log(m_folder + '/' + m_instances[instance].name + ".log");
    for (std::string line; std::getline(log, line);) {
        boost::system::error_code error;
        const json::value entry = json::parse(line, error);
        if (error || !entry.is_object())
            continue;
        const json::value *name = entry.as_object().if_contains("event");
        const json::value *value = entry.as_object().if_contains(field);
        if (name != nullptr && *name == json::value(event) && value != nullptr)
            values.push_back(*value);
    }
    return values;
}

json::object Site::state(std::size_t instance) const
{
    return readObject(address(instance, m_metricsPort), "/state");
}

std::string Site::logOf(std::size_t instance) const
{
    std::ostringstream text;
    text << std::ifstream(m_folder + '/' + m_instances.at(instance).name + ".log").rdbuf();
    return text.str();
}

Site::ToolResult Site::runTool(const std::vector<std::string> &arguments) const
{
    constexpr int MaxSeconds = 20;
    const std::string output = m_folder + "/tool.log";
    std::filesystem::remove(output);
    std::vector<std::string> command{std::string(CHESTNUTSILL_BUILD) + "/chestnutsill"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    Process process(command, output);
    ToolResult result;
    result.status = process.waitForExit(MaxSeconds);
    std::ostringstream text;
    text << std::ifstream(output).rdbuf();
    result.output = text.str();
    return result;
}

Site::Upstream &Site::upstream(const std::string &id)
{
    for (const auto &upstream : m_upstreams) {
        if (upstream->id == id)
            return *upstream;
    }
    throw std::out_of_range("no upstream " + id);
}

} // namespace chestnutsill::support
