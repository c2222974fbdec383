#pragma once

#include <chrono>

namespace chestnutsill {

/// Time in microseconds since an arbitrary origin that is fixed for the lifetime of a process. It is
/// monotonic and advances while the process is stopped. Instants of different processes must not be compared.
using Instant = std::chrono::microseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace chestnutsill
