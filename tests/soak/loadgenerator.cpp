#include "loadgenerator.h"

#include "rawcaller.h"

#include <array>
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
constexpr int MaxTakeUps = 3;

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
    for (int number = 0; !m_stopped; ++number) {
        RequestRecord request;
        request.id = "c" + std::to_string(caller) + '-' + std::to_string(number);
        request.path = Paths[random() % Paths.size()];
        request.key = random() % 3 == 0 ? "key-2" : "key-1";
        if (request.path == ResumablePath) {
            receiveStream(std::move(request), random);
            continue;
        }
        support::SiteCall call = support::callTo(request.path, request.id);
        call.key = request.key;
        call.fields = {{"X-Deadline-Ms", "3000"}};
        call.timeout = CallTimeout;
        const std::size_t instance = random() % m_site.instances().size();
        request.sentMs = unixMs();
        if (const auto answer = m_site.call(instance, call)) {
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
        const bool goesOn = !events.empty() && !isComplete;
        if (!goesOn || takeUps == MaxTakeUps || m_stopped)
            return;
        request.id = first + "-again-" + std::to_string(takeUps);
    }
}

} // namespace chestnutsill::soak
