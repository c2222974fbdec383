#include "loadgenerator.h"

#include <array>
#include <random>

namespace chestnutsill::soak {

namespace {

constexpr int Callers = 8;
constexpr std::chrono::milliseconds MaxPause{25};
constexpr std::chrono::milliseconds CallTimeout{6000};
constexpr std::array<const char *, 5> Paths{"/plain/x", "/booking/x", "/stream/x", "/streamonce/stream/x",
                                            "/open/x"};

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

} // namespace chestnutsill::soak
