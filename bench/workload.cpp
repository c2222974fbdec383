#include "workload.h"

namespace chestnutsill::bench {

namespace {

std::vector<RequestClass> makeClasses(const std::string &serviceModel, const std::vector<std::string> &names)
{
    return {
        {"booking", 0, serviceModel, milliseconds(1500), milliseconds(10000), false, 100000, 0},
        {names[0], 0, "assistant", milliseconds(1100), milliseconds(60000), true, 100000, 100},
        {names[1], 1, "assistant", milliseconds(1500), milliseconds(60000), true, 100000, 100},
        {names[2], 2, "assistant", milliseconds(2500), milliseconds(60000), true, 100000, 100},
        {"history", 3, "assistant", milliseconds(6000), milliseconds(60000), true, 100000, 100},
    };
}

std::vector<ClassLoad> makeLoad(const std::vector<std::string> &names, double scale)
{
    return {{"booking", "/bookings", false, 8 * scale},
            {names[0], "/v1/chat/completions", true, 8 * scale},
            {names[1], "/v1/chat/completions", true, 10 * scale},
            {names[2], "/v1/chat/completions", true, 6 * scale},
            {"history", "/v1/chat/completions", true, 4 * scale}};
}

} // namespace

Deployment hamakaze()
{
    const std::vector<std::string> names{"kiosk-help", "member-help", "trip-planning"};
    return {"hamakaze",
            8,
            makeLoad(names, 1.0),
            {"kyushu-a", "kyushu-b", "kyushu-c", "kyushu-d"},
            "kyushu-b",
            9,
            4,
            "ticket-desk",
            makeClasses("ticket-desk", names)};
}

Deployment kimlong()
{
    const std::vector<std::string> names{"tower-help", "route-help", "schedule"};
    return {"kimlong", 6,      makeLoad(names, 1.6),      {"vn-a", "vn-b", "vn-c"}, "vn-b", 18,
            3,         "rota", makeClasses("rota", names)};
}

void populate(support::Cluster &cluster, const Deployment &deployment, bool cold)
{
    Configuration &configuration = cluster.configuration();
    for (const std::string &zone : deployment.zones)
        configuration.zones.push_back({zone, false});
    for (int i = 0; i < 10; ++i)
        configuration.accounts.push_back("account-" + std::to_string(i));
    configuration.classes = deployment.requestClasses;
    const auto zoneOf = [&](int i) {
        return deployment.zones[static_cast<std::size_t>(i) % deployment.zones.size()];
    };
    for (int i = 0; i < deployment.engines; ++i) {
        const std::string name = "assistant-" + std::to_string(i);
        cluster.addUpstream("engine", {name, {}, zoneOf(i), "assistant", EngineSlots, EngineColdSlots, false},
                            {"--cold-start", cold ? "1" : "0", "--cold-bear", std::to_string(EngineColdSlots),
                             "--cold-requests", "8", "--token-ms", "20", "--first-token-ms", "150",
                             "--mean-tokens", "60", "--fall-ms", "2000"});
    }
    for (int i = 0; i < deployment.services; ++i) {
        const std::string name = deployment.serviceModel + '-' + std::to_string(i);
        cluster.addUpstream("service", {name, {}, zoneOf(i), deployment.serviceModel, 8, 4, false},
                            {"--latency-ms", "60"});
    }
}

} // namespace chestnutsill::bench
