// A part of long prompts that crashes each replica which begins to answer them.

#include "../support-2/replica.h"

using namespace review;

namespace {

constexpr int Instances = 6;
constexpr int Engines = 6;
constexpr auto Contact = std::chrono::seconds(3);
/// A crashed replica is back after this time.
constexpr auto Down = std::chrono::seconds(2);
constexpr auto Duration = std::chrono::seconds(40);
constexpr std::size_t Crashes = 5;
constexpr int MaxRequests = 3;
/// Requests a second with the part that crashes replicas, and others.
constexpr int CrashingPerSecond = 2;
constexpr int SoundPerSecond = 20;
/// The shared part of `tower-dossier`, 13,300 tokens, in blocks of 64.
constexpr int BlockTokens = 64;
constexpr int OwnTokens = 3720;
const std::string CrashingPart = "dead0001";

int sharedParts()
{
    const char *value = std::getenv("PARTS");
    return value == nullptr ? 208 : std::atoi(value);
}

/// The parts of a prompt. All share the first ones; the last shared one may be that which crashes replicas.
std::string longPromptParts(unsigned request, bool isCrashing)
{
    std::string parts;
    for (int i = 0; i + 1 < sharedParts(); ++i)
        parts +=
            hexadecimal(0x5c1e0000U + static_cast<unsigned>(i)) + ':' + std::to_string(BlockTokens) + ',';
    parts += (isCrashing ? CrashingPart : "5c1effff") + ':' + std::to_string(BlockTokens) + ',';
    return parts + hexadecimal(0x10000000U + request) + ':' + std::to_string(OwnTokens);
}

struct Arrival
{
    Clock::time_point at;
    std::string attempt;
    std::string replica;
};

/// What reached all replicas, and when they crashed.
struct History
{
    std::mutex mutex;
    std::vector<Arrival> arrivals;
    std::vector<Clock::time_point> crashes;
};

/// A replica that crashes when it begins to answer a prompt with the part.
class Engine
{
public:
    Engine(const Site &site, int index, History &history, Record &record)
        : m_site(site)
        , m_id("i-llm" + std::to_string(index))
        , m_ip(site.ip(100 + index))
        , m_port(freePort(m_ip))
        , m_history(history)
        , m_record(record)
    {
        start();
        m_supervisor = std::thread([this] { supervise(); });
    }
    ~Engine()
    {
        m_ends = true;
        m_supervisor.join();
    }

private:
    void start()
    {
        ++m_born;
        m_crashed = false;
        m_server = std::make_unique<Server>(m_ip, m_port, [this](Connection &connection, Message &request) {
            return handle(connection, request);
        });
        m_site.publishReplica(m_id, "llm", m_ip + ':' + std::to_string(m_port), 64, m_born);
    }

    void supervise()
    {
        while (!m_ends) {
            std::this_thread::sleep_for(milliseconds(5));
            if (!m_crashed)
                continue;
            const auto until = Clock::now() + Down;
            while (!m_ends && Clock::now() < until)
                std::this_thread::sleep_for(milliseconds(5));
            m_server.reset();
            if (!m_ends)
                start();
        }
    }

    bool handle(Connection &connection, Message &request)
    {
        if (m_crashed)
            return false;
        if (request.target() == "/healthz")
            return connection.send(response(200, {{"X-Replica-Id", m_id}}, ""));
        if (request.field("X-Expect-Instance") != m_id)
            return connection.send(response(421, {{"X-Replica-Id", m_id}}, ""));
        const std::string attempt = request.field("X-Attempt-Id");
        const std::string parts = ',' + request.field("X-Prefix-Hash");
        if (parts.find(',' + CrashingPart + ':') != std::string::npos) {
            {
                const std::lock_guard lock(m_history.mutex);
                m_history.arrivals.push_back({Clock::now(), attempt, m_id});
            }
            // It crashes when it begins to write the answer.
            std::this_thread::sleep_for(milliseconds(30));
            if (!m_crashed.exchange(true)) {
                const std::lock_guard lock(m_history.mutex);
                m_history.crashes.push_back(Clock::now());
                m_record.line(m_id + " crashes on " + attempt + ", crash "
                              + std::to_string(m_history.crashes.size()));
                m_server->crash();
            }
            return false;
        }
        std::this_thread::sleep_for(milliseconds(30));
        const Headers headers{
            {"X-Attempt-Id", attempt}, {"X-Server-Seal", m_id + '.' + attempt}, {"Keep-Alive", "timeout=10"}};
        return sendStream(connection, headers, 20, milliseconds(10));
    }

    const Site &m_site;
    std::string m_id;
    std::string m_ip;
    int m_port;
    History &m_history;
    Record &m_record;
    int m_born = 0;
    std::atomic<bool> m_ends = false;
    std::atomic<bool> m_crashed = false;
    std::unique_ptr<Server> m_server;
    std::thread m_supervisor;
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Site site({.instances = Instances});
    site.store->put("op/config", configuration(3, TwoTenants));
    History history;
    std::list<Engine> engines;
    for (int i = 0; i < Engines; ++i)
        engines.emplace_back(site, i, history, record);
    site.startAll();
    if (!site.waitReady())
        return finish(record, 2, "the instances are not ready");

    std::atomic<bool> ends = false;
    std::atomic<unsigned> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> crashingSent = 0;
    /// When each other request was sent, and whether its answer began.
    std::vector<std::pair<Clock::time_point, bool>> others;
    std::mutex othersMutex;
    const auto request = [&](bool isCrashing) {
        const unsigned number = sent++;
        const auto sentAt = Clock::now();
        const std::string attempt = (isCrashing ? "bad" : "ok") + std::to_string(number);
        Headers headers = requestHeaders(attempt, "key-1", 8000);
        headers.emplace_back("X-Model", "m");
        headers.emplace_back("X-Token-Count",
                             std::to_string(sharedParts() * BlockTokens + OwnTokens) + ",80");
        headers.emplace_back("X-Prefix-Hash", longPromptParts(number, isCrashing));
        const auto answer =
            call(site.ip(static_cast<int>(number) % Instances), site.frontend(), "POST", "/stream/x", headers,
                 "{\"n\":" + std::to_string(number) + "}", milliseconds(8000));
        if (isCrashing)
            return;
        const bool hasBegun = answer && answer->status() == 200;
        served += hasBegun ? 1 : 0;
        const std::lock_guard lock(othersMutex);
        others.emplace_back(sentAt, hasBegun);
    };
    std::list<std::thread> clients;
    const auto addClient = [&](bool isCrashing, int perSecond, int index, int count) {
        clients.emplace_back([&, isCrashing, perSecond, index, count] {
            auto next = Clock::now() + milliseconds(1000 * index / perSecond);
            while (!ends) {
                std::this_thread::sleep_until(next);
                next = std::max(next + milliseconds(1000 * count / perSecond), Clock::now());
                crashingSent += isCrashing ? 1 : 0;
                request(isCrashing);
            }
        });
    };
    for (int i = 0; i < SoundPerSecond; ++i)
        addClient(false, SoundPerSecond, i, SoundPerSecond);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const auto troubleAt = Clock::now();
    if (withTrouble()) {
        record.line("requests with the part come from now on");
        for (int i = 0; i < CrashingPerSecond; ++i)
            addClient(true, CrashingPerSecond, i, CrashingPerSecond);
    }
    std::this_thread::sleep_for(Duration);
    ends = true;
    for (std::thread &client : clients)
        client.join();

    const std::lock_guard lock(history.mutex);
    int late = 0;
    if (history.crashes.size() >= Crashes) {
        const auto from = history.crashes[Crashes - 1] + Contact;
        for (const Arrival &arrival : history.arrivals) {
            if (arrival.at <= from)
                continue;
            ++late;
            record.line(arrival.attempt + " reached " + arrival.replica + ' '
                        + std::to_string(std::chrono::duration_cast<milliseconds>(
                                             arrival.at - history.crashes[Crashes - 1])
                                             .count())
                        + " ms after the fifth crash");
        }
    }
    // For the rule LOST, which the result doesn't depend on: the other requests before, and from 6 s after
    // the fifth crash.
    std::pair<int, int> before;
    std::pair<int, int> after;
    for (const auto &[at, hasBegun] : others) {
        const bool isAfter =
            history.crashes.size() >= Crashes && at >= history.crashes[Crashes - 1] + 2 * Contact;
        if (at >= troubleAt && !isAfter)
            continue;
        auto &[count, begun] = isAfter ? after : before;
        ++count;
        begun += hasBegun ? 1 : 0;
    }
    record.line("other requests begun at the first attempt: " + std::to_string(before.second) + " of "
                + std::to_string(before.first) + " before, " + std::to_string(after.second) + " of "
                + std::to_string(after.first) + " from 6 s after the fifth crash");
    const std::string text = std::to_string(history.crashes.size()) + " crashes by prompts of "
                             + std::to_string(sharedParts()) + " shared parts; " + std::to_string(late)
                             + " requests reached replicas later than 3 s after the fifth crash, "
                             + std::to_string(MaxRequests) + " allowed; " + std::to_string(crashingSent)
                             + " were sent; " + std::to_string(served) + " of the others served";
    if (served == 0)
        return finish(record, 2, "no other request was served; " + text);
    return finish(record, late > MaxRequests ? 1 : 0, text);
}
