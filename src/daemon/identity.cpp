#include "daemon/identity.h"

#include <random>

namespace chestnutsill {

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace chestnutsill
