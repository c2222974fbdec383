#pragma once

// Stand-ins for a case of the review: the platform's store, upstreams and callers, as threads of one process
// that starts the daemons as processes of their own. Everything listens on loopback addresses.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Milliseconds since the start of the case.
inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes record.txt. Each line begins with the time.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
    {}

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << ' ' << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Message
{
    /// Method and target, or status, of the first line.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        for (const auto &[known, value] : fields) {
            if (strcasecmp(known.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto &item) {
            return strcasecmp(item.first.c_str(), name.c_str()) == 0;
        });
    }
};

inline sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// A connection whose messages are read and written whole.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { ::close(m_descriptor); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &address)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = socketAddress(address);
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads a message. Returns nothing at the end of the connection or after the timeout.
    std::optional<Message> read(bool isRequest, std::int64_t timeoutMs)
    {
        const std::int64_t deadline = nowMs() + timeoutMs;
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        Message message = parseHead(m_buffer.substr(0, end), isRequest);
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(std::move(message), deadline);
        const std::string length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!receive(deadline))
                return std::nullopt;
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message;
    }

    /// Bytes that have arrived beyond the last message.
    [[nodiscard]] const std::string &rest() const noexcept { return m_buffer; }

    /// Whether the other side has closed the connection.
    [[nodiscard]] bool isClosed() const
    {
        pollfd state{m_descriptor, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /// Ends the connection in both directions, also while another thread reads from it.
    void shutDown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

    /// Makes the close of the connection reset it.
    void resetOnClose() const
    {
        const linger option{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    bool receive(std::int64_t deadline)
    {
        const std::int64_t left = deadline - nowMs();
        pollfd waiting{m_descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char piece[65536];
        const auto count = ::recv(m_descriptor, piece, sizeof piece, 0);
        if (count <= 0)
            return false;
        m_buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    static Message parseHead(const std::string &head, bool isRequest)
    {
        Message message;
        std::size_t at = 0;
        bool isFirst = true;
        while (at <= head.size()) {
            const auto end = std::min(head.find("\r\n", at), head.size());
            const std::string line = head.substr(at, end - at);
            at = end + 2;
            if (isFirst) {
                const auto space = line.find(' ');
                const std::string second = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
                if (isRequest) {
                    message.method = line.substr(0, space);
                    message.target = second;
                } else {
                    message.status = std::atoi(second.c_str());
                }
                isFirst = false;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        value == std::string::npos ? std::string() : line.substr(value));
        }
        return message;
    }

    std::optional<Message> readChunks(Message message, std::int64_t deadline)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!receive(deadline))
                    return std::nullopt;
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!receive(deadline))
                    return std::nullopt;
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return message;
        }
    }

    int m_descriptor;
    std::string m_buffer;
};

inline int listenOn(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(descriptor, 512) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return descriptor;
}

/// A port that is free on 127.0.0.1.
inline int freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = socketAddress("127.0.0.1:0");
    socklen_t size = sizeof own;
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &size);
    ::close(descriptor);
    return ntohs(own.sin_port);
}

/// Serves each connection in a thread of its own. The handler returns false to close the connection.
class Server
{
public:
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    Server(std::string address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
        start();
    }

    ~Server() { stop(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void start()
    {
        m_stopped = false;
        m_listener = listenOn(m_address);
        m_accepting = std::thread([this] { accept(); });
    }

    /// Stops listening and ends all connections.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        endConnections();
        while (m_open > 0)
            sleepMs(1);
    }

    void endConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections)
            connection->shutDown();
    }

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

private:
    void accept()
    {
        while (!m_stopped) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const auto connection = std::make_shared<Connection>(descriptor);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(connection);
            }
            ++m_open;
            std::thread([this, connection] {
                constexpr std::int64_t IdleMs = 60'000;
                while (!m_stopped) {
                    const auto request = connection->read(true, IdleMs);
                    if (!request || !m_handler(*connection, *request))
                        break;
                }
                connection->shutDown();
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.erase(connection);
                }
                --m_open;
            }).detach();
        }
    }

    std::string m_address;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped = true;
    std::atomic<int> m_open = 0;
    std::thread m_accepting;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
};

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                            const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: linearizable, with an era, watches that may be cut, and a copy to which it returns.
class Store
{
public:
    explicit Store(Record &record)
        : m_record(record)
        , m_server(
              "127.0.0.1:" + std::to_string(freePort()),
              [this](Connection &connection, const Message &request) { return serve(connection, request); })
    {}

    ~Store()
    {
        cutWatches();
        m_server.stop();
    }

    [[nodiscard]] const std::string &address() const noexcept { return m_server.address(); }

    /// Both return after the acknowledgement.
    void put(const std::string &key, const std::string &value) { write({key, value, 0, false}); }
    void remove(const std::string &key) { write({key, {}, 0, true}); }

    /// Closes the connections of all waiting watches without a response. Returns their number.
    int cutWatches()
    {
        const std::lock_guard lock(m_mutex);
        const int waiting = m_waiting;
        ++m_cuts;
        m_changed.notify_all();
        return waiting;
    }

    /// Makes all open connections silent for good, without a reset. New ones work. Returns their number.
    std::size_t silenceConnections()
    {
        const std::lock_guard lock(m_mutex);
        m_silent.insert(m_seen.begin(), m_seen.end());
        m_changed.notify_all();
        return m_seen.size();
    }

    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = {m_items, m_history, m_revision};
        m_record.line("store: copy at revision " + std::to_string(m_revision));
    }

    /// Takes the store away: it doesn't listen, and its connections end.
    void goAway()
    {
        m_record.line("store: away");
        cutWatches();
        m_server.stop();
    }

    /// Acknowledges a write and goes away before a watch has been told of it.
    void putAndGoAway(const std::string &key, const std::string &value)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_cuts;
            store({key, value, 0, false});
        }
        goAway();
    }

    void comeBack(bool fromCopy)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (fromCopy) {
                m_items = m_copy.items;
                m_history = m_copy.history;
                m_revision = m_copy.revision;
                ++m_era;
            }
            m_record.line("store: back at revision " + std::to_string(m_revision) + ", era "
                          + std::to_string(m_era));
        }
        m_server.start();
    }

    [[nodiscard]] int readCalls() const noexcept { return m_calls; }

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    struct Copy
    {
        std::map<std::string, Item> items;
        std::vector<Item> history;
        std::uint64_t revision = 1;
    };

    static std::string base64(const std::string &text)
    {
        static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t at = 0; at < text.size(); at += 3) {
            std::uint32_t bits = 0;
            for (std::size_t i = 0; i < 3; ++i)
                bits = bits << 8 | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
            for (std::size_t i = 0; i < 4; ++i)
                result += at + i > text.size() ? '=' : digits[bits >> (18 - 6 * i) & 63];
        }
        return result;
    }

    static std::string describe(const Item &item)
    {
        const std::string start =
            R"({"key":")" + item.key + R"(","revision":)" + std::to_string(item.revision);
        if (item.deleted)
            return start + R"(,"deleted":true})";
        return start + R"(,"created":)" + std::to_string(item.revision) + R"(,"lease":0,"value":")"
               + base64(item.value) + "\"}";
    }

    /// Decoded value of a field of the query.
    static std::string query(const std::string &target, const std::string &name)
    {
        const auto start = target.find('?');
        std::size_t at = start == std::string::npos ? target.size() : start + 1;
        while (at < target.size()) {
            const auto end = std::min(target.find('&', at), target.size());
            const std::string pair = target.substr(at, end - at);
            at = end + 1;
            if (pair.rfind(name + '=', 0) != 0)
                continue;
            std::string value;
            for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] != '%') {
                    value += pair[i];
                    continue;
                }
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            return value;
        }
        return {};
    }

    void write(Item item)
    {
        const std::lock_guard lock(m_mutex);
        store(std::move(item));
    }

    void store(Item item)
    {
        item.revision = ++m_revision;
        if (item.deleted)
            m_items.erase(item.key);
        else
            m_items[item.key] = item;
        m_record.line("store: " + std::string(item.deleted ? "removed " : "wrote ") + item.key
                      + " at revision " + std::to_string(item.revision));
        m_history.push_back(std::move(item));
        m_changed.notify_all();
    }

    bool answer(Connection &connection, int status, const std::string &body, std::uint64_t era) const
    {
        return connection.send(response(
            status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, body));
    }

    bool isSilent(const Connection &connection)
    {
        const std::lock_guard lock(m_mutex);
        return m_silent.count(&connection) > 0;
    }

    bool serve(Connection &connection, const Message &request)
    {
        ++m_calls;
        {
            const std::lock_guard lock(m_mutex);
            m_seen.insert(&connection);
        }
        const bool isKept = !isSilent(connection) && answerRead(connection, request);
        while (isSilent(connection) && !connection.isClosed())
            sleepMs(20);
        const std::lock_guard lock(m_mutex);
        if (isKept && m_silent.count(&connection) == 0)
            return true;
        m_seen.erase(&connection);
        m_silent.erase(&connection);
        return false;
    }

    bool answerRead(Connection &connection, const Message &request)
    {
        if (request.target.rfind("/api/kv-range", 0) == 0)
            return range(connection, request.target);
        if (request.target.rfind("/api/kv-watch", 0) == 0)
            return watch(connection, request.target);
        return answer(connection, 404, "{}", 1);
    }

    bool range(Connection &connection, const std::string &target)
    {
        std::unique_lock lock(m_mutex);
        const std::string prefix = query(target, "path_prefix");
        std::string items;
        for (auto item = m_items.upper_bound(query(target, "after")); item != m_items.end(); ++item) {
            if (item->first.rfind(prefix, 0) == 0)
                items += (items.empty() ? "" : ",") + describe(item->second);
        }
        const std::string body =
            R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(m_revision) + '}';
        const auto era = m_era;
        lock.unlock();
        return answer(connection, 200, body, era);
    }

    bool watch(Connection &connection, const std::string &target)
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t after = std::stoull(query(target, "after"));
        const std::string prefix = query(target, "path_prefix");
        const auto era = m_era;
        if (after > m_revision) {
            lock.unlock();
            return answer(connection, 410, "{}", era);
        }
        const int cuts = m_cuts;
        ++m_waiting;
        m_changed.wait_for(lock, std::chrono::milliseconds(std::stoll(query(target, "wait_ms"))), [&] {
            return m_revision > after || m_cuts != cuts || m_silent.count(&connection) > 0;
        });
        --m_waiting;
        if (m_cuts != cuts || m_silent.count(&connection) > 0)
            return false;
        std::string events;
        for (const Item &item : m_history) {
            if (item.revision > after && item.key.rfind(prefix, 0) == 0)
                events += (events.empty() ? "" : ",") + describe(item);
        }
        const std::string body = R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + '}';
        lock.unlock();
        return answer(connection, 200, body, era);
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Item> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    Copy m_copy;
    /// Connections on which calls have arrived, and those that are silent.
    std::set<const Connection *> m_seen;
    std::set<const Connection *> m_silent;
    int m_cuts = 0;
    int m_waiting = 0;
    std::atomic<int> m_calls = 0;
    Server m_server;
};

/// An upstream. It answers health checks and requests that expect another one; the case does the rest.
class Replica
{
public:
    using Run = std::function<bool(Connection &connection, const Message &request)>;

    Replica(std::string name, std::string service, Run run, std::string zone = "zone-a")
        : id(std::move(name))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_run(std::move(run))
        , m_server(
              "127.0.0.1:" + std::to_string(freePort()),
              [this](Connection &connection, const Message &request) { return serve(connection, request); })
    {}

    [[nodiscard]] std::string key() const { return "servers/" + id; }

    [[nodiscard]] std::string entry(const std::string &state = "ready") const
    {
        return R"({"service":")" + m_service + R"(","address":")" + m_server.address() + R"(","zone":")"
               + m_zone + R"(","version":"v1","slots":64,"state":")" + state
               + R"(","cold_remaining_ms":0,"phase":"combined","models":[],"sequence":1,"born":)"
               + std::to_string(m_born) + '}';
    }

    void stop() { m_server.stop(); }

    [[nodiscard]] bool isLeaving() const noexcept { return m_leaving; }
    void leave() noexcept { m_leaving = true; }

    const std::string id;

private:
    bool serve(Connection &connection, const Message &request)
    {
        if (request.target == "/healthz")
            return connection.send(response(m_leaving ? 503 : 200, {{"X-Replica-Id", id}}, ""));
        if (request.field("X-Expect-Instance") != id)
            return connection.send(
                response(421, {{"X-Replica-Id", id}, {"X-Attempt-Id", request.field("X-Attempt-Id")}}, ""));
        return m_run(connection, request);
    }

    std::string m_service;
    std::string m_zone;
    std::int64_t m_born = unixMs();
    Run m_run;
    std::atomic<bool> m_leaving = false;
    Server m_server;
};

/// Fields of a replica's own answer to a request.
inline std::vector<std::pair<std::string, std::string>> answerFields(const std::string &replica,
                                                                     const Message &request)
{
    const std::string id = request.field("X-Attempt-Id");
    return {{"X-Attempt-Id", id}, {"X-Server-Seal", replica + '.' + id}, {"Keep-Alive", "timeout=10"}};
}

/// A process that is killed with the case.
class Process
{
public:
    Process(const std::vector<std::string> &words, const std::string &settings, const std::string &logPath)
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        std::vector<char *> arguments;
        for (const std::string &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        ::setenv("CHESTNUTSILL_CONFIG", settings.c_str(), 1);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ~Process() { end(); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Waits until the process has ended by itself.
    void waitForEnd()
    {
        if (m_pid > 0)
            ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    void end()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

private:
    pid_t m_pid = -1;
};

/// The daemons of a small deployment, each on an address of its own.
class Deployment
{
public:
    Deployment(std::string folder, std::string store, int count, int zones = 1)
        : m_folder(std::move(folder))
        , m_store(std::move(store))
        , m_zones(zones)
        , m_frontend(freePort())
        , m_readiness(freePort())
        , m_control(freePort())
        , m_directory(freePort())
        , m_peers(freePort())
    {
        const std::string network = "127.3." + std::to_string(1 + ::getpid() % 250) + '.';
        for (int i = 0; i < count; ++i)
            m_instances.push_back({"edge-" + std::to_string(i), network + std::to_string(i + 1), nullptr});
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            writeSettings(i);
            start(i);
        }
    }

    void start(std::size_t index)
    {
        Instance &instance = m_instances[index];
        // The command of deploy/system.toml.
        instance.process = std::make_unique<Process>(
            std::vector<std::string>{"target/chestnutsilld", "--metrics-port", "9464"}, settingsPath(index),
            m_folder + '/' + instance.name + ".log");
    }

    void kill(std::size_t index) { m_instances[index].process->end(); }
    void signal(std::size_t index, int number) { m_instances[index].process->signal(number); }
    void waitForEnd(std::size_t index) { m_instances[index].process->waitForEnd(); }

    [[nodiscard]] std::size_t size() const noexcept { return m_instances.size(); }
    [[nodiscard]] std::string frontend(std::size_t index) const
    {
        return m_instances[index].ip + ':' + std::to_string(m_frontend);
    }
    [[nodiscard]] std::string directory(std::size_t index) const
    {
        return m_instances[index].ip + ':' + std::to_string(m_directory);
    }

    /// Whether an instance is ready.
    [[nodiscard]] bool isReady(std::size_t index) const
    {
        const auto connection = Connection::open(m_instances[index].ip + ':' + std::to_string(m_readiness));
        if (!connection || !connection->send("GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n"))
            return false;
        const auto answer = connection->read(false, 1000);
        return answer && answer->status == 200;
    }

    /// Body of the directory's answer of an instance; empty without one.
    [[nodiscard]] std::string resolve(std::size_t index) const
    {
        const auto connection = Connection::open(directory(index));
        if (!connection
            || !connection->send("GET /api/resolve?name=site.example&region=region-a&zone=zone-a HTTP/1.1\r\n"
                                 "Host: platform\r\n\r\n"))
            return {};
        const auto answer = connection->read(false, 1000);
        return answer && answer->status == 200 ? answer->body : std::string();
    }

    /// Whether all instances are ready and name all others in their directories.
    [[nodiscard]] bool waitReady(std::int64_t timeoutMs = 15'000) const
    {
        const std::int64_t deadline = nowMs() + timeoutMs;
        const auto isKnown = [&](std::size_t index) {
            const std::string body = isReady(index) ? resolve(index) : std::string();
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (body.find('"' + frontend(other) + '"') == std::string::npos)
                    return false;
            }
            return true;
        };
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            while (!isKnown(index)) {
                if (nowMs() > deadline)
                    return false;
                sleepMs(20);
            }
        }
        return true;
    }

private:
    struct Instance
    {
        std::string name;
        std::string ip;
        std::unique_ptr<Process> process;
    };

    [[nodiscard]] std::string settingsPath(std::size_t index) const
    {
        return m_folder + '/' + m_instances[index].name + ".json";
    }

    void writeSettings(std::size_t index) const
    {
        const Instance &instance = m_instances[index];
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(m_instances.size(), 3); ++i)
            seeds += (i > 0 ? ",\"" : "\"") + m_instances[i].ip + ':' + std::to_string(m_control) + '"';
        const std::string zone =
            "zone-" + std::string(1, static_cast<char>('a' + static_cast<int>(index) % m_zones));
        const auto listen = [&](int port) { return '"' + instance.ip + ':' + std::to_string(port) + '"'; };
        std::ofstream(settingsPath(index))
            << R"({"node_name":")" << instance.name << R"(","role":"entry","machine_class":"edge",)"
            << R"("serves":["edge","control","registry"],"ip":")" << instance.ip << R"(","zone":")" << zone
            << R"(","region":"region-a","listen":{"frontend":)" << listen(m_frontend) << R"(,"readiness":)"
            << listen(m_readiness) << R"(,"control_plane":)" << listen(m_control) << R"(,"directory":)"
            << listen(m_directory) << R"(},"internal_ports":[)" << m_peers << ',' << m_peers
            << R"(],"seeds":[)" << seeds
            << R"(],"bootstrap":true,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,)"
            << R"("file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},"data_dir":null,)"
            << R"("discovery":"platform","entry":"registry","heartbeat_ms":1200,)"
            << R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,)"
            << R"("drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,)"
            << R"("rollback_slack_ms":250,"outer_bound_ms":5000,"revoke_strict":true,"revoke_ms":5000,)"
            << R"("retry_budget_ratio":0.2,"retry_window_s":10,"retry_slack":56,"cold_factor":1.5,)"
            << R"("cold_slack":5,"evacuation_ms":5000,"recovery_s":12,"delivery_lag_ms":120,)"
            << R"("reuse_window_s":10,"ttl_max_s":5},"platform":{"address":")" << m_store
            << R"(","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,)"
            << R"("value_bytes":1048576,"ttl_min_ms":1000}})";
    }

    std::string m_folder;
    std::string m_store;
    int m_zones;
    int m_frontend;
    int m_readiness;
    int m_control;
    int m_directory;
    int m_peers;
    std::vector<Instance> m_instances;
};

/// The operator's configuration, with the kinds of requests of a small deployment.
inline std::string configuration(int version, const std::vector<std::string> &keys)
{
    std::string list;
    for (const std::string &key : keys)
        list += (list.empty() ? "\"" : ",\"") + key + '"';
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"lookup","hostname":"site.example","path_prefix":"/lookup/",)"
             R"("route_kind":"safe","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"desk",)"
             R"("max_attempts":2,"anonymous":false},)"
             R"({"name":"booking","hostname":"site.example","path_prefix":"/booking/",)"
             R"("route_kind":"unsafe","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"desk",)"
             R"("max_attempts":1,"anonymous":false},)"
             R"({"name":"chat","hostname":"site.example","path_prefix":"/chat/","route_kind":"streaming",)"
             R"("timeout_ms":8000,"goal_ms":500,"priority":0,"service":"llm","max_attempts":2,)"
             R"("anonymous":false,"affinity":true,"resumable":true,"target_gap_ms":400}],)"
             R"("services":[{"name":"desk","health_path":"/healthz","max_connections":110,)"
             R"("cold_start_s":0.0,"cold_per_s":0.0},)"
             R"({"name":"llm","health_path":"/healthz","max_connections":370,"cold_start_s":3.0,)"
             R"("cold_per_s":6.6,"engine":{"slots":64,"kv_capacity":513595}}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
             R"("idle_timeout_ms":15000},)"
             R"("tenants":[{"name":"tenant-1","api_keys":[)"
           + list + R"(],"priority":1}]})";
}

/// A request of a caller.
struct Call
{
    std::string method = "POST";
    std::string path;
    std::string attempt;
    std::string key = "key-1";
    std::string body = "{}";
    int deadlineMs = 1000;

    [[nodiscard]] std::string text() const
    {
        return method + ' ' + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt
               + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/// Runs a case: `folder` is that of record.txt, `temporary` that of logs and settings.
inline int runCase(int argc, char **argv,
                   const std::function<int(Record &record, const std::string &temporary)> &play)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s FOLDER TEMPORARY\n", argv[0]);
        return CouldNotRun;
    }
    Record record(std::string(argv[1]) + "/record.txt");
    (void)nowMs();
    try {
        const int result = play(record, argv[2]);
        record.line("exit " + std::to_string(result));
        return result;
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
        return CouldNotRun;
    }
}

} // namespace review
