#include "loadgenerator.h"

#include "keptconnection.h"
#include "rawcaller.h"

#include <array>
#include <map>
#include <sstream>
#include <utility>

namespace chestnutsill::soak {

namespace {

constexpr int Callers = 8;
constexpr std::chrono::milliseconds MaxPause{25};
constexpr std::chrono::milliseconds CallTimeout{6000};
constexpr const char *ResumablePath = "/stream/x";
constexpr std::array<const char *, 5> Paths{"/plain/x", "/booking/x", ResumablePath, "/streamonce/stream/x",
                                            "/open/x"};
/// Requests with which a caller takes up one stream at most.
constexpr int MaxTakeUps = 4;
/// Pause before a stream is taken up again that was refused.
constexpr std::chrono::milliseconds RefusedPause{150};

/// The whole events in an answer, without the chunks around them, each of which holds whole events.
std::string eventsOf(const std::string &bytes)
{
    std::string events;
    std::istringstream lines(bytes);
    std::string line;
    std::string id;
    while (std::getline(lines, line) && !lines.eof()) {
        if (line.starts_with("id: "))
            id = line;
        else if (line.starts_with("data: ") && !id.empty())
            events += std::exchange(id, {}) + '\n' + line + "\n\n";
    }
    return events;
}

std::string lastIdOf(const std::string &events)
{
    const auto last = events.rfind("id: ");
    return last == std::string::npos ? std::string()
                                     : events.substr(last + 4, events.find('\n', last) - last - 4);
}

} // namespace

LoadGenerator::LoadGenerator(support::Site &site, History &history, std::uint64_t seed)
    : m_site(site)
    , m_history(history)
{
    for (int caller = 0; caller < Callers; ++caller)
        m_callers.emplace_back([this, caller, seed] { run(caller, seed); });
}

LoadGenerator::~LoadGenerator()
{
    stop();
}

void LoadGenerator::stop()
{
    m_stopped = true;
    for (std::thread &caller : m_callers) {
        if (caller.joinable())
            caller.join();
    }
}

void LoadGenerator::run(int caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * Callers + static_cast<std::uint64_t>(caller));
    std::map<std::size_t, support::KeptConnection> connections;
    for (int number = 0; !m_stopped; ++number) {
        RequestRecord request;
        request.id = "c" + std::to_string(caller) + '-' + std::to_string(number);
        request.path = Paths[random() % Paths.size()];
        request.key = random() % 3 == 0 ? "key-2" : "key-1";
        if (request.path == ResumablePath) {
            receiveStream(std::move(request), random);
            continue;
        }
        const std::array<HttpField, 4> fields{{{"Host", "site.example"},
                                               {"X-Attempt-Id", request.id},
                                               {"Authorization", "Bearer " + request.key},
                                               {"X-Deadline-Ms", "3000"}}};
        const std::size_t instance = random() % m_site.instances().size();
        auto &connection =
            connections.try_emplace(instance, m_site.address(instance, m_site.callerPort())).first->second;
        request.sentMs = unixMs();
        if (const auto answer = connection.call({"POST", request.path, fields, "{}"}, CallTimeout)) {
            request.status = answer->head.status;
            request.body = answer->body;
        }
        m_history.add(std::move(request));
        std::this_thread::sleep_for(
            std::chrono::milliseconds(random() % static_cast<std::uint64_t>(MaxPause.count())));
    }
}

void LoadGenerator::receiveStream(RequestRecord request, std::mt19937_64 &random)
{
    const std::string first = request.id;
    std::string events;
    for (int takeUps = 0;; ++takeUps) {
        request.resumedId = events.empty() ? "" : first;
        std::string text = "POST " + request.path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: "
                           + request.id + "\r\nAuthorization: Bearer " + request.key
                           + "\r\nConnection: close\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n";
        if (!events.empty())
            text += "Resumes: " + first + "\r\nLast-Event-Id: " + lastIdOf(events) + "\r\n";
        const std::size_t instance = random() % m_site.instances().size();
        request.sentMs = unixMs();
        const auto answer =
            support::exchangeBytes(m_site.address(instance, m_site.callerPort()), text + "\r\n", CallTimeout);
        const bool isComplete = support::looksComplete(answer, true);
        const int status = support::statusOf(answer);
        if (status == 200)
            events += eventsOf(answer.bytes);
        request.status = isComplete ? status : 0;
        request.body = events;
        m_history.add(request);
        const bool isRefused = isComplete && status != 200;
        if (events.empty() || (isComplete && !isRefused) || takeUps == MaxTakeUps || m_stopped)
            return;
        if (isRefused)
            std::this_thread::sleep_for(RefusedPause);
        request.id = first + "-again-" + std::to_string(takeUps);
    }
}

} // namespace chestnutsill::soak
