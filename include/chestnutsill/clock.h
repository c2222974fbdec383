#pragma once

#include "chestnutsill/policy/instant.h"

#include <ctime>

namespace chestnutsill {

/// The clock of this process. It runs on while the process is stopped.
[[nodiscard]] inline Instant now() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000);
}

} // namespace chestnutsill
