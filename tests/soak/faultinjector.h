#pragma once

#include "history.h"
#include "site.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>

namespace chestnutsill::soak {

/// Does things to a site from outside, in series that overlap, as a seed decides. It ends only processes that
/// the site has started.
class FaultInjector
{
public:
    FaultInjector(support::Site &site, History &history, std::uint64_t seed);

    /// Starts or ends one fault, and waits a little.
    void step();

    /// Ends all faults.
    void heal();

private:
    void instanceFault();
    void upstreamFault();
    void storeFault();
    void operatorChange();
    void wakeAll();
    void restartEnded();
    void noteVersions();
    [[nodiscard]] support::Site::Upstream &anyUpstream();
    [[nodiscard]] std::uint64_t pick(std::uint64_t count) { return m_random() % count; }

    support::Site &m_site;
    History &m_history;
    std::mt19937_64 m_random;
    std::set<std::size_t> m_stopped;
    std::set<std::size_t> m_leaving;
    std::set<std::string> m_zonesOut;
    std::set<std::string> m_draining;
    bool m_keyGone = false;
    /// Highest version seen of each instance since its last start.
    std::map<std::size_t, std::int64_t> m_versions;
};

} // namespace chestnutsill::soak
