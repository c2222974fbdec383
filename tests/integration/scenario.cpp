#include "scenario.h"

namespace chestnutsill::support {

namespace {

CallerResult toResult(const std::optional<HttpResponse> &response)
{
    if (!response)
        return {};
    return {response->head.status, std::string(response->head.field("chestnutsill-verdict")), response->body,
            std::string(response->head.field("chestnutsill-request-id-prefix"))};
}

} // namespace

void describeWorkload(Cluster &cluster)
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

CallerResult book(const Instance &instance, const std::string &requestId, std::chrono::milliseconds timeout)
{
    std::vector<HttpField> fields{{"chestnutsill-account", "one"}, {"chestnutsill-class", "booking"}};
    if (!requestId.empty())
        fields.push_back({"chestnutsill-request-id", requestId});
    return toResult(call(instance.address, "POST", "/bookings", R"({"seat":"1"})", fields, timeout));
}

std::string freshId(const Instance &instance, const std::string &nonce)
{
    return book(instance, {}).requestIdPrefix + nonce;
}

CallerResult chat(const Instance &instance, const std::string &requestClass, const std::string &content,
                  const std::string &standin, bool stream, std::chrono::milliseconds timeout)
{
    const std::string body = R"({"model":"m","stream":)" + std::string(stream ? "true" : "false")
                             + R"(,"messages":[{"role":"user","content":")" + content + R"("}],"standin":)"
                             + standin + '}';
    const std::vector<HttpField> fields{{"chestnutsill-account", "one"},
                                        {"chestnutsill-class", requestClass},
                                        {"content-type", "application/json"}};
    return toResult(call(instance.address, "POST", "/v1/chat/completions", body, fields, timeout));
}

} // namespace chestnutsill::support
