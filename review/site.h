#pragma once

#include "net.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

/// A small deployment on loopback: the platform's store, replicas and clients as stand-ins in this process,
/// and the project's daemon as separate processes.
namespace review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int NotRun = 2;

/// Ends a case that could not run. Children end with this process.
[[noreturn]] inline void giveUp(const std::string &reason)
{
    std::cerr << "the case could not run: " << reason << std::endl;
    ::_exit(NotRun);
}

/// Lines with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {}

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
        m_file << at << ' ' << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// Serves connections in threads that last as long as the process.
inline void serve(const std::string &address, std::function<void(Socket)> onConnection)
{
    auto listener = std::make_shared<Socket>(listenOn(address));
    if (!listener->isOpen())
        giveUp("cannot listen on " + address);
    std::thread([listener, onConnection = std::move(onConnection)] {
        for (;;) {
            Socket socket = acceptFrom(*listener);
            if (!socket.isOpen())
                continue;
            std::thread([onConnection, socket = std::move(socket)]() mutable {
                onConnection(std::move(socket));
            }).detach();
        }
    }).detach();
}

inline std::string respond(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string toBase64(std::string_view bytes)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? Digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// The platform's store. Its answers are linearizable.
class Store
{
public:
    explicit Store(const std::string &address)
    {
        serve(address, [this](Socket socket) { handle(std::move(socket)); });
    }

    /// Writes an item; the return is the acknowledgement.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {value, ++m_revision};
        m_history.push_back({key, m_revision});
        m_changed.notify_all();
    }

    /// Keeps a copy of all items, to which `restore` returns.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = {m_items, m_history, m_revision};
    }

    void restore()
    {
        const std::lock_guard lock(m_mutex);
        m_items = m_copy.items;
        m_history = m_copy.history;
        m_revision = m_copy.revision;
        ++m_era;
        m_changed.notify_all();
    }

    /// While the store is away it resets connections.
    void setAway(bool away)
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = away;
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    using Items = std::map<std::string, Item>;
    using History = std::vector<std::pair<std::string, std::uint64_t>>;

    struct Copy
    {
        Items items;
        History history;
        std::uint64_t revision = 0;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto found = target.find(name + '=');
        if (found == std::string::npos)
            return {};
        const auto begin = found + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static std::string describe(const std::string &key, const Item &item)
    {
        return R"({"key":")" + key + R"(","value":")" + toBase64(item.value) + R"(","revision":)"
               + std::to_string(item.revision) + R"(,"created":1,"lease":0})";
    }

    void handle(Socket socket)
    {
        Reader reader(socket);
        for (;;) {
            const auto request = reader.read(false, Clock::now() + std::chrono::seconds(60));
            if (!request)
                return;
            std::unique_lock lock(m_mutex);
            const std::uint64_t era = m_era;
            if (request->target().starts_with("/api/kv-watch"))
                waitForChange(lock, request->target(), era);
            if (m_isAway || (m_era != era && request->target().starts_with("/api/kv-watch")))
                return socket.reset();
            const std::string answer = request->target().starts_with("/api/kv-range") ? range()
                                       : request->target().starts_with("/api/kv-watch")
                                           ? changes(*request)
                                           : respond(404, {}, "{}");
            lock.unlock();
            if (!socket.write(answer))
                return;
        }
    }

    [[nodiscard]] std::string answer(int status, const std::string &body) const
    {
        return respond(
            status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n", body);
    }

    [[nodiscard]] std::string range() const
    {
        std::string items;
        for (const auto &[key, item] : m_items)
            items += (items.empty() ? "" : ",") + describe(key, item);
        return answer(200, R"({"items":[)" + items + R"(],"has_more":false,"at":)"
                               + std::to_string(m_revision) + '}');
    }

    void waitForChange(std::unique_lock<std::mutex> &lock, const std::string &target, std::uint64_t era)
    {
        const std::uint64_t after = std::stoull(query(target, "after"));
        const milliseconds wait(std::stoll(query(target, "wait_ms")));
        m_changed.wait_for(lock, wait, [&] { return m_isAway || m_era != era || m_revision != after; });
    }

    [[nodiscard]] std::string changes(const Message &request) const
    {
        const std::uint64_t after = std::stoull(query(request.target(), "after"));
        if (after > m_revision)
            return answer(410, "{}");
        std::string events;
        for (const auto &[key, revision] : m_history) {
            const auto item = m_items.find(key);
            if (revision > after && item->second.revision == revision)
                events += (events.empty() ? "" : ",") + describe(key, item->second);
        }
        return answer(200, R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + '}');
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Items m_items;
    History m_history;
    Copy m_copy;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    bool m_isAway = false;
};

/// A replica as the pages describe a sound one: it names the attempt, refuses requests for another replica,
/// and keeps its connections. `answer` writes the answer to one request and returns whether the connection is
/// kept.
class Replica
{
public:
    using Answer = std::function<bool(const Replica &self, const Message &request, const Socket &socket)>;

    Replica(std::string id, Record &record, Answer answer, const std::string &address = {})
        : m_id(std::move(id))
        , m_address(address.empty() ? "127.0.0.1:" + std::to_string(freePort("127.0.0.1")) : address)
        , m_record(record)
        , m_answer(std::move(answer))
    {
        serve(m_address, [this](Socket socket) { handle(std::move(socket)); });
    }

    /// Fields of each of its answers to a request.
    [[nodiscard]] std::string fields(const Message &request) const
    {
        const std::string attempt = request.field("x-attempt-id");
        return "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + m_id + '.' + attempt
               + "\r\nKeep-Alive: timeout=5\r\n";
    }

    /// The entry in the store of a replica that starts now.
    [[nodiscard]] static std::string entryOf(const std::string &address, const std::string &service,
                                             int slots)
    {
        return R"({"service":")" + service + R"(","address":")" + address
               + R"(","zone":"a","version":"v1","slots":)" + std::to_string(slots)
               + R"(,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":)" + std::to_string(unixMs())
               + '}';
    }

    [[nodiscard]] std::string entry(const std::string &service, int slots) const
    {
        return entryOf(m_address, service, slots);
    }

    [[nodiscard]] const std::string &id() const { return m_id; }

    /// How often it has run an attempt.
    int runsOf(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(attempt);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    void handle(Socket socket)
    {
        Reader reader(socket);
        for (;;) {
            const auto request = reader.read(false, Clock::now() + std::chrono::seconds(5));
            if (!request || !request->isComplete)
                return;
            if (request->target() == "/healthz") {
                if (!socket.write(respond(200, "X-Replica-Id: " + m_id + "\r\n", "")))
                    return;
                continue;
            }
            const std::string attempt = request->field("x-attempt-id");
            if (request->field("x-expect-instance") != m_id) {
                if (!socket.write(respond(421, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", "")))
                    return;
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                ++m_runs[attempt];
            }
            m_record.add("run " + attempt + " at " + m_id + " tenant=" + request->field("x-tenant"));
            if (!m_answer(*this, *request, socket))
                return;
        }
    }

    std::string m_id;
    std::string m_address;
    Record &m_record;
    Answer m_answer;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

/// The daemon processes, and the folder for their settings and logs. All end with this process.
class Instances
{
public:
    /// Takes the command of the deploy file.
    Instances(std::string command, std::string storeAddress, int count)
        : m_command(std::move(command))
        , m_storeAddress(std::move(storeAddress))
    {
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        std::random_device random;
        const std::string network =
            "127." + std::to_string(1 + random() % 200) + '.' + std::to_string(random() % 250) + '.';
        for (int i = 0; i < count; ++i)
            m_ips.push_back(network + std::to_string(1 + i));
        for (int &port : m_ports)
            port = freePort(m_ips[0]);
        for (const std::string &ip : m_ips)
            checkFree(ip + ":9464");
        m_pids.resize(m_ips.size(), -1);
    }

    /// Ends all instances and this process, whose threads may still serve connections.
    [[noreturn]] void finish(int result)
    {
        for (std::size_t i = 0; i < m_pids.size(); ++i)
            kill(i);
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder);
        else
            std::cout << "logs in " << m_folder << std::endl;
        ::_exit(result);
    }

    [[nodiscard]] std::string frontend(std::size_t i) const { return address(i, 0); }
    [[nodiscard]] std::string directory(std::size_t i) const { return address(i, 2); }

    void start(std::size_t i)
    {
        const std::string settings = m_folder + "/settings-" + std::to_string(i) + ".json";
        std::ofstream(settings) << settingsText(i);
        const std::string log = m_folder + "/log-" + std::to_string(i);
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(NotRun);
            ::setenv("CHESTNUTSILL_CONFIG", settings.c_str(), 1);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            std::vector<std::string> words;
            std::istringstream command(m_command);
            for (std::string word; command >> word;)
                words.push_back(word);
            std::vector<char *> arguments;
            for (std::string &word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(NotRun);
        }
        m_pids[i] = pid;
    }

    void signal(std::size_t i, int number) const
    {
        if (m_pids[i] > 0)
            ::kill(m_pids[i], number);
    }

    /// Whether the process has ended by itself.
    bool hasEnded(std::size_t i)
    {
        if (m_pids[i] > 0 && ::waitpid(m_pids[i], nullptr, WNOHANG) == m_pids[i])
            m_pids[i] = -1;
        return m_pids[i] < 0;
    }

    void kill(std::size_t i)
    {
        if (m_pids[i] <= 0)
            return;
        ::kill(m_pids[i], SIGKILL);
        ::waitpid(m_pids[i], nullptr, 0);
        m_pids[i] = -1;
    }

    /// Status of the readiness check; 0 without a response.
    [[nodiscard]] int readiness(std::size_t i) const
    {
        const Socket socket = connectTo(address(i, 1));
        if (!socket.isOpen() || !socket.write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
            return 0;
        Reader reader(socket);
        const auto response = reader.read(true, Clock::now() + std::chrono::seconds(1));
        return response ? response->status() : 0;
    }

    void awaitReady()
    {
        const auto until = Clock::now() + std::chrono::seconds(15);
        for (std::size_t i = 0; i < m_ips.size(); ++i) {
            while (readiness(i) != 200) {
                if (Clock::now() > until || hasEnded(i))
                    giveUp("instance " + std::to_string(i) + " did not become ready");
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        // Heartbeats and entries reach all instances.
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }

private:
    [[nodiscard]] std::string address(std::size_t i, std::size_t port) const
    {
        return m_ips[i] + ':' + std::to_string(m_ports[port]);
    }

    static void checkFree(const std::string &address)
    {
        if (!listenOn(address).isOpen())
            giveUp(address + " is in use");
    }

    [[nodiscard]] std::string settingsText(std::size_t i) const
    {
        const std::string name = "edge-a-" + std::to_string(i + 1);
        std::string seeds;
        for (std::size_t j = 0; j < m_ips.size() && j < 3; ++j)
            seeds += (j > 0 ? ",\"" : "\"") + address(j, 3) + '"';
        return R"({"node_name":")" + name
               + R"(","role":"entry","machine_class":"edge","serves":["edge","control","registry"],"ip":")"
               + m_ips[i] + R"(","zone":"a","region":"r","zones":{"a":"r"},"listen":{"frontend":")"
               + address(i, 0) + R"(","readiness":")" + address(i, 1) + R"(","directory":")" + address(i, 2)
               + R"(","control_plane":")" + address(i, 3) + R"("},"internal_ports":[)"
               + std::to_string(m_ports[4]) + ',' + std::to_string(m_ports[4] + 15) + R"(],"seeds":[)" + seeds
               + R"(],"bootstrap":true,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,)"
               + R"("file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},"data_dir":null,)"
               + R"("discovery":"platform","entry":"registry","heartbeat_ms":1200,)"
               + R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,)"
               + R"("drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,)"
               + R"("rollback_slack_ms":250,"outer_bound_ms":5000,"revoke_strict":true,"revoke_ms":5000,)"
               + R"("retry_budget_ratio":0.2,"retry_window_s":10,"retry_slack":56,"cold_factor":1.5,)"
               + R"("cold_slack":5,"evacuation_ms":5000,"recovery_s":12,"delivery_lag_ms":120,)"
               + R"("reuse_window_s":10,"ttl_max_s":5},"platform":{"address":")" + m_storeAddress
               + R"(","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,)"
               + R"("value_bytes":1048576,"ttl_min_ms":1000}})";
    }

    std::string m_command;
    std::string m_storeAddress;
    std::string m_folder;
    std::vector<std::string> m_ips;
    /// Of the frontend, readiness, directory, control plane, and the first internal port.
    int m_ports[5] = {};
    std::vector<pid_t> m_pids;
};

/// One attempt of a client.
struct Call
{
    std::string attempt;
    std::string method = "POST";
    std::string path;
    std::string key = "key-1";
    int deadlineMs = 1000;
    std::string body = "{}";
};

inline std::string toText(const Call &call)
{
    return call.method + ' ' + call.path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + call.attempt
           + "\r\nX-Deadline-Ms: " + std::to_string(call.deadlineMs) + "\r\nAuthorization: Bearer " + call.key
           + "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

inline std::string describe(const std::optional<Message> &response)
{
    if (!response)
        return "no answer";
    const std::string seal = response->field("x-server-seal");
    return std::to_string(response->status()) + (response->isComplete ? " complete" : " broken off")
           + " seal=" + (seal.empty() ? "none" : seal) + " attempt=" + response->field("x-attempt-id")
           + " bytes=" + std::to_string(response->body.size());
}

/// Whether the run includes the disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string routeText(const std::string &name, const std::string &kind, int timeoutMs,
                             const std::string &service, int maxAttempts, const std::string &more = {})
{
    return R"({"name":")" + name + R"(","hostname":"site.example","path_prefix":"/)" + name
           + R"(/","route_kind":")" + kind + R"(","timeout_ms":)" + std::to_string(timeoutMs)
           + R"(,"goal_ms":150,"priority":2,"service":")" + service + R"(","max_attempts":)"
           + std::to_string(maxAttempts) + more + '}';
}

inline std::string tableText(int version, const std::string &routes, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
           + R"(],"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"cold_start_s":0,)"
           + R"("cold_per_s":0},{"name":"llm","health_path":"/healthz","max_connections":370,)"
           + R"("cold_start_s":0,"cold_per_s":0}],"limits":{"max_header_bytes":8192,)"
           + R"("max_body_bytes":4194304,"header_timeout_ms":2000,"idle_timeout_ms":10000},"tenants":[)"
           + tenants + "]}";
}

inline std::string tenantText(const std::string &name, const std::string &keys)
{
    return R"({"name":")" + name + R"(","api_keys":[)" + keys + "]}";
}

} // namespace review
