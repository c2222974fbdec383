#include "load.h"

#include <array>
#include <random>

namespace chestnutsill::soak {

namespace {

constexpr int Callers = 8;
constexpr std::chrono::milliseconds LongestPause{25};
constexpr std::chrono::milliseconds CallTimeout{6000};
constexpr std::array<const char *, 5> Paths{"/plain/x", "/booking/x", "/stream/x", "/streamonce/stream/x",
                                            "/open/x"};

} // namespace

Load::Load(support::Site &site, History &history, std::uint64_t seed)
    : m_site(site)
    , m_history(history)
{
    for (int caller = 0; caller < Callers; ++caller)
        m_callers.emplace_back([this, caller, seed] { run(caller, seed); });
}

Load::~Load()
{
    stop();
}

void Load::stop()
{
    m_stopped = true;
    for (std::thread &caller : m_callers) {
        if (caller.joinable())
            caller.join();
    }
}

void Load::run(int caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * Callers + static_cast<std::uint64_t>(caller));
    for (int number = 0; !m_stopped; ++number) {
        Seen seen;
        seen.id = "c" + std::to_string(caller) + '-' + std::to_string(number);
        seen.path = Paths[random() % Paths.size()];
        seen.key = random() % 3 == 0 ? "key-2" : "key-1";
        support::SiteCall call = support::callTo(seen.path, seen.id);
        call.key = seen.key;
        call.fields = {{"X-Deadline-Ms", "3000"}};
        call.timeout = CallTimeout;
        const std::size_t instance = random() % m_site.instances().size();
        seen.sentMs = unixMs();
        if (const auto answer = m_site.call(instance, call)) {
            seen.status = answer->head.status;
            seen.body = answer->body;
        }
        m_history.add(std::move(seen));
        std::this_thread::sleep_for(
            std::chrono::milliseconds(random() % static_cast<std::uint64_t>(LongestPause.count())));
    }
}

} // namespace chestnutsill::soak
