#pragma once

#include "chestnutsill/config/document.h"
#include "chestnutsill/config/instancelist.h"
#include "chestnutsill/peer/peernode.h"
#include "chestnutsill/policy/activeconfiguration.h"
#include "daemon/identity.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// The last heartbeat of a peer and the state of its connection.
struct PeerState
{
    Heartbeat heartbeat;
    Instant receivedAt{};
    /// Whether the last connection was refused: no process listens at the peer's address.
    bool refused = false;
    /// Whether a call to the peer has succeeded or failed since this process started.
    bool contacted = false;
};

/// What this instance knows of the cluster: configuration, instance list and peers. Thread-safe.
class ClusterView
{
public:
    /// Time without a heartbeat after which a peer counts as unreachable.
    static constexpr milliseconds PeerTimeout{1500};
    /// Age of the instance list beyond which no slots are granted on an upstream in cold start, unless the
    /// peers confirm the list; see `isListCurrent`.
    static constexpr milliseconds MaxListAgeForColdGrants{3000};
    /// Maximum age of a peer's report that an upstream is warm.
    static constexpr milliseconds MaxWarmReportAge{15000};

    explicit ClusterView(std::string ownName);

    /// Offers a configuration document received from the service or a peer. It takes effect if it is valid
    /// and newer than the configuration in force, which stays otherwise. Any offer counts as a confirmation.
    void offer(const std::string &text, Instant now);

    /// Records that the configuration service has reported nothing newer.
    void confirmByService(Instant now);

    /// Confirms the configuration if at least one peer is reachable and a majority of the listed members,
    /// including this instance, is. The state stays `Starting` until every listed peer has been called.
    void confirmByPeers(Instant now);

    /// The configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const;

    /// The document in force and its version, for peers.
    [[nodiscard]] PublishedText published() const;

    /// Whether new work may rely on the configuration.
    [[nodiscard]] ConfigurationState state(Instant now) const;

    /// Replaces the instance list and drops the state of peers that it does not name. Returns whether it
    /// differs from the previous one.
    bool setList(InstanceList list, Instant now);

    /// The instance list; null before the first.
    [[nodiscard]] std::shared_ptr<const InstanceList> list() const;

    /// Listed members that may be homes. A member whose address refuses connections is excluded: its process
    /// has ended, although the list may name it for a long time.
    [[nodiscard]] std::vector<Member> homeCandidates() const;

    /// Hash of the members in the instance list; 0 before the first.
    [[nodiscard]] std::uint64_t listDigest() const;

    /// Whether the instance list was read within `MaxListAgeForColdGrants`, or every other member either is
    /// reachable and has reported an equal list, or refuses connections.
    [[nodiscard]] bool isListCurrent(Instant now) const;

    /// Records a peer's heartbeat.
    void recordHeartbeat(const Heartbeat &heartbeat, Instant now);

    /// Records a failed call to a peer.
    void recordFailure(const std::string &peer, PeerFailure failure);

    /// Peers by name.
    [[nodiscard]] std::map<std::string, PeerState> peers() const;

    /// The summary of a pool in the last heartbeat of its home; nothing when no reachable peer has sent one.
    [[nodiscard]] std::optional<PoolSummary> summary(const std::string &pool, Instant now) const;

    /// Whether a home has reported this incarnation of the upstream as warm within `MaxWarmReportAge`.
    [[nodiscard]] bool wasWarm(const std::string &upstream, const std::string &incarnation,
                               Instant now) const;

private:
    struct WarmReport
    {
        std::string incarnation;
        Instant receivedAt{};
    };

    [[nodiscard]] bool isReachable(const std::string &peer, Instant now) const;

    const std::string m_ownName;
    mutable std::mutex m_mutex;
    ActiveConfiguration m_configuration;
    std::shared_ptr<const InstanceList> m_list;
    std::uint64_t m_listDigest = 0;
    Instant m_listReadAt{};
    std::map<std::string, PeerState> m_peers;
    std::map<std::string, WarmReport> m_warmReports;
};

} // namespace chestnutsill
