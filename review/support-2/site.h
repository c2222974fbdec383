#pragma once

// A small site of the platform on loopback: the store, replicas and instances of the project as processes.

#include "http.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace review {

/// Writes lines with the time since the start to a file.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {}
    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now() << " ms  " << text << std::endl;
    }

private:
    std::ofstream m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

inline std::string base64(const std::string &text)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](std::size_t at) {
            return at < text.size() ? static_cast<unsigned char>(text[at]) : 0U;
        };
        const unsigned group = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
        encoded += Digits[group >> 18];
        encoded += Digits[group >> 12 & 63];
        encoded += i + 1 < text.size() ? Digits[group >> 6 & 63] : '=';
        encoded += i + 2 < text.size() ? Digits[group & 63] : '=';
    }
    return encoded;
}

/// Value of a parameter of a query, decoded as HTTP servers do.
inline std::string query(const std::string &target, const std::string &name)
{
    const auto start = target.find('?');
    if (start == std::string::npos)
        return {};
    std::istringstream parameters(target.substr(start + 1));
    std::string parameter;
    while (std::getline(parameters, parameter, '&')) {
        if (parameter.compare(0, name.size() + 1, name + '=') != 0)
            continue;
        std::string value;
        for (std::size_t i = name.size() + 1; i < parameter.size(); ++i) {
            if (parameter[i] == '%' && i + 2 < parameter.size()) {
                value += static_cast<char>(std::strtoul(parameter.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += parameter[i];
            }
        }
        return value;
    }
    return {};
}

/// The platform's store: pages of at most about 500 items or 1 MB, and watches.
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_server(std::make_unique<Server>(ip, port, [this](Connection &connection, Message &request) {
            return handle(connection, request);
        }))
    {}
    ~Store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_ending = true;
        }
        m_server.reset();
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        const Item item{key, value, ++m_revision};
        m_items[key] = item;
        m_history.push_back(item);
    }

    [[nodiscard]] int rangeCalls() const { return m_rangeCalls; }

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
    };

    static std::string describe(const Item &item)
    {
        const std::string revision = std::to_string(item.revision);
        return "{\"key\":\"" + item.key + "\",\"revision\":" + revision + ",\"value\":\"" + base64(item.value)
               + "\",\"created\":" + revision + ",\"lease\":0}";
    }

    bool handle(Connection &connection, Message &request)
    {
        const std::string target = request.target();
        const std::string text = target.starts_with("/api/kv-range")   ? range(target)
                                 : target.starts_with("/api/kv-watch") ? watch(connection, target)
                                                                       : std::string("404");
        if (text.empty())
            return false;
        const int status = text.size() == 3 ? std::atoi(text.c_str()) : 200;
        return connection.send(response(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                                        status == 200 ? text : std::string("{}")));
    }

    std::string range(const std::string &target)
    {
        constexpr std::size_t PageItems = 500;
        constexpr std::size_t PageBytes = 1 << 20;
        ++m_rangeCalls;
        const std::string prefix = query(target, "path_prefix");
        const std::lock_guard lock(m_mutex);
        std::string items;
        std::size_t count = 0;
        std::size_t bytes = 0;
        bool more = false;
        for (auto at = m_items.upper_bound(query(target, "after")); at != m_items.end(); ++at) {
            if (!at->first.starts_with(prefix))
                continue;
            if (count >= PageItems || bytes >= PageBytes) {
                more = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + describe(at->second);
            bytes += at->second.value.size();
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false")
               + ",\"at\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(Connection &connection, const std::string &target)
    {
        const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const std::string prefix = query(target, "path_prefix");
        const auto until = Clock::now() + milliseconds(std::atoi(query(target, "wait_ms").c_str()));
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_ending)
                    return {};
                std::string events;
                for (const Item &item : m_history) {
                    if (item.revision > after && item.key.starts_with(prefix))
                        events += (events.empty() ? "" : ",") + describe(item);
                }
                if (!events.empty() || Clock::now() >= until)
                    return "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}";
            }
            if (connection.peerClosed())
                return {};
            std::this_thread::sleep_for(milliseconds(2));
        }
    }

    std::mutex m_mutex;
    std::map<std::string, Item> m_items;
    std::deque<Item> m_history;
    std::uint64_t m_revision = 1;
    std::atomic<bool> m_ending = false;
    std::atomic<int> m_rangeCalls = 0;
    std::unique_ptr<Server> m_server;
};

/// Words of the command in the deploy file that starts an instance.
inline std::vector<std::string> deployCommand()
{
    const std::string start = "run = \"";
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line) && !line.starts_with(start)) {
    }
    if (line.size() <= start.size())
        throw std::runtime_error("deploy/system.toml names no command");
    std::istringstream words(line.substr(start.size(), line.rfind('"') - start.size()));
    std::vector<std::string> command;
    for (std::string word; words >> word;)
        command.push_back(word);
    return command;
}

/// A process of the project. Ends with the test.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &environment, const std::string &log)
    {
        std::vector<char *> arguments;
        for (const std::string &word : command)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(1);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::putenv(const_cast<char *>(environment.c_str()));
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    ~Process() { stop(SIGKILL); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void stop(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    /// Whether the process runs; it may have ended by itself.
    [[nodiscard]] bool runs()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }
    /// Resident memory in KB.
    [[nodiscard]] long residentKb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::strtol(line.c_str() + 6, nullptr, 10);
        }
        return 0;
    }

private:
    pid_t m_pid = 0;
};

/// A free port on an address. The same number is used on all addresses of a site.
inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = toAddress(ip, 0);
    ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

struct SiteOptions
{
    int instances = 3;
    int memoryMb = 110;
};

/// Store and instances with settings like those of kimlong-rota.
class Site
{
public:
    explicit Site(const SiteOptions &options)
        : m_options(options)
        , m_network("127." + std::to_string(20 + ::getpid() % 200) + '.'
                    + std::to_string(1 + ::getpid() / 200 % 250) + '.')
        , m_folder(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
        for (int *port : {&m_frontend, &m_readiness, &m_control, &m_directory, &m_peer})
            *port = freePort(ip(0));
        m_storePort = freePort(ip(200));
        store = std::make_unique<Store>(ip(200), m_storePort);
        m_processes.resize(static_cast<std::size_t>(options.instances));
    }
    ~Site()
    {
        m_processes.clear();
        store.reset();
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder);
        else
            std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
    }

    [[nodiscard]] std::string ip(int index) const { return m_network + std::to_string(index + 1); }
    [[nodiscard]] int frontend() const { return m_frontend; }
    [[nodiscard]] int directory() const { return m_directory; }
    [[nodiscard]] Process &process(int index) { return *m_processes.at(static_cast<std::size_t>(index)); }

    void startInstance(int index)
    {
        const std::string name = "edge-" + std::to_string(index);
        const std::string path = m_folder / (name + ".json");
        std::ofstream(path) << settings(index, name);
        m_processes.at(static_cast<std::size_t>(index)) = std::make_unique<Process>(
            deployCommand(), "CHESTNUTSILL_CONFIG=" + path, m_folder / (name + ".log"));
    }
    void startAll()
    {
        for (int i = 0; i < m_options.instances; ++i)
            startInstance(i);
    }

    [[nodiscard]] bool isReady(int index) const
    {
        const auto answer =
            call(ip(index), m_readiness, "GET", "/api/readyz", {{"Host", "x"}}, {}, milliseconds(500));
        return answer && answer->status() == 200;
    }
    /// Number of instances that an instance names to clients.
    [[nodiscard]] int namedInstances(int index) const
    {
        const auto answer =
            call(ip(index), m_directory, "GET", "/api/resolve?name=site.example&region=r&zone=a",
                 {{"Host", "x"}}, {}, milliseconds(500));
        if (!answer || answer->status() != 200)
            return 0;
        int count = 0;
        for (auto at = answer->body.find("\"127."); at != std::string::npos;
             at = answer->body.find("\"127.", at + 1))
            ++count;
        return count;
    }
    /// Waits until all instances are ready and name each other.
    [[nodiscard]] bool waitReady(milliseconds timeout = milliseconds(15000)) const
    {
        const auto deadline = Clock::now() + timeout;
        for (int i = 0; i < m_options.instances; ++i) {
            while (!isReady(i) || namedInstances(i) != m_options.instances) {
                if (Clock::now() >= deadline)
                    return false;
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        return true;
    }

    /// Publishes a replica. `born` differs between its incarnations.
    void publishReplica(const std::string &id, const std::string &service, const std::string &address,
                        int slots, int born = 1) const
    {
        store->put("servers/" + id,
                   "{\"service\":\"" + service + "\",\"address\":\"" + address
                       + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
                       + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,\"born\":"
                       + std::to_string(born) + "}");
    }

    std::unique_ptr<Store> store;

private:
    [[nodiscard]] std::string settings(int index, const std::string &name) const
    {
        const std::string own = ip(index);
        const auto at = [&](int port) { return '"' + own + ':' + std::to_string(port) + '"'; };
        std::string seeds;
        for (int i = 0; i < std::min(m_options.instances, 3); ++i)
            seeds += (i > 0 ? ",\"" : "\"") + ip(i) + ':' + std::to_string(m_control) + '"';
        return "{\"node_name\":\"" + name
               + R"(","role":"entry","machine_class":"edge","serves":["edge","control","registry"],"ip":")"
               + own + R"(","zone":"a","region":"r","zones":{"a":"r"},"listen":{"frontend":)" + at(m_frontend)
               + ",\"readiness\":" + at(m_readiness) + ",\"control_plane\":" + at(m_control)
               + ",\"directory\":" + at(m_directory) + "},\"internal_ports\":[" + std::to_string(m_peer) + ","
               + std::to_string(m_peer) + "],\"seeds\":[" + seeds
               + R"(],"bootstrap":true,"in_tolerance":false,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":)"
               + std::to_string(m_options.memoryMb)
               + R"(,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},"data_dir":null,"discovery":"platform",)"
               + R"("entry":"registry","heartbeat_ms":1200,"fault_tolerance":{"machines":2,"zones":1,"regions":0},)"
               + R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,)"
               + R"("grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"outer_bound_ms":5000,)"
               + R"("revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"retry_slack":52,)"
               + R"("cold_factor":1.5,"cold_slack":5,"evacuation_ms":5000,"recovery_s":12,"delivery_lag_ms":120,)"
               + R"("reuse_window_s":9,"ttl_max_s":5},"platform":{"address":")" + ip(200) + ':'
               + std::to_string(m_storePort)
               + R"(","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}})";
    }

    SiteOptions m_options;
    std::string m_network;
    std::filesystem::path m_folder;
    int m_frontend = 0;
    int m_readiness = 0;
    int m_control = 0;
    int m_directory = 0;
    int m_peer = 0;
    int m_storePort = 0;
    std::vector<std::unique_ptr<Process>> m_processes;
};

/// Whether the case runs with its disruption.
inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Prints and returns the result: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
inline int finish(Record &record, int status, const std::string &text)
{
    record.line((status == 0 ? "held: " : status == 1 ? "broken: " : "could not run: ") + text);
    std::printf("%s%s\n",
                status == 0   ? "held: "
                : status == 1 ? "broken: "
                              : "could not run: ",
                text.c_str());
    return status;
}

} // namespace review
