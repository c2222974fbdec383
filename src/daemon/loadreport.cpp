#include "daemon/loadreport.h"

#include "chestnutsill/config/jsonobjectreader.h"

#include <boost/json.hpp>

namespace chestnutsill {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds ReportTimeout{500};
constexpr std::size_t MaxReportBytes = 16'384;

} // namespace

std::optional<UpstreamReport> readLoadReport(HttpClient &client, const std::string &upstream,
                                             const Fiber &fiber, std::string &reason)
{
    const auto response = client.call({.target = "/load"}, MaxReportBytes, ReportTimeout, fiber);
    if (!response) {
        reason = client.lastReason();
        return std::nullopt;
    }
    // Upstreams may report more than what is read here.
    ValidationErrors ignored;
    const json::object report = parseMembers(response->body, "report", ignored);
    const json::value *incarnation = report.if_contains("incarnation");
    const json::value *ready = report.if_contains("ready");
    if (incarnation == nullptr || !incarnation->is_string() || ready == nullptr || !ready->is_bool()) {
        reason = "load report without incarnation or ready";
        return std::nullopt;
    }
    UpstreamReport result;
    result.upstream = upstream;
    result.incarnation = std::string(incarnation->get_string());
    result.ready = ready->get_bool();
    if (const json::value *running = report.if_contains("running"); running != nullptr && running->is_int64())
        result.running = static_cast<int>(running->get_int64());
    return result;
}

} // namespace chestnutsill
