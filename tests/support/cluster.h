#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/configuration.h"
#include "process.h"

#include <boost/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill::support {

/// A free port of the loopback address, different at each call.
[[nodiscard]] int freePort();

/// `127.0.0.1:<port>`.
[[nodiscard]] std::string loopback(int port);

/// Makes one HTTP call and waits for it. Returns nothing when it fails.
[[nodiscard]] std::optional<HttpResponse> call(const std::string &address, const std::string &method,
                                               const std::string &target, const std::string &body = {},
                                               const std::vector<HttpField> &fields = {},
                                               std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Reads a JSON object from an address; an empty one when that fails.
[[nodiscard]] boost::json::object readObject(const std::string &address, const std::string &target);

/// Polls a condition until it holds. Returns false when it does not within `timeout`.
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition,
                             std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// A stand-in upstream and how it was started.
struct StandInUpstream
{
    std::string name;
    std::string address;
    Process process;
};

/// One daemon.
struct Instance
{
    std::string name;
    std::string address;
    std::string adminAddress;
    std::string peerAddress;
    /// Address that the instance list gives to peers; differs from `peerAddress` behind a proxy.
    std::string listedPeerAddress;
    std::vector<std::string> command;
    std::optional<Process> process;
};

/// A whole cluster of real processes on loopback: platform, upstreams, instances. Everything ends with it.
class Cluster
{
public:
    /// A cluster whose logs go to a folder of its own under the build folder.
    explicit Cluster(const std::string &name);

    /// Adds an availability zone, a client account, a class, as the configuration has them. Call before
    /// `start`.
    Configuration &configuration() noexcept { return m_configuration; }

    /// Starts an upstream and adds it to the configuration. `options` go to the stand-in.
    StandInUpstream &addUpstream(const std::string &mode, Upstream upstream,
                                 const std::vector<std::string> &options = {});

    /// Starts a fault proxy before `target`. Returns its address; orders go to `proxyControl(address)`.
    [[nodiscard]] std::string addProxy(const std::string &target);

    /// Sends an order to a proxy.
    void commandProxy(const std::string &proxyAddress, const std::string &order) const;

    /// Starts the platform and `count` instances.
    void start(int count, const std::vector<std::string> &daemonOptions = {});

    /// Prepares instances without starting them or the platform, so that their listed addresses can be
    /// changed.
    void prepare(int count, const std::vector<std::string> &daemonOptions = {});
    void startPlatform();
    void startInstance(std::size_t index);

    /// Waits until every running instance is ready and some home grants in each pool.
    [[nodiscard]] bool waitReady();

    /// Publishes a configuration as an operator does. Returns the platform's status.
    int publish(const Configuration &next) const;

    /// Publishes the instance list with the members for which `listed` is true.
    void publishList(const std::function<bool(const Instance &)> &listed,
                     const std::vector<std::string> &leavingUpstreams = {}) const;

    /// Sends an order to the platform stand-in.
    void commandPlatform(const std::string &order) const;

    [[nodiscard]] std::vector<Instance> &instances() noexcept { return m_instances; }
    [[nodiscard]] StandInUpstream &upstream(const std::string &name);
    [[nodiscard]] std::vector<StandInUpstream> &upstreams() noexcept { return m_upstreams; }
    [[nodiscard]] const std::string &platformAddress() const noexcept { return m_platformAddress; }

    /// A number from an upstream's own counts.
    [[nodiscard]] std::int64_t count(const std::string &upstream, std::string_view name);

    /// Runs of one request id over all upstreams, by their own counts.
    [[nodiscard]] std::int64_t runsOf(const std::string &requestId);

    /// Name of the home of a pool, or empty when no instance grants in it.
    [[nodiscard]] std::string homeOf(const std::string &pool);

private:
    [[nodiscard]] std::string logFile(const std::string &name) const;
    [[nodiscard]] std::string listText(const std::function<bool(const Instance &)> &listed,
                                       const std::vector<std::string> &leavingUpstreams) const;

    std::string m_folder;
    Configuration m_configuration;
    std::string m_platformAddress;
    std::optional<Process> m_platform;
    std::vector<StandInUpstream> m_upstreams;
    std::map<std::string, std::string> m_proxyControls;
    std::vector<Process> m_proxies;
    std::vector<Instance> m_instances;
};

} // namespace chestnutsill::support
