#include "checks.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace chestnutsill::soak {

namespace {

/// Required by the users' sites: time within which every instance serves again after all faults have ended.
constexpr std::chrono::seconds RecoveryTimeout{12};
/// Limits of the users' smallest instances: memory and file descriptors.
constexpr std::uint64_t MaxMemoryBytes = 88ULL << 20;
constexpr std::size_t MaxDescriptors = 4100;

std::string completeStream(const std::string &version)
{
    constexpr int Events = 6;
    std::string text;
    for (int i = 1; i <= Events; ++i)
        text += "id: " + std::to_string(i) + "\ndata: token of " + version + "\n\n";
    return text;
}

bool isWholeBody(const RequestRecord &request)
{
    if (request.path.starts_with("/stream"))
        return request.body == completeStream("v1") || request.body == completeStream("v2");
    return request.body == "body of " + request.id;
}

bool isAtMostOnce(const RequestRecord &request)
{
    return request.path.starts_with("/booking") || request.path.starts_with("/streamonce");
}

std::string describe(const RequestRecord &request)
{
    return request.id + " (" + request.path + ", status " + std::to_string(request.status) + ')';
}

void checkRuns(const RequestRecord &request, std::size_t runs, std::vector<std::string> &violations)
{
    if (isAtMostOnce(request) && runs > 1)
        violations.push_back(describe(request) + " ran " + std::to_string(runs) + " times");
    if ((request.status == 503 || request.status == 401 || request.status == 404) && runs > 0
        && isAtMostOnce(request))
        violations.push_back(describe(request) + " was reported as not run, but ran");
    if (request.status == 503 && runs > 0 && !request.resumedId.empty())
        violations.push_back(describe(request) + " took up a stream, was reported as not run, but ran");
    if (request.status == 200 && runs == 0)
        violations.push_back(describe(request) + " was answered, but never ran");
}

void checkBody(const RequestRecord &request, std::vector<std::string> &violations)
{
    if (request.status == 200 && !isWholeBody(request))
        violations.push_back(describe(request)
                             + " got an incomplete body or the body of another request: " + request.body);
    const bool hasFirst = request.body.find("of v1") != std::string::npos;
    if (hasFirst && request.body.find("of v2") != std::string::npos)
        violations.push_back(describe(request) + " got events of two software versions");
}

void checkKey(const RequestRecord &request, const std::vector<TimeSpan> &keyRevocations, std::size_t runs,
              std::vector<std::string> &violations)
{
    if (request.key != "key-2" || request.path.starts_with("/open") || runs == 0)
        return;
    for (const TimeSpan &interval : keyRevocations) {
        const bool sentAfter = request.sentMs > interval.fromMs + MaxKeyConfirmationAge.count();
        if (sentAfter && (!interval.toMs || request.sentMs < *interval.toMs))
            violations.push_back(describe(request) + " ran with a key revoked "
                                 + std::to_string(request.sentMs - interval.fromMs) + " ms before");
    }
}

void checkResources(const support::Site::Instance &instance, std::vector<std::string> &violations)
{
    const std::string folder = "/proc/" + std::to_string(instance.process->pid());
    std::ifstream statm(folder + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    statm >> size >> resident;
    constexpr std::uint64_t PageBytes = 4096;
    if (resident * PageBytes > MaxMemoryBytes)
        violations.push_back(instance.name + " holds " + std::to_string(resident * PageBytes)
                             + " bytes of memory");
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(folder + "/fd", error);
    const auto count = error ? 0 : std::distance(begin(descriptors), end(descriptors));
    if (static_cast<std::size_t>(count) > MaxDescriptors)
        violations.push_back(instance.name + " holds " + std::to_string(count) + " descriptors");
}

} // namespace

std::vector<std::string> checkRecovery(support::Site &site)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < site.instances().size(); ++i) {
        for (const char *path : {"/plain/x", "/booking/x", "/stream/x"}) {
            const bool served = support::waitUntil(
                [&] {
                    support::SiteCall call = support::callTo(path, "recovery");
                    call.timeout = std::chrono::seconds(3);
                    const auto answer = site.call(i, call);
                    return answer && answer->head.status == 200;
                },
                RecoveryTimeout);
            if (!served)
                violations.push_back(site.instances()[i].name + " does not serve " + path
                                     + " after all faults have ended");
        }
    }
    return violations;
}

std::vector<std::string> check(const support::Site &site, const History &history)
{
    std::vector<std::string> violations = history.violations();
    const auto runs = site.allRuns();
    const auto keyRevocations = history.keyRevocations();
    for (const RequestRecord &request : history.requests()) {
        checkRuns(request, runs.count(request.id), violations);
        checkBody(request, violations);
        checkKey(request, keyRevocations, runs.count(request.id), violations);
    }
    for (const auto &instance : site.instances())
        checkResources(instance, violations);
    return violations;
}

} // namespace chestnutsill::soak
