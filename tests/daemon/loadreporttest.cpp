#include "daemon/loadreport.h"

#include "chestnutsill/net/httpserver.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace chestnutsill;

namespace {

constexpr const char *Address = "127.0.0.1:28735";

/// Reads a load report with this body.
std::optional<UpstreamReport> readReport(const std::string &body)
{
    boost::asio::io_context io;
    const HttpServer server(io, Address, HttpLimits{}, [&](Exchange &exchange, const Fiber &fiber) {
        exchange.respond(200, "application/json", body, {}, fiber);
    });
    std::optional<UpstreamReport> report;
    startFiber(io, [&](const Fiber &fiber) {
        HttpClient client;
        std::string reason;
        if (client.connect(Address, milliseconds(5000), fiber))
            report = readLoadReport(client, "engine-1", fiber, reason);
        io.stop();
    });
    io.run();
    return report;
}

} // namespace

TEST_CASE("load report: a member that can't be read leaves the others")
{
    const std::string deep = std::string(100, '[') + std::string(100, ']');
    for (const std::string &odd : {std::string(R"("\udcff")"), std::string("\"\xff\""), std::string("1e999"),
                                   std::string("nonsense"), deep}) {
        CAPTURE(odd);
        const auto report = readReport(R"({"note":)" + std::string(odd)
                                       + R"(,"incarnation":"i-1","ready":true,"running":3})");
        if (!report) {
            CHECK(report);
            continue;
        }
        CHECK(report->incarnation == "i-1");
        CHECK(report->ready);
        CHECK(report->running == 3);
    }
}

TEST_CASE("load report: one without its incarnation or readiness is no report")
{
    for (const char *body : {"", "17", R"({"ready":true})", R"({"incarnation":"\udcff","ready":true})",
                             R"({"incarnation":"i-1","ready":1})", R"({"incarnation":"i-1","ready":true)"}) {
        CAPTURE(body);
        CHECK_FALSE(readReport(body));
    }
}
