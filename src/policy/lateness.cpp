#include "chestnutsill/policy/lateness.h"

namespace chestnutsill {

Lateness latenessOf(const RequestCourse &course) noexcept
{
    constexpr int FirstServerError = 500;
    Lateness lateness;
    lateness.refused = !course.callerGone && course.verdict == Verdict::NotRun;
    lateness.failed = !course.callerGone
                      && (course.verdict == Verdict::MayHaveRun
                          || (course.verdict == Verdict::Answered && course.status >= FirstServerError));
    lateness.lateFirst = course.target > milliseconds(0) && !lateness.refused
                         && course.firstEvent.value_or(course.total) > course.target;
    lateness.lateGap =
        course.gapTarget > milliseconds(0) && course.longestGap && *course.longestGap > course.gapTarget;
    return lateness;
}

} // namespace chestnutsill
