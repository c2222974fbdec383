#include "chestnutsill/config/document.h"
#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/net/httpserver.h"

#include <csignal>
#include <iostream>
#include <memory>

namespace {

using namespace chestnutsill;

constexpr std::chrono::milliseconds ReadPeriod{500};
constexpr std::chrono::milliseconds ConnectTimeout{400};
constexpr std::chrono::milliseconds AnswerTimeout{30000};

/// Baseline for comparisons: a proxy with round robin over the upstreams of a model, first come, first
/// served, with one retry. It reads the same configuration, so that it also avoids zones that are out of
/// service.
class Baseline
{
public:
    Baseline(boost::asio::io_context &io, const std::string &listen, std::string platform)
        : m_platform(std::move(platform))
        , m_server(io, listen, HttpLimits{},
                   [this](Exchange &exchange, const Fiber &fiber) { serve(exchange, fiber); })
    {
        startFiber(io, [this](const Fiber &fiber) { readConfiguration(fiber); });
    }

private:
    void readConfiguration(const Fiber &fiber)
    {
        for (;;) {
            std::string reason;
            const auto response =
                fetch(m_platform, {.target = "/config?after=0&waitMs=0"}, ConnectTimeout, fiber, reason);
            ValidationErrors errors;
            if (response && response->head.status == 200) {
                if (auto configuration = parseConfiguration(response->body, errors))
                    m_configuration = std::make_shared<const Configuration>(std::move(*configuration));
            }
            sleepFor(ReadPeriod, fiber);
        }
    }

    [[nodiscard]] std::string nextUpstream(const std::string &model)
    {
        std::vector<std::string> addresses;
        for (const Upstream &upstream : m_configuration->upstreams) {
            if (upstream.model == model && isOpen(*m_configuration, upstream))
                addresses.push_back(upstream.address);
        }
        return addresses.empty() ? std::string() : addresses[m_nextIndex++ % addresses.size()];
    }

    void serve(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        if (request.method == "GET" || !m_configuration) {
            exchange.respond(m_configuration ? 200 : 503, "text/plain", "baseline\n", {}, fiber);
            return;
        }
        const RequestClass *item = findClass(*m_configuration, request.field("chestnutsill-class"));
        bool relayed = false;
        for (int attempts = 0; item != nullptr && attempts < 2 && !relayed; ++attempts) {
            if (attempt(exchange, nextUpstream(item->model), relayed, fiber))
                return;
        }
        if (relayed)
            exchange.abort();
        else
            exchange.respond(502, "text/plain", "upstream failed\n", {}, fiber);
    }

    bool attempt(Exchange &exchange, const std::string &address, bool &relayed, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        const HttpField id{"x-request-id", std::string(request.field("chestnutsill-request-id"))};
        HttpClient client;
        if (address.empty() || !client.connect(address, ConnectTimeout, fiber)
            || !client.send({request.method, request.target, {&id, 1}, request.body}, ConnectTimeout, fiber))
            return false;
        const auto head = client.readHead(AnswerTimeout, fiber);
        if (!head)
            return false;
        for (;;) {
            const auto piece = client.readPiece(AnswerTimeout, fiber);
            if (!piece)
                return false;
            if (!relayed && !exchange.startStream(head->status, head->field("content-type"), {}, fiber))
                return true;
            relayed = true;
            if (piece->empty())
                return exchange.endStream(fiber);
            if (!exchange.sendPiece(*piece, fiber))
                return true;
        }
    }

    const std::string m_platform;
    std::shared_ptr<const Configuration> m_configuration;
    std::size_t m_nextIndex = 0;
    HttpServer m_server;
};

} // namespace

/// Usage: chestnutsill-baseline LISTEN PLATFORM
int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: chestnutsill-baseline LISTEN PLATFORM\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io(1);
    const Baseline baseline(io, argv[1], argv[2]);
    io.run();
    return 0;
}
