#pragma once

#include "platform/settings.h"

#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// One instance of the system on the users' platform: it serves callers, answers which instances to use, and
/// follows the store and its peers. All of it runs on one event loop, since an instance has a part of one
/// core.
class PlatformDaemon
{
public:
    /// Starts listening. `settingsPath` is read again when it changes. Throws `std::runtime_error` when an
    /// address can't be listened on. Metrics and the state are served on `metricsPort`.
    PlatformDaemon(const platform::ProcessSettings &settings, std::string settingsPath, int metricsPort);
    ~PlatformDaemon();

    PlatformDaemon(const PlatformDaemon &) = delete;
    PlatformDaemon &operator=(const PlatformDaemon &) = delete;

    /// Serves until SIGTERM and the end of what is in progress.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads a settings file. Returns nothing and records faults when it can't be read.
[[nodiscard]] std::optional<platform::ProcessSettings> readSettingsFile(const std::string &path,
                                                                        ValidationErrors &errors);

} // namespace chestnutsill
