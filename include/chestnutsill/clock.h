#pragma once

#include "chestnutsill/policy/instant.h"

#include <ctime>

namespace chestnutsill {

/// The current time. The clock is monotonic and advances while the process or the machine is suspended.
[[nodiscard]] inline Instant now() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000);
}

} // namespace chestnutsill
