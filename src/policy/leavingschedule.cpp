#include "chestnutsill/policy/leavingschedule.h"

#include "chestnutsill/policy/silencedetector.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Time kept free before the kill to answer the requests that are still in progress, and the part of the
/// grace time that it may take at most.
constexpr milliseconds FinalAnswersTime{300};
constexpr int FinalAnswersDivisor = 8;
/// Part of that time that is left between the end of the process and the kill.
constexpr int KillMarginDivisor = 3;
/// Part of its time that a request of which nothing is known is assumed to take.
constexpr int AssumedDivisor = 2;

} // namespace

LeavingSchedule leavingSchedule(Instant start, milliseconds grace, milliseconds addressUse) noexcept
{
    const Instant killed = start + std::max(grace, milliseconds(0));
    const Instant finalAnswers = std::min<Instant>(FinalAnswersTime, (killed - start) / FinalAnswersDivisor);
    return {start + addressUse, killed - finalAnswers, killed - finalAnswers / KillMarginDivisor};
}

bool mayAccept(const LeavingSchedule &schedule, const LateRequest &request, Instant now) noexcept
{
    if (now >= schedule.requestsEnd)
        return false;
    if (request.deadline <= schedule.requestsEnd)
        return true;
    if (now >= schedule.addressesExpire)
        return false;
    if (request.usualDuration) {
        const Instant silence = request.othersServe ? SilenceDetector::ToleratedSilence : milliseconds(0);
        return now + *request.usualDuration + silence <= schedule.requestsEnd;
    }
    return now + (request.deadline - now) / AssumedDivisor <= schedule.requestsEnd;
}

} // namespace chestnutsill
