#pragma once

#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/instant.h"

#include <memory>
#include <string>

namespace chestnutsill {

/// Whether an instance may rely on its configuration for new work.
enum class ConfigurationState {
    /// No configuration yet, or peers not asked yet.
    Starting,
    /// Confirmed a short time ago by the service or by a peer.
    Current,
    /// Not confirmed for some time, or a peer is known to have a newer one.
    Stale,
};

/// The configuration in force at one instance. The version only grows. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Age of the last confirmation beyond which the view is stale.
    static constexpr milliseconds MaxAge{3000};

    /// Puts a configuration in force if its version is higher than that in force. Returns whether it did.
    /// `text` is the document as published, kept for peers.
    bool accept(Configuration configuration, std::string text);

    /// Records that the service or a peer answered with this version.
    void confirm(std::uint64_t version, Instant now) noexcept;

    /// Records that every reachable peer has been asked for its version.
    void recordPeersQueried() noexcept { m_peersAsked = true; }

    /// Whether new work may rely on the configuration.
    [[nodiscard]] ConfigurationState state(Instant now) const noexcept;

    /// The configuration in force, or null before the first.
    [[nodiscard]] std::shared_ptr<const Configuration> current() const noexcept { return m_current; }

    /// The published text of the configuration in force.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

    /// Version in force, 0 before the first.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_current ? m_current->version : 0; }

    /// Highest version that anyone is known to have.
    [[nodiscard]] std::uint64_t newestKnown() const noexcept { return m_newestKnown; }

private:
    std::shared_ptr<const Configuration> m_current;
    std::string m_text;
    std::uint64_t m_newestKnown = 0;
    Instant m_confirmedAt{};
    bool m_peersAsked = false;
};

} // namespace chestnutsill
