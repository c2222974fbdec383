#pragma once

#include "daemon/settings.h"
#include "platform/settings.h"

#include <memory>
#include <optional>
#include <string>

namespace chestnutsill {

/// The daemon on the users' platform: serves callers, returns the addresses of serving instances, and keeps
/// its configuration current from the store and from peers. Everything runs on one event loop, because an
/// instance gets only a fraction of a core.
class PlatformDaemon
{
public:
    /// Opens all listeners; metrics and state are served on the port that the flags name. Throws
    /// `std::runtime_error` if an address cannot be bound. The file at `settingsPath` is reloaded on SIGHUP
    /// and when its contents change.
    PlatformDaemon(const platform::ProcessSettings &settings, std::string settingsPath,
                   const PlatformFlags &flags);
    ~PlatformDaemon();

    PlatformDaemon(const PlatformDaemon &) = delete;
    PlatformDaemon &operator=(const PlatformDaemon &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains: accepts only requests that end in time, and returns once
    /// callers no longer use the address and no request is in progress, at the latest shortly before the
    /// termination grace time ends.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads a settings file. Returns nothing and adds to `errors` when it cannot be read or is invalid.
[[nodiscard]] std::optional<platform::ProcessSettings> readSettingsFile(const std::string &path,
                                                                        ValidationErrors &errors);

} // namespace chestnutsill
