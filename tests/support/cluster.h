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

/// Returns a free port of the loopback address, a different one on each call.
[[nodiscard]] int freePort();

/// Returns `127.0.0.1:<port>`.
[[nodiscard]] std::string loopback(int port);

/// Makes an HTTP call and waits for the response. Returns `std::nullopt` when it fails.
[[nodiscard]] std::optional<HttpResponse> call(const std::string &address, const std::string &method,
                                               const std::string &target, const std::string &body = {},
                                               const std::vector<HttpField> &fields = {},
                                               std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Fetches a JSON object from an address. Returns an empty object when that fails.
[[nodiscard]] boost::json::object readObject(const std::string &address, const std::string &target);

/// Polls a condition until it holds. Returns false when `timeout` elapses first.
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition,
                             std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// A running stand-in upstream.
struct StandInUpstream
{
    std::string name;
    std::string address;
    Process process;
};

/// One daemon of the cluster. `process` is empty while it doesn't run.
struct Instance
{
    std::string name;
    std::string address;
    std::string adminAddress;
    std::string peerAddress;
    /// Peer address published in the instance list; differs from `peerAddress` when a proxy is in between.
    std::string listedPeerAddress;
    std::vector<std::string> command;
    std::optional<Process> process;
};

/// A cluster of real processes on loopback: platform, upstreams and instances. The destructor kills them all.
class Cluster
{
public:
    /// Creates an empty cluster that writes its logs to `run/<name>` in the build folder.
    explicit Cluster(const std::string &name);

    /// The configuration that `start` publishes. Zones, accounts and classes are added to it before that.
    Configuration &configuration() noexcept { return m_configuration; }

    /// Starts a stand-in upstream and adds it to the configuration. `options` are passed to the stand-in.
    StandInUpstream &addUpstream(const std::string &mode, Upstream upstream,
                                 const std::vector<std::string> &options = {});

    /// Starts a fault proxy in front of `target`. Returns its address, which `commandProxy` takes.
    [[nodiscard]] std::string addProxy(const std::string &target);

    /// Sends a control command to a proxy.
    void commandProxy(const std::string &proxyAddress, const std::string &command) const;

    /// Starts the platform and `count` instances.
    void start(int count, const std::vector<std::string> &daemonOptions = {});

    /// Creates the instances without starting them or the platform, so that their listed addresses can still
    /// be changed.
    void prepare(int count, const std::vector<std::string> &daemonOptions = {});
    void startPlatform();
    void startInstance(std::size_t index);

    /// Waits until every running instance is ready and each pool has a home that grants slots.
    [[nodiscard]] bool waitReady();

    /// Publishes a configuration as an operator does. Returns the HTTP status of the platform, or 0.
    int publish(const Configuration &next) const;

    /// Publishes an instance list with the instances for which `listed` returns true.
    void publishList(const std::function<bool(const Instance &)> &listed,
                     const std::vector<std::string> &leavingUpstreams = {}) const;

    /// Sends a control command to the platform stand-in.
    void commandPlatform(const std::string &command) const;

    [[nodiscard]] std::vector<Instance> &instances() noexcept { return m_instances; }
    [[nodiscard]] StandInUpstream &upstream(const std::string &name);
    [[nodiscard]] std::vector<StandInUpstream> &upstreams() noexcept { return m_upstreams; }
    [[nodiscard]] const std::string &platformAddress() const noexcept { return m_platformAddress; }

    /// Returns a counter of a stand-in upstream, or -1 when it has no such counter.
    [[nodiscard]] std::int64_t count(const std::string &upstream, std::string_view name);

    /// Returns how often all upstreams together executed a request id, by their own counters.
    [[nodiscard]] std::int64_t runsOf(const std::string &requestId);

    /// Returns the name of the home of a pool, or an empty string when no instance grants its slots.
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
