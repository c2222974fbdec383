#pragma once

#include <chrono>

namespace chestnutsill {

/// Time since an arbitrary origin fixed for the life of one process, in microseconds. It never goes back and
/// keeps running while the process is stopped. Instants of two processes must not be compared.
using Instant = std::chrono::microseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace chestnutsill
