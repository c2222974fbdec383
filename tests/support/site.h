#pragma once

#include "cluster.h"
#include "process.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill::support {

/// What a caller sends.
struct SiteCall
{
    std::string path = "/plain/x";
    std::string key = "key-1";
    std::string body = "{}";
    std::string attemptId;
    std::vector<HttpField> fields;
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
};

/// A call to a path under an attempt id; without one the site gives it one.
[[nodiscard]] SiteCall callTo(const std::string &path, const std::string &attemptId,
                              const std::string &body = "{}");

/// One site of the users' platform on loopback, all of it real processes: the store, upstreams that are
/// published in it, and instances, each with an IP address of its own in 127.0.0.0/8. Everything ends with
/// it.
class Site
{
public:
    struct Upstream
    {
        std::string id;
        std::string service;
        std::string zone;
        /// Its own address, and the one that is published.
        std::string address;
        std::string publishedAddress;
        std::string proxyControl;
        std::optional<Process> process;
        std::optional<Process> proxy;
    };

    struct Instance
    {
        std::string name;
        std::string ip;
        std::optional<Process> process;
    };

    /// A site whose logs and settings go to a folder of its own under the build folder.
    explicit Site(const std::string &name);

    /// Starts an upstream and publishes it. With a proxy before it, faults can be put on its connections.
    Upstream &addUpstream(const std::string &id, const std::string &service, const std::string &zone = "a",
                          bool withProxy = false);

    /// Sends an order to the proxy of an upstream.
    static void commandProxy(const Upstream &upstream, const std::string &order);

    /// When each attempt id was run, in Unix milliseconds, over all upstreams and their restarts.
    [[nodiscard]] std::multimap<std::string, std::int64_t> allRuns() const;

    /// Starts the processes of an upstream or an instance again.
    void startUpstream(Upstream &upstream);
    void startInstance(std::size_t index);

    /// Publishes an upstream as `ready` or `draining`, or takes its entry away with an empty state.
    void publishUpstream(const Upstream &upstream, const std::string &state, int coldMs = 0);

    /// The routing table to publish, which may be changed, and its publication under the next version.
    [[nodiscard]] boost::json::object &table() noexcept { return m_table; }
    void publishTable();

    /// Writes or removes an item of the store.
    void writeItem(const std::string &key, const std::string &value);
    void removeItem(const std::string &key);

    /// Sends an order to the store or an upstream.
    void commandStore(const std::string &order) const;
    static void commandUpstream(const Upstream &upstream, const std::string &order);

    /// Starts instances, and waits until all are ready and know each other.
    void start(int count, int keyAgeMs = 5000);
    [[nodiscard]] bool waitReady();

    /// Sends a request to an instance. Returns nothing when no whole answer comes.
    [[nodiscard]] std::optional<HttpResponse> call(std::size_t instance, const SiteCall &call);

    /// Status of the readiness check; 0 without an answer.
    [[nodiscard]] int readiness(std::size_t instance) const;

    /// Number of instances that a directory answer of an instance names.
    [[nodiscard]] std::size_t directorySize(std::size_t instance) const;

    /// A member of the counts of an upstream; null when it can't be read.
    [[nodiscard]] static boost::json::value stat(const Upstream &upstream, const std::string &name);

    /// Runs of an attempt id over all upstreams.
    [[nodiscard]] std::int64_t runsOf(const std::string &attemptId) const;

    /// State of an instance.
    [[nodiscard]] boost::json::object state(std::size_t instance) const;

    [[nodiscard]] Upstream &upstream(const std::string &id);
    [[nodiscard]] Upstream &upstreamAt(std::size_t index) { return *m_upstreams.at(index); }
    [[nodiscard]] std::size_t upstreamCount() const noexcept { return m_upstreams.size(); }
    [[nodiscard]] std::vector<Instance> &instances() noexcept { return m_instances; }
    [[nodiscard]] const std::vector<Instance> &instances() const noexcept { return m_instances; }
    [[nodiscard]] std::string address(std::size_t instance, int port) const;
    [[nodiscard]] int callerPort() const noexcept { return m_callerPort; }

    /// Rewrites the settings of an instance, which it may read again.
    void writeSettings(std::size_t instance, int keyAgeMs) const;

private:
    [[nodiscard]] std::string settingsPath(std::size_t instance) const;

    std::string m_folder;
    std::string m_storeAddress;
    std::optional<Process> m_store;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<Instance> m_instances;
    boost::json::object m_table;
    std::int64_t m_version = 3;
    int m_callerPort;
    int m_readinessPort;
    int m_directoryPort;
    int m_peerPort;
    int m_metricsPort;
    int m_network;
    int m_nextAttempt = 1;
};

} // namespace chestnutsill::support
