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

/// What one peer last said, and when.
struct PeerState
{
    Heartbeat heartbeat;
    Instant receivedAt{};
    /// The peer's address refused the last connection: no process listens there.
    bool refused = false;
    /// A call to the peer has ended, in success or failure, since this process started.
    bool contacted = false;
};

/// All that this instance knows of the cluster: configuration, instance list and peers. Safe from any thread.
class ClusterView
{
public:
    /// Time without a heartbeat after which a peer doesn't count as reachable.
    static constexpr milliseconds PeerTimeout{1500};
    /// Age beyond which an instance list is not relied on for grants in cold start.
    static constexpr milliseconds ListMaxAge{3000};

    /// Age up to which word of a warm upstream counts.
    static constexpr milliseconds WarmReportMaxAge{15000};

    explicit ClusterView(std::string ownName);

    /// Takes a document from the service or a peer. An invalid one is refused and the one in force stays.
    void offer(const std::string &text, Instant now);

    /// Records that the configuration service answered that there is nothing newer.
    void confirmByService(Instant now);

    /// Confirms the view when a majority of the listed members is reachable.
    void confirmByPeers(Instant now);

    /// The configuration in force, or null.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const;

    /// The document in force, for peers.
    [[nodiscard]] PublishedText published() const;

    /// Whether new work may rely on the view.
    [[nodiscard]] ViewState state(Instant now) const;

    /// Takes a list read from the platform. Returns whether it differs from the one before.
    bool setList(InstanceList list, Instant now);

    /// The instance list, or null before the first.
    [[nodiscard]] std::shared_ptr<const InstanceList> list() const;

    /// Listed members that may be homes. One whose address refuses connections is passed over: its process is
    /// gone, although the list may name it for long.
    [[nodiscard]] std::vector<Member> homeCandidates() const;

    /// Hash of the members in the list.
    [[nodiscard]] std::uint64_t listDigest() const;

    /// Whether the list was read a short time ago, or every member has confirmed an equal one or is gone.
    [[nodiscard]] bool isListCurrent(Instant now) const;

    /// Records a heartbeat.
    void recordHeartbeat(const Heartbeat &heartbeat, Instant now);

    /// Records a failed call.
    void recordFailure(const std::string &peer, PeerFailure failure);

    /// Peers by name.
    [[nodiscard]] std::map<std::string, PeerState> peers() const;

    /// The last summary of a pool told by its home, if recent.
    [[nodiscard]] std::optional<PoolSummary> summary(const std::string &pool, Instant now) const;

    /// Whether a home told a short time ago that this incarnation of the upstream was warm.
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
