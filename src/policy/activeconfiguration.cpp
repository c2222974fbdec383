#include "chestnutsill/policy/activeconfiguration.h"

#include <algorithm>
#include <utility>

namespace chestnutsill {

bool ActiveConfiguration::accept(Configuration configuration, std::string text)
{
    if (configuration.version <= version())
        return false;
    m_newestKnown = std::max(m_newestKnown, configuration.version);
    m_current = std::make_shared<const Configuration>(std::move(configuration));
    m_text = std::move(text);
    return true;
}

void ActiveConfiguration::confirm(std::uint64_t version, Instant now) noexcept
{
    m_newestKnown = std::max(m_newestKnown, version);
    m_confirmedAt = now;
}

ConfigurationState ActiveConfiguration::state(Instant now) const noexcept
{
    if (!m_current || !m_peersQueried)
        return ConfigurationState::Starting;
    const bool behind = m_newestKnown > version();
    const bool expired = now - m_confirmedAt > MaxAge;
    return behind || expired ? ConfigurationState::Stale : ConfigurationState::Current;
}

} // namespace chestnutsill
