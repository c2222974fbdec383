#include "cluster.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace chestnutsill;
using namespace chestnutsill::support;

constexpr int Calls = 400;

/// Makes sequential calls and returns their durations in milliseconds, sorted.
std::vector<double> timeCalls(const std::string &address, const std::vector<HttpField> &fields)
{
    std::vector<double> times;
    for (int i = 0; i < Calls; ++i) {
        const std::string body =
            R"({"model":"m","messages":")" + std::to_string(i) + R"(","standin":{"tokens":1}})";
        const auto start = std::chrono::steady_clock::now();
        const auto response = call(address, "POST", "/v1/chat/completions", body, fields);
        const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
        if (!response || response->head.status != 200)
            throw std::runtime_error("a call did not return status 200");
        times.push_back(time.count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

double cpuSeconds(const Instance &instance)
{
    const std::string key = "chestnutsill_process_cpu_seconds_total ";
    const auto response = call(instance.adminAddress, "GET", "/metrics");
    const auto at = response ? response->body.find(key) : std::string::npos;
    if (at == std::string::npos)
        throw std::runtime_error("cannot read the CPU time from the metrics page");
    return std::strtod(response->body.c_str() + at + key.size(), nullptr);
}

} // namespace

/// Compares the latency of calls through one instance with that of direct calls to the upstream.
int main()
{
    try {
        Cluster cluster("latency");
        Configuration &configuration = cluster.configuration();
        configuration.zones = {{"z", false}};
        configuration.accounts = {"one"};
        cluster.addUpstream("engine", {"engine-1", {}, "z", "m", 8, 8, false},
                            {"--first-token-ms", "1", "--token-ms", "1"});
        configuration.classes = {{"chat", 1, "m", milliseconds(5000), milliseconds(60000), true, 0, 0}};
        cluster.start(1);
        if (!cluster.waitReady())
            throw std::runtime_error("the instance did not become ready");
        const Instance &instance = cluster.instances()[0];
        const std::vector<HttpField> fields{{"chestnutsill-account", "one"}, {"chestnutsill-class", "chat"}};
        const auto direct = timeCalls(cluster.upstreams()[0].address, fields);
        const double before = cpuSeconds(instance);
        const auto routed = timeCalls(instance.address, fields);
        const double perCall = (cpuSeconds(instance) - before) / Calls;
        for (const auto &[name, share] : {std::pair{"median", 0.5}, std::pair{"99th percentile", 0.99}}) {
            const auto at = static_cast<std::size_t>(share * (Calls - 1));
            std::cout << std::fixed << std::setprecision(2) << name << ": direct " << direct[at]
                      << " ms, routed " << routed[at] << " ms, difference " << routed[at] - direct[at]
                      << " ms, ratio " << routed[at] / direct[at] << '\n';
        }
        std::cout << "CPU time per call " << perCall * 1e6 << " us, " << std::setprecision(0) << 1 / perCall
                  << " calls per second on one core\n";
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsill-latency: " << error.what() << '\n';
        return 1;
    }
}
