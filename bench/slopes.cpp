#include "cluster.h"

#include <algorithm>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace chestnutsill;
using namespace chestnutsill::support;

constexpr std::chrono::seconds MeasureTime{5};

/// Metrics of all instances at one time: sums of CPU seconds, peer calls and payload bytes, and the highest
/// peak of the resident memory in KiB.
struct Sample
{
    double cpu = 0;
    double peerCpu = 0;
    double calls = 0;
    double bytes = 0;
    double resident = 0;
};

double metric(const std::string &page, const std::string &name)
{
    const std::string key = "chestnutsill_" + name + ' ';
    const auto at = page.find(key);
    return at == std::string::npos ? 0 : std::strtod(page.c_str() + at + key.size(), nullptr);
}

Sample sample(const Cluster &cluster, const std::vector<Instance> &instances)
{
    (void)cluster;
    Sample sum;
    for (const Instance &instance : instances) {
        const auto response = call(instance.adminAddress, "GET", "/metrics");
        const std::string page = response ? response->body : std::string();
        sum.cpu += metric(page, "process_cpu_seconds_total");
        sum.peerCpu += metric(page, "peer_thread_cpu_seconds_total");
        sum.calls += metric(page, "peer_calls_total");
        sum.bytes += metric(page, "peer_payload_bytes_total");
        sum.resident = std::max(sum.resident, metric(page, "peak_resident_kib"));
    }
    return sum;
}

void configure(Cluster &cluster, int upstreams, int accounts)
{
    Configuration &configuration = cluster.configuration();
    configuration.zones = {{"z", false}};
    for (int i = 0; i < accounts; ++i)
        configuration.accounts.push_back("account-" + std::to_string(i));
    cluster.addUpstream("engine", {"engine-0", {}, "z", "m", 512, 512, false}, {"--token-ms", "100"});
    // All further upstreams have the address of this engine, so that the configuration can have many of them.
    for (int i = 1; i < upstreams; ++i) {
        Upstream copy = configuration.upstreams[0];
        copy.name = "engine-" + std::to_string(i);
        copy.address = cluster.upstreams()[0].address;
        configuration.upstreams.push_back(copy);
    }
    configuration.upstreams[0].address = cluster.upstreams()[0].address;
    configuration.classes = {
        {"chat", 1, "m", milliseconds(5000), milliseconds(60000), true, 1000, 100},
    };
}

/// Measures one cluster size with a number of open streams through the first instance, and prints a table
/// row.
void measure(int instances, int upstreams, int accounts, int streams)
{
    Cluster cluster("slopes");
    configure(cluster, upstreams, accounts);
    cluster.start(instances);
    if (!cluster.waitReady())
        throw std::runtime_error("the cluster did not become ready");
    std::vector<std::future<void>> open;
    for (int i = 0; i < streams; ++i) {
        open.push_back(std::async(std::launch::async, [&cluster, i] {
            const std::string body = R"({"model":"m","stream":true,"messages":")" + std::to_string(i)
                                     + R"(","standin":{"tokens":100}})";
            (void)call(cluster.instances()[0].address, "POST", "/v1/chat/completions", body,
                       {{"chestnutsill-account", "account-0"}, {"chestnutsill-class", "chat"}});
        }));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Sample before = sample(cluster, cluster.instances());
    std::this_thread::sleep_for(MeasureTime);
    const Sample after = sample(cluster, cluster.instances());
    const double spent = static_cast<double>(instances) * static_cast<double>(MeasureTime.count());
    std::cout << "| " << instances << " | " << upstreams << " | " << accounts << " | " << streams << " | "
              << std::fixed << std::setprecision(2) << 100 * (after.cpu - before.cpu) / spent << " | "
              << 100 * (after.peerCpu - before.peerCpu) / spent << " | "
              << (after.calls - before.calls) / spent << " | " << std::setprecision(0)
              << (after.bytes - before.bytes) / spent << " | " << after.resident / 1024 << " |" << std::endl;
    for (auto &stream : open)
        stream.get();
}

} // namespace

/// Prints the measurements from which docs/CAPACITY.md derives the cost per instance, upstream, account and
/// stream.
int main()
{
    std::cout
        << "| instances | upstreams | accounts | streams at one instance | cpu % of a core per instance | of "
           "which "
           "peer thread % | calls/s per instance | payload bytes/s per instance | highest resident MiB |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    try {
        for (const int instances : {2, 4, 8, 16, 32})
            measure(instances, 4, 10, 0);
        for (const int upstreams : {16, 64, 256})
            measure(4, upstreams, 10, 0);
        for (const int accounts : {400, 3400})
            measure(4, 4, accounts, 0);
        for (const int streams : {50, 100, 200})
            measure(2, 4, 10, streams);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsill-slopes: " << error.what() << '\n';
        return 1;
    }
}
