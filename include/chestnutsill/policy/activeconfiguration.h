#pragma once

#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/instant.h"

#include <memory>
#include <string>

namespace chestnutsill {

/// Whether an instance may rely on its configuration for new requests.
enum class ConfigurationState {
    /// No configuration yet, or peers have not been queried yet.
    Starting,
    /// Confirmed by the configuration service or a peer within `MaxAge`.
    Current,
    /// The last confirmation is older than `MaxAge`, or a newer version is known to exist.
    Stale,
};

/// The configuration in force at one instance. Its version only increases. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Largest age of the last confirmation before the configuration is stale.
    static constexpr milliseconds MaxAge{3000};

    /// Puts a configuration in force if its version is higher than the current one. Returns whether it did.
    /// `text` is the document as published, kept to pass on to peers.
    bool accept(Configuration configuration, std::string text);

    /// Records that the configuration service or a peer answered with this version.
    void confirm(std::uint64_t version, Instant now) noexcept;

    /// Records that every reachable peer has been queried for its version.
    void recordPeersQueried() noexcept { m_peersQueried = true; }

    /// Whether new requests may rely on the configuration.
    [[nodiscard]] ConfigurationState state(Instant now) const noexcept;

    /// The configuration in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<const Configuration> current() const noexcept { return m_current; }

    /// The published text of the configuration in force.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

    /// Version in force, 0 before the first one.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_current ? m_current->version : 0; }

    /// Highest version known to exist.
    [[nodiscard]] std::uint64_t newestKnown() const noexcept { return m_newestKnown; }

private:
    std::shared_ptr<const Configuration> m_current;
    std::string m_text;
    std::uint64_t m_newestKnown = 0;
    Instant m_confirmedAt{};
    bool m_peersQueried = false;
};

} // namespace chestnutsill
