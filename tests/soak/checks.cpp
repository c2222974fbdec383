#include "checks.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace chestnutsill::soak {

namespace {

/// Time for every instance to serve again after all faults have ended, as the users' sites ask.
constexpr std::chrono::seconds RecoveryTime{12};
/// The smallest memory and the fewest descriptors of the users' instances.
constexpr std::uint64_t MemoryBytes = 88ULL << 20;
constexpr std::size_t Descriptors = 4100;

std::string wholeStream()
{
    constexpr int Events = 6;
    std::string text;
    for (int i = 1; i <= Events; ++i)
        text += "id: " + std::to_string(i) + "\ndata: token\n\n";
    return text;
}

bool isAtMostOnce(const Seen &seen)
{
    return seen.path.starts_with("/booking") || seen.path.starts_with("/streamonce");
}

std::string describe(const Seen &seen)
{
    return seen.id + " (" + seen.path + ", status " + std::to_string(seen.status) + ')';
}

void checkRuns(const Seen &seen, std::size_t runs, std::vector<std::string> &broken)
{
    if (isAtMostOnce(seen) && runs > 1)
        broken.push_back(describe(seen) + " ran " + std::to_string(runs) + " times");
    if ((seen.status == 503 || seen.status == 401 || seen.status == 404) && runs > 0 && isAtMostOnce(seen))
        broken.push_back(describe(seen) + " was said not to have run, and ran");
    if (seen.status == 200 && runs == 0)
        broken.push_back(describe(seen) + " was answered and never ran");
}

void checkBody(const Seen &seen, std::vector<std::string> &broken)
{
    if (seen.status != 200)
        return;
    const bool isStream = seen.path.starts_with("/stream");
    if (seen.body != (isStream ? wholeStream() : "body of " + seen.id))
        broken.push_back(describe(seen) + " got a body that is not its own or not whole");
}

void checkKey(const Seen &seen, const std::vector<Span> &keyGone, std::size_t runs,
              std::vector<std::string> &broken)
{
    if (seen.key != "key-2" || seen.path.starts_with("/open") || runs == 0)
        return;
    for (const Span &span : keyGone) {
        const bool sentAfter = seen.sentMs > span.fromMs + KeyAge.count();
        if (sentAfter && (!span.toMs || seen.sentMs < *span.toMs))
            broken.push_back(describe(seen) + " ran with a key taken away "
                             + std::to_string(seen.sentMs - span.fromMs) + " ms before");
    }
}

void checkResources(const support::Site::Instance &instance, std::vector<std::string> &broken)
{
    const std::string folder = "/proc/" + std::to_string(instance.process->pid());
    std::ifstream statm(folder + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    statm >> size >> resident;
    constexpr std::uint64_t PageBytes = 4096;
    if (resident * PageBytes > MemoryBytes)
        broken.push_back(instance.name + " holds " + std::to_string(resident * PageBytes)
                         + " bytes of memory");
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(folder + "/fd", error);
    const auto count = error ? 0 : std::distance(begin(descriptors), end(descriptors));
    if (static_cast<std::size_t>(count) > Descriptors)
        broken.push_back(instance.name + " holds " + std::to_string(count) + " descriptors");
}

} // namespace

std::vector<std::string> checkRecovery(support::Site &site)
{
    std::vector<std::string> broken;
    for (std::size_t i = 0; i < site.instances().size(); ++i) {
        for (const char *path : {"/plain/x", "/booking/x", "/stream/x"}) {
            const bool served = support::waitUntil(
                [&] {
                    support::SiteCall call = support::callTo(path, "recovery");
                    call.timeout = std::chrono::seconds(3);
                    const auto answer = site.call(i, call);
                    return answer && answer->head.status == 200;
                },
                RecoveryTime);
            if (!served)
                broken.push_back(site.instances()[i].name + " does not serve " + path
                                 + " after all faults have ended");
        }
    }
    return broken;
}

std::vector<std::string> check(const support::Site &site, const History &history)
{
    std::vector<std::string> broken = history.brokenMeanwhile();
    const auto runs = site.allRuns();
    const auto keyGone = history.keyGone();
    for (const Seen &seen : history.seen()) {
        checkRuns(seen, runs.count(seen.id), broken);
        checkBody(seen, broken);
        checkKey(seen, keyGone, runs.count(seen.id), broken);
    }
    for (const auto &instance : site.instances())
        checkResources(instance, broken);
    return broken;
}

} // namespace chestnutsill::soak
