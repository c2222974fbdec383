// Runs a request at most once: a resend gets the outcome from the owner's deduplication table.

#include <chestnutsill/chestnutsill.h>

#include <iostream>

using namespace chestnutsill;

int main()
{
    const Instant start = seconds(100);
    const std::string id = requestIdPrefix("entry-1", 42, start) + "callers-nonce";
    std::string reason;
    const auto parsed = parseRequestId(id, reason);
    if (!parsed)
        return 1;

    DeduplicationTable table(1000, 1 << 20);
    const Claim first = table.claim(id, expiryOf(*parsed), start);
    std::cout << "first copy may run: " << std::boolalpha << (first == Claim::Run) << '\n';

    Answer answer;
    answer.status = 200;
    answer.verdict = Verdict::Answered;
    answer.body = "seat 12A";
    table.finish(id, answer);

    const Claim second = table.claim(id, expiryOf(*parsed), start + seconds(5));
    std::cout << "second copy is answered from the table: " << (second == Claim::Replay) << ", "
              << table.outcome(id)->body << '\n';
    return first == Claim::Run && second == Claim::Replay ? 0 : 1;
}
