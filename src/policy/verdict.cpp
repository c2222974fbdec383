#include "chestnutsill/policy/verdict.h"

namespace chestnutsill {

std::string_view toString(Verdict verdict) noexcept
{
    switch (verdict) {
    case Verdict::Answered:
        return "answered";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(std::string_view text) noexcept
{
    for (const Verdict verdict : {Verdict::Answered, Verdict::NotRun, Verdict::MayHaveRun}) {
        if (text == toString(verdict))
            return verdict;
    }
    return std::nullopt;
}

} // namespace chestnutsill
