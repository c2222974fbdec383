#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/observe/latenesstable.h"
#include "commands.h"

#include <boost/json.hpp>

#include <iostream>

namespace chestnutsill::tool {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds PageTimeout{3000};
constexpr int StatusOk = 200;

/// Metrics page of one instance, or why there is none.
struct MetricsPage
{
    std::string instance;
    std::optional<std::string> text;
    std::string reason;
};

/// Fetches the metrics pages of all instances at the same time, so that several that don't answer cost one
/// timeout together.
std::vector<MetricsPage> fetchMetricsPages(const std::vector<std::string> &instances)
{
    std::vector<MetricsPage> pages(instances.size());
    boost::asio::io_context io;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        pages[i].instance = instances[i];
        startFiber(io, [&page = pages[i]](const Fiber &fiber) {
            const auto response =
                fetch(page.instance, {.target = "/metrics"}, PageTimeout, fiber, page.reason);
            if (response && response->head.status == StatusOk)
                page.text = response->body;
            else if (response)
                page.reason = "status " + std::to_string(response->head.status);
        });
    }
    io.run();
    return pages;
}

} // namespace

int runLateness(const CommandLine &arguments)
{
    if (arguments.instances.empty())
        throw UsageError("--instances is missing");
    if (arguments.positional.size() != 1)
        throw UsageError("unexpected argument " + arguments.positional[1]);
    LatenessTable table;
    json::array answered;
    json::array missing;
    for (MetricsPage &page : fetchMetricsPages(arguments.instances)) {
        if (page.text && addMetricsPage(table, *page.text, page.reason)) {
            answered.emplace_back(page.instance);
            continue;
        }
        std::cerr << page.instance << ": " << page.reason << '\n';
        missing.push_back({{"instance", page.instance}, {"reason", page.reason}});
    }
    const bool isComplete = missing.empty();
    if (arguments.json) {
        json::value output = json::parse(toJson(table));
        output.as_object()["instances"] = std::move(answered);
        output.as_object()["missing"] = std::move(missing);
        std::cout << json::serialize(output) << '\n';
    } else {
        std::cout << toText(table);
    }
    return isComplete ? ExitSuccess : ExitFailed;
}

} // namespace chestnutsill::tool
