#include "cluster.h"

#include "chestnutsill/config/document.h"
#include "chestnutsill/net/httpclient.h"

#include <boost/asio/ip/tcp.hpp>

#include <filesystem>
#include <fstream>
#include <thread>

#include <unistd.h>

namespace chestnutsill::support {

namespace {

namespace json = boost::json;
using boost::asio::ip::tcp;

constexpr int FirstPort = 18000;
constexpr int PortsPerProcess = 400;
constexpr int ProcessSlots = 35;

bool isFree(int port)
{
    boost::asio::io_context io;
    boost::system::error_code error;
    tcp::acceptor acceptor(io);
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port));
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    return !error;
}

void writeAll(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace

int freePort()
{
    static int next = FirstPort + static_cast<int>(::getpid() % ProcessSlots) * PortsPerProcess;
    while (!isFree(next))
        ++next;
    return next++;
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::optional<HttpResponse> call(const std::string &address, const std::string &method,
                                 const std::string &target, const std::string &body,
                                 const std::vector<HttpField> &fields, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    std::optional<HttpResponse> response;
    std::string reason;
    startFiber(io, [&](const Fiber &fiber) {
        response = fetch(address, {method, target, fields, body}, timeout, fiber, reason);
    });
    io.run();
    return response;
}

json::object readObject(const std::string &address, const std::string &target)
{
    const auto response = call(address, "GET", target, {}, {}, std::chrono::seconds(2));
    json::error_code error;
    const json::value value = response ? json::parse(response->body, error) : json::value(nullptr);
    return !error && value.is_object() ? value.get_object() : json::object{};
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

Cluster::Cluster(const std::string &name)
    : m_folder(std::string(CHESTNUTSILL_BUILD) + "/run/" + name)
    , m_platformAddress(loopback(freePort()))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_configuration.version = 1;
    m_configuration.deployment = name;
    m_configuration.tiers = {{"highest", 0}, {"high", 0.1}, {"normal", 0.05}, {"low", 0.05}};
}

std::string Cluster::logFile(const std::string &name) const
{
    return m_folder + '/' + name + ".log";
}

StandInUpstream &Cluster::addUpstream(const std::string &mode, Upstream upstream,
                                      const std::vector<std::string> &options)
{
    const std::string address = loopback(freePort());
    std::vector<std::string> command{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin",
                                     mode,
                                     "--listen",
                                     address,
                                     "--slots",
                                     std::to_string(upstream.slots)};
    command.insert(command.end(), options.begin(), options.end());
    if (upstream.address.empty())
        upstream.address = address;
    m_configuration.upstreams.push_back(upstream);
    m_upstreams.push_back({upstream.name, address, Process(command, logFile(upstream.name))});
    return m_upstreams.back();
}

std::string Cluster::addProxy(const std::string &target)
{
    const std::string address = loopback(freePort());
    const std::string control = loopback(freePort());
    m_proxies.emplace_back(
        std::vector<std::string>{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin", "proxy",
                                 "--listen", address, "--target", target, "--control", control},
        logFile("proxy"));
    m_proxyControls[address] = control;
    return address;
}

void Cluster::commandProxy(const std::string &proxyAddress, const std::string &command) const
{
    if (!waitUntil(
            [&] { return call(m_proxyControls.at(proxyAddress), "POST", "/control", command).has_value(); }))
        throw std::runtime_error("the fault proxy does not accept commands");
}

void Cluster::prepare(int count, const std::vector<std::string> &daemonOptions)
{
    for (int i = 1; i <= count; ++i) {
        Instance instance;
        instance.name = "entry-" + std::to_string(i);
        instance.address = loopback(freePort());
        instance.adminAddress = loopback(freePort());
        instance.peerAddress = loopback(freePort());
        instance.listedPeerAddress = instance.peerAddress;
        instance.command = {
            std::string(CHESTNUTSILL_BUILD) + "/chestnutsilld",
            "--name=" + instance.name,
            "--zone="
                + m_configuration.zones[static_cast<std::size_t>(i - 1) % m_configuration.zones.size()].name,
            "--listen=" + instance.address,
            "--admin-listen=" + instance.adminAddress,
            "--peer-listen=" + instance.peerAddress,
            "--config-service=" + m_platformAddress,
            "--instance-list=" + m_platformAddress,
            "--threads=1"};
        instance.command.insert(instance.command.end(), daemonOptions.begin(), daemonOptions.end());
        m_instances.push_back(std::move(instance));
    }
}

std::string Cluster::listText(const std::function<bool(const Instance &)> &listed,
                              const std::vector<std::string> &leavingUpstreams) const
{
    json::array entries;
    for (const Instance &instance : m_instances) {
        if (!listed(instance))
            continue;
        entries.push_back({{"name", instance.name},
                           {"zone", "z"},
                           {"address", instance.address},
                           {"peer", instance.listedPeerAddress},
                           {"state", "live"}});
    }
    json::array upstreams;
    for (const std::string &name : leavingUpstreams)
        upstreams.push_back({{"name", name}, {"state", "leaving"}});
    return json::serialize(
        json::object{{"entries", std::move(entries)}, {"upstreams", std::move(upstreams)}});
}

void Cluster::startPlatform()
{
    writeAll(m_folder + "/config.json", writeConfiguration(m_configuration));
    writeAll(m_folder + "/instances.json", listText([](const Instance &) { return true; }, {}));
    m_platform.emplace(
        std::vector<std::string>{std::string(CHESTNUTSILL_BUILD) + "/tests/chestnutsill-standin", "platform",
                                 "--listen", m_platformAddress, "--config", m_folder + "/config.json",
                                 "--instances", m_folder + "/instances.json"},
        logFile("platform"));
}

void Cluster::startInstance(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.process.emplace(instance.command, logFile(instance.name));
}

void Cluster::start(int count, const std::vector<std::string> &daemonOptions)
{
    prepare(count, daemonOptions);
    startPlatform();
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        startInstance(i);
}

bool Cluster::waitReady()
{
    return waitUntil([&] {
        for (const Instance &instance : m_instances) {
            if (!instance.process)
                continue;
            const auto health =
                call(instance.adminAddress, "GET", "/health", {}, {}, std::chrono::seconds(1));
            if (!health || health->head.status != 200)
                return false;
        }
        for (const std::string &pool : allPools(m_configuration)) {
            if (homeOf(pool).empty())
                return false;
        }
        return true;
    });
}

int Cluster::publish(const Configuration &next) const
{
    const auto response = call(m_platformAddress, "PUT", "/config", writeConfiguration(next));
    return response ? response->head.status : 0;
}

void Cluster::publishList(const std::function<bool(const Instance &)> &listed,
                          const std::vector<std::string> &leavingUpstreams) const
{
    (void)call(m_platformAddress, "PUT", "/instances", listText(listed, leavingUpstreams));
}

void Cluster::commandPlatform(const std::string &command) const
{
    (void)call(m_platformAddress, "POST", "/control", command);
}

StandInUpstream &Cluster::upstream(const std::string &name)
{
    for (StandInUpstream &upstream : m_upstreams) {
        if (upstream.name == name)
            return upstream;
    }
    throw std::runtime_error("no upstream " + name);
}

std::int64_t Cluster::count(const std::string &upstreamName, std::string_view name)
{
    json::object stats;
    (void)waitUntil([&] {
        stats = readObject(upstream(upstreamName).address, "/stats");
        return !stats.empty();
    });
    const json::value *value = stats.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

std::int64_t Cluster::runsOf(const std::string &requestId)
{
    std::int64_t runs = 0;
    for (const StandInUpstream &upstream : m_upstreams) {
        const json::object stats = readObject(upstream.address, "/stats");
        const json::value *byId = stats.if_contains("runs");
        const json::value *own = byId != nullptr ? byId->get_object().if_contains(requestId) : nullptr;
        runs += own != nullptr ? own->get_int64() : 0;
    }
    return runs;
}

std::string Cluster::homeOf(const std::string &pool)
{
    for (const Instance &instance : m_instances) {
        if (!instance.process)
            continue;
        const json::object state = readObject(instance.adminAddress, "/state");
        const json::value *homes = state.if_contains("homeOf");
        if (homes == nullptr)
            continue;
        for (const json::value &home : homes->get_array()) {
            if (home.at("pool").as_string() == pool && home.at("mayGrant").as_bool())
                return instance.name;
        }
    }
    return {};
}

} // namespace chestnutsill::support
