#include "scenario.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace chestnutsill::support {

namespace {

CallerResponse toResponse(const std::optional<HttpResponse> &response)
{
    if (!response)
        return {};
    return {response->head.status, std::string(response->head.field("chestnutsill-verdict")), response->body,
            std::string(response->head.field("chestnutsill-request-id-prefix"))};
}

std::string chatBody(const std::string &content, const std::string &standin, bool stream)
{
    return R"({"model":"m","stream":)" + std::string(stream ? "true" : "false")
           + R"(,"messages":[{"role":"user","content":")" + content + R"("}],"standin":)" + standin + '}';
}

boost::asio::ip::tcp::socket connectTo(boost::asio::io_context &io, const Instance &instance)
{
    const auto colon = instance.address.rfind(':');
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(instance.address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(instance.address.substr(colon + 1)))});
    return socket;
}

CallerResponse sendChat(const Instance &instance, const std::string &requestClass, const std::string &body,
                        std::chrono::milliseconds timeout)
{
    const std::vector<HttpField> fields{{"chestnutsill-account", "one"},
                                        {"chestnutsill-class", requestClass},
                                        {"content-type", "application/json"}};
    return toResponse(call(instance.address, "POST", "/v1/chat/completions", body, fields, timeout));
}

} // namespace

void configureWorkload(Cluster &cluster)
{
    Configuration &configuration = cluster.configuration();
    configuration.zones = {{"za", false}, {"zb", false}};
    configuration.accounts = {"one", "two"};
    configuration.classes = {
        {"booking", 0, "desk", milliseconds(2000), milliseconds(6000), false, 1000, 0},
        {"chat", 1, "m", milliseconds(1500), milliseconds(30000), true, 1000, 100},
        {"history", 3, "m", milliseconds(6000), milliseconds(30000), true, 1000, 100},
    };
}

void addDesk(Cluster &cluster, const std::string &name, const std::string &zone)
{
    cluster.addUpstream("service", {name, {}, zone, "desk", 4, 2, false});
}

void addEngine(Cluster &cluster, const std::string &name, const std::string &zone, int slots, int coldSlots,
               const std::vector<std::string> &options)
{
    cluster.addUpstream("engine", {name, {}, zone, "m", slots, coldSlots, false}, options);
}

CallerResponse book(const Instance &instance, const std::string &requestId, std::chrono::milliseconds timeout)
{
    std::vector<HttpField> fields{{"chestnutsill-account", "one"}, {"chestnutsill-class", "booking"}};
    if (!requestId.empty())
        fields.push_back({"chestnutsill-request-id", requestId});
    return toResponse(call(instance.address, "POST", "/bookings", R"({"seat":"1"})", fields, timeout));
}

std::string newRequestId(const Instance &instance, const std::string &nonce)
{
    return book(instance, {}).requestIdPrefix + nonce;
}

CallerResponse chat(const Instance &instance, const std::string &requestClass, const std::string &content,
                    const std::string &standin, bool stream, std::chrono::milliseconds timeout)
{
    return sendChat(instance, requestClass, chatBody(content, standin, stream), timeout);
}

CallerResponse chatWithHistory(const Instance &instance, const std::string &first, const std::string &content)
{
    const std::string body = R"({"model":"m","messages":[{"role":"system","content":")" + first
                             + R"("},{"role":"user","content":")" + content
                             + R"("}],"standin":{"tokens":5}})";
    return sendChat(instance, "chat", body, std::chrono::seconds(30));
}

void chatAndDisconnect(const Instance &instance, const std::string &requestClass, const std::string &standin,
                       bool stream, std::chrono::milliseconds after)
{
    const std::string body = chatBody("leaves", standin, stream);
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nchestnutsill-account: one\r\n"
        "chestnutsill-class: "
        + requestClass + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::io_context io;
    auto socket = connectTo(io, instance);
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(after);
}

std::string sendRaw(const Instance &instance, const std::string &text)
{
    boost::asio::io_context io;
    auto socket = connectTo(io, instance);
    boost::asio::write(socket, boost::asio::buffer(text));
    std::string reply;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), end);
    return reply;
}

} // namespace chestnutsill::support
