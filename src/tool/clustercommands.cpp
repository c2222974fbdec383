#include "chestnutsill/net/httpclient.h"
#include "commands.h"

#include <boost/json.hpp>

#include <iomanip>
#include <iostream>
#include <random>

namespace chestnutsill::tool {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds PageTimeout{3000};
constexpr std::chrono::milliseconds SendTimeout{120000};
constexpr int StatusNeedsRequestId = 428;

/// Fetches without a running event loop. Returns nothing and sets `reason` on failure.
std::optional<HttpResponse> fetchBlocking(const std::string &address, const HttpCall &call,
                                          std::chrono::milliseconds timeout, std::string &reason)
{
    boost::asio::io_context io;
    std::optional<HttpResponse> response;
    startFiber(io, [&](const Fiber &fiber) { response = fetch(address, call, timeout, fiber, reason); });
    io.run();
    return response;
}

std::string makeNonce()
{
    static constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::random_device random;
    std::string nonce;
    for (int i = 0; i < 20; ++i)
        nonce += Letters[random() % Letters.size()];
    return nonce;
}

/// Sends the request of the command line. Throws `std::runtime_error` when there is no response.
HttpResponse sendOnce(const CommandLine &arguments, const std::string &requestId)
{
    std::vector<HttpField> fields{{"content-type", "application/json"},
                                  {"chestnutsill-account", arguments.account}};
    if (!arguments.requestClass.empty())
        fields.push_back({"chestnutsill-class", arguments.requestClass});
    if (!requestId.empty())
        fields.push_back({"chestnutsill-request-id", requestId});
    std::string reason;
    auto response = fetchBlocking(arguments.positional[1], {"POST", arguments.target, fields, arguments.body},
                                  SendTimeout, reason);
    if (!response)
        throw std::runtime_error(arguments.positional[1] + ": " + reason);
    return *response;
}

json::object parseState(const std::string &page)
{
    json::error_code error;
    const json::value value = json::parse(page, error);
    return !error && value.is_object() ? value.get_object() : json::object{};
}

/// Text of a field of `/state`, or `-` when it is missing.
std::string cell(const json::object &state, std::string_view name)
{
    const json::value *value = state.if_contains(name);
    if (value == nullptr)
        return "-";
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

void printHomes(const json::object &state)
{
    const json::value *homes = state.if_contains("homeOf");
    if (homes == nullptr || !homes->is_array())
        return;
    for (const json::value &home : homes->get_array()) {
        const json::object &pool = home.get_object();
        for (const json::value &entry : pool.at("upstreams").get_array()) {
            const json::object &upstream = entry.get_object();
            std::cout << "  " << std::left << std::setw(26) << cell(pool, "pool") << std::setw(16)
                      << cell(upstream, "name") << std::setw(7)
                      << (upstream.at("open").as_bool() ? "in" : "out") << std::setw(9)
                      << cell(upstream, "phase") << cell(upstream, "inUse") << '/' << cell(upstream, "limit")
                      << '\n';
        }
    }
}

} // namespace

std::string readPage(const std::string &address, const std::string &target)
{
    std::string reason;
    const auto response = fetchBlocking(address, {.target = target}, PageTimeout, reason);
    return response && response->head.status == 200 ? response->body : std::string();
}

int runStatus(const CommandLine &arguments)
{
    if (arguments.instances.empty())
        throw UsageError("--instances is missing");
    json::array states;
    for (const std::string &instance : arguments.instances) {
        json::object state = parseState(readPage(instance, "/state"));
        state["adminAddress"] = instance;
        states.push_back(std::move(state));
    }
    if (arguments.json) {
        std::cout << json::serialize(states) << '\n';
        return ExitSuccess;
    }
    std::cout << std::left << std::setw(24) << "instance" << std::setw(12) << "name" << std::setw(10)
              << "version" << std::setw(10) << "view" << std::setw(9) << "leaving"
              << "requests\n";
    for (const json::value &value : states) {
        const json::object &state = value.get_object();
        std::cout << std::left << std::setw(24) << cell(state, "adminAddress") << std::setw(12)
                  << cell(state, "name") << std::setw(10) << cell(state, "configVersion") << std::setw(10)
                  << cell(state, "view") << std::setw(9) << cell(state, "leaving")
                  << cell(state, "activeRequests") << '\n';
    }
    std::cout << "upstreams, each as seen by the home of its pool (slots in use/limit):\n";
    for (const json::value &value : states)
        printHomes(value.get_object());
    return ExitSuccess;
}

int runDump(const CommandLine &arguments)
{
    if (arguments.instances.empty())
        throw UsageError("--instances is missing");
    for (const std::string &instance : arguments.instances) {
        const std::string page = readPage(instance, "/state");
        std::cout << (page.empty() ? "{\"unreachable\":\"" + instance + "\"}\n" : page);
    }
    return ExitSuccess;
}

int runSend(const CommandLine &arguments)
{
    if (arguments.positional.size() != 2)
        throw UsageError("expected the address of one instance");
    std::string requestId = arguments.requestId;
    HttpResponse response = sendOnce(arguments, requestId);
    if (response.head.status == StatusNeedsRequestId && requestId.empty()) {
        requestId = std::string(response.head.field("chestnutsill-request-id-prefix")) + makeNonce();
        response = sendOnce(arguments, requestId);
    }
    std::cout << "status " << response.head.status << '\n';
    for (const char *name : {"chestnutsill-verdict", "chestnutsill-class", "chestnutsill-request-id"}) {
        const std::string_view value = response.head.field(name);
        if (!value.empty())
            std::cout << name << ": " << value << '\n';
    }
    std::cout << response.body << '\n';
    return response.head.status < 300 ? ExitSuccess : ExitFailed;
}

} // namespace chestnutsill::tool
