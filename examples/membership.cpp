// Selects the home of a pool, and makes a new home wait until the grants of the former one have expired.

#include <chestnutsill/chestnutsill.h>

#include <iostream>

using namespace chestnutsill;

int main()
{
    std::vector<Member> members{{"entry-1", "a", "10.0.0.1:80", "10.0.0.1:90", false},
                                {"entry-2", "b", "10.0.0.2:80", "10.0.0.2:90", false},
                                {"entry-3", "c", "10.0.0.3:80", "10.0.0.3:90", false}};
    const std::string before = homeOf("assistant/a", members)->name;
    std::cout << "home: " << before << '\n';
    for (Member &member : members)
        member.leaving = member.name == before;
    const std::string after = homeOf("assistant/a", members)->name;
    std::cout << "home once it leaves: " << after << '\n';

    HomeTerm term;
    Instant now = seconds(10);
    const Instant since = now;
    updateTerm(term, true, now);
    while (!mayGrant(term, now)) {
        now += milliseconds(50);
        updateTerm(term, true, now);
    }
    std::cout << "grants after " << (now - since).count() / 1000 << " ms\n";
    return after != before && now - since >= TakeoverWait ? 0 : 1;
}
