#include "daemon/clusterview.h"

#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <iterator>

namespace chestnutsill {

namespace {

std::uint64_t digestOf(const InstanceList &list)
{
    std::uint64_t digest = 0;
    for (const Member &member : list.members)
        digest = stableHash(member.name + '|' + member.peerAddress + (member.leaving ? "|leaving" : "|live"),
                            digest);
    return digest;
}

} // namespace

ClusterView::ClusterView(std::string ownName)
    : m_ownName(std::move(ownName))
{}

void ClusterView::offer(const std::string &text, Instant now)
{
    ValidationErrors errors;
    auto configuration = parseConfiguration(text, errors);
    const std::lock_guard lock(m_mutex);
    if (!configuration) {
        m_configuration.confirm(m_configuration.version(), now);
        log(LogLevel::Error, "configuration-refused",
            {{"path", errors.front().path}, {"reason", errors.front().message}});
        return;
    }
    const std::uint64_t version = configuration->version;
    m_configuration.confirm(version, now);
    if (m_configuration.accept(std::move(*configuration), text))
        log(LogLevel::Info, "configuration-in-force", {{"version", static_cast<std::int64_t>(version)}});
}

void ClusterView::confirmByService(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_configuration.confirm(m_configuration.version(), now);
}

bool ClusterView::isReachable(const std::string &peer, Instant now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.receivedAt != Instant{}
           && now - found->second.receivedAt <= PeerTimeout;
}

void ClusterView::confirmByPeers(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_list)
        return;
    std::size_t reachable = 0;
    bool allContacted = true;
    for (const Member &member : m_list->members) {
        const auto peer = m_peers.find(member.name);
        const bool own = member.name == m_ownName;
        reachable += own || isReachable(member.name, now) ? 1 : 0;
        allContacted = allContacted && (own || (peer != m_peers.end() && peer->second.contacted));
    }
    if (reachable > 1 && reachable * 2 > m_list->members.size())
        m_configuration.confirm(m_configuration.version(), now);
    if (allContacted)
        m_configuration.recordPeersQueried();
}

std::shared_ptr<const Configuration> ClusterView::configuration() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration.current();
}

PublishedText ClusterView::published() const
{
    const std::lock_guard lock(m_mutex);
    return {m_configuration.version(), m_configuration.text()};
}

ConfigurationState ClusterView::state(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration.state(now);
}

bool ClusterView::setList(InstanceList list, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_listReadAt = now;
    if (m_list && *m_list == list)
        return false;
    m_listDigest = digestOf(list);
    m_list = std::make_shared<const InstanceList>(std::move(list));
    std::erase_if(m_warmReports,
                  [&](const auto &report) { return now - report.second.receivedAt > MaxWarmReportAge; });
    std::erase_if(m_peers, [&](const auto &peer) {
        return std::none_of(m_list->members.begin(), m_list->members.end(),
                            [&](const Member &member) { return member.name == peer.first; });
    });
    return true;
}

std::shared_ptr<const InstanceList> ClusterView::list() const
{
    const std::lock_guard lock(m_mutex);
    return m_list;
}

std::vector<Member> ClusterView::homeCandidates() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Member> candidates;
    if (!m_list)
        return candidates;
    std::copy_if(m_list->members.begin(), m_list->members.end(), std::back_inserter(candidates),
                 [&](const Member &member) {
                     const auto peer = m_peers.find(member.name);
                     return peer == m_peers.end() || !peer->second.refused;
                 });
    return candidates;
}

std::uint64_t ClusterView::listDigest() const
{
    const std::lock_guard lock(m_mutex);
    return m_listDigest;
}

bool ClusterView::isListCurrent(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_list)
        return false;
    if (now - m_listReadAt <= MaxListAgeForColdGrants)
        return true;
    return std::all_of(m_list->members.begin(), m_list->members.end(), [&](const Member &member) {
        if (member.name == m_ownName)
            return true;
        const auto peer = m_peers.find(member.name);
        if (peer == m_peers.end())
            return false;
        const bool agrees =
            isReachable(member.name, now) && peer->second.heartbeat.listDigest == m_listDigest;
        return agrees || peer->second.refused;
    });
}

void ClusterView::recordHeartbeat(const Heartbeat &heartbeat, Instant now)
{
    const std::lock_guard lock(m_mutex);
    PeerState &peer = m_peers[heartbeat.name];
    peer = {heartbeat, now, false, true};
    for (const PoolSummary &summary : heartbeat.pools) {
        for (const WarmUpstream &warm : summary.warm)
            m_warmReports[warm.upstream] = {warm.incarnation, now};
    }
}

bool ClusterView::wasWarm(const std::string &upstream, const std::string &incarnation, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto report = m_warmReports.find(upstream);
    return report != m_warmReports.end() && report->second.incarnation == incarnation
           && now - report->second.receivedAt <= MaxWarmReportAge;
}

void ClusterView::recordFailure(const std::string &peer, PeerFailure failure)
{
    const std::lock_guard lock(m_mutex);
    PeerState &state = m_peers[peer];
    state.contacted = true;
    state.refused = failure == PeerFailure::Refused;
}

std::map<std::string, PeerState> ClusterView::peers() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers;
}

std::optional<PoolSummary> ClusterView::summary(const std::string &pool, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, peer] : m_peers) {
        if (!isReachable(name, now))
            continue;
        for (const PoolSummary &summary : peer.heartbeat.pools) {
            if (summary.pool == pool)
                return summary;
        }
    }
    return std::nullopt;
}

} // namespace chestnutsill
