// Builds a refusal whose verdict tells the caller that it can resend the request safely.

#include <chestnutsill/chestnutsill.h>

#include <iostream>

int main()
{
    using namespace chestnutsill;
    const Answer answer =
        refusal(503, Verdict::NotRun, "would-be-late", "capacity", "demand of higher tiers");
    std::cout << answer.status << ' ' << toString(answer.verdict) << '\n' << answer.body;
    const auto verdict = verdictFromString("may-have-run");
    return verdict == Verdict::MayHaveRun ? 0 : 1;
}
