#include "daemon/suspectregistry.h"

#include "chestnutsill/observe/log.h"
#include "daemon/identity.h"

namespace chestnutsill {

SuspectRegistry::SuspectRegistry(Homes &homes, TellCrash tellCrash, TellCleared tellCleared)
    : m_homes(homes)
    , m_tellCrash(std::move(tellCrash))
    , m_tellCleared(std::move(tellCleared))
{}

void SuspectRegistry::sawCrash(const CrashReport &crash)
{
    log(LogLevel::Warning, "upstream-crash-suspected",
        {{"upstream", crash.upstream}, {"running", static_cast<std::int64_t>(crash.fingerprints.size())}});
    heardCrash(crash);
    m_tellCrash(crash);
}

void SuspectRegistry::heardCrash(const CrashReport &crash)
{
    {
        const std::lock_guard lock(m_mutex);
        m_suspects.recordCrash(crash.upstream, crash.incarnation, crash.fingerprints, now());
    }
    m_homes.noteCrash(crash);
}

void SuspectRegistry::sawCompletion(std::uint64_t fingerprint)
{
    if (strikes(fingerprint) == 0)
        return;
    heardCompletion(fingerprint);
    m_tellCleared(fingerprint);
}

void SuspectRegistry::heardCompletion(std::uint64_t fingerprint)
{
    {
        const std::lock_guard lock(m_mutex);
        m_suspects.clear(fingerprint);
    }
    m_homes.noteCompletion(fingerprint);
}

int SuspectRegistry::strikes(std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.strikes(fingerprint, now());
}

std::size_t SuspectRegistry::size()
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.size();
}

} // namespace chestnutsill
