#include "daemon/controlplane.h"

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/net/querytarget.h"
#include "chestnutsill/observe/log.h"

#include <random>

namespace chestnutsill {

namespace {

constexpr milliseconds LongPollDuration{1000};
constexpr milliseconds WatchTimeout{2500};
constexpr milliseconds ListPeriod{500};
constexpr milliseconds ListTimeout{1000};
constexpr milliseconds MinRetryPause{300};
constexpr milliseconds MaxRetryPause{900};

/// Returns a random delay before the next attempt, so that instances that failed together do not retry
/// together.
milliseconds retryPause()
{
    thread_local std::mt19937_64 random(randomNumber());
    return milliseconds(
        std::uniform_int_distribution<int>(MinRetryPause.count(), MaxRetryPause.count())(random));
}

} // namespace

void watchConfiguration(ClusterView &view, const std::string &service, const Fiber &fiber)
{
    for (;;) {
        const std::uint64_t version = view.published().version;
        const std::string target =
            queryTarget("/config", {{"after", std::to_string(version)},
                                    {"waitMs", std::to_string(LongPollDuration.count())}});
        std::string reason;
        const auto response = fetch(service, {.target = target}, WatchTimeout, fiber, reason);
        if (response && response->head.status == 200) {
            view.offer(response->body, now());
            // A document that is not newer is returned without waiting, so a pause here avoids a busy loop.
            if (view.published().version <= version)
                sleepFor(LongPollDuration, fiber);
        } else if (response && response->head.status == 304) {
            view.confirmByService(now());
        } else {
            log(LogLevel::Debug, "configuration-service-failed", {{"reason", reason}});
            sleepFor(retryPause(), fiber);
        }
    }
}

void pollInstanceList(ClusterView &view, const std::string &service, const Fiber &fiber)
{
    for (;;) {
        std::string reason;
        const auto response = fetch(service, {.target = "/instances"}, ListTimeout, fiber, reason);
        ValidationErrors errors;
        auto list = response && response->head.status == 200 ? parseInstanceList(response->body, errors)
                                                             : std::nullopt;
        if (list && view.setList(std::move(*list), now()))
            log(LogLevel::Info, "instance-list-changed", {});
        if (!errors.empty())
            log(LogLevel::Error, "instance-list-refused",
                {{"path", errors[0].path}, {"reason", errors[0].message}});
        sleepFor(ListPeriod, fiber);
    }
}

} // namespace chestnutsill
