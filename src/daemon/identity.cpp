#include "daemon/identity.h"

#include <ctime>
#include <random>

namespace chestnutsill {

Instant now() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000);
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace chestnutsill
