#pragma once

#include <string_view>

namespace chestnutsill {

/// Header fields of a request that is handed over: method and target as the caller sent them.
inline constexpr std::string_view HandOverMethodField = "chestnutsill-method";
inline constexpr std::string_view HandOverTargetField = "chestnutsill-target";
/// Header fields of the response to a request that a peer has handed over: the verdict, the reason of a
/// refusal, and the milliseconds after which the caller should send it again.
inline constexpr std::string_view HandOverVerdictField = "chestnutsill-verdict";
inline constexpr std::string_view HandOverReasonField = "chestnutsill-reason";
inline constexpr std::string_view HandOverRetryField = "chestnutsill-retry-ms";

/// Reason of a refusal by an instance that reaches no upstream of the service either.
inline constexpr std::string_view OutOfReach = "out-of-reach";

} // namespace chestnutsill
