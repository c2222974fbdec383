#include "daemon/pipelinecall.h"

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/hash.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace chestnutsill {

namespace {

namespace json = boost::json;

constexpr std::string_view ChatTarget = "/v1/chat/completions";
constexpr std::string_view BearerPrefix = "Bearer ";

std::string accountOf(const HttpRequest &request)
{
    const std::string_view named = request.field(AccountField);
    if (!named.empty())
        return std::string(named);
    const std::string_view authorization = request.field("authorization");
    if (authorization.substr(0, BearerPrefix.size()) == BearerPrefix)
        return std::string(authorization.substr(BearerPrefix.size()));
    return {};
}

const RequestClass *classOfModel(const Configuration &configuration, std::string_view model)
{
    for (const RequestClass &item : configuration.classes) {
        if (item.repeatable && item.model == model)
            return &item;
    }
    return nullptr;
}

std::string_view textOf(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

/// Hashes of the model and of each message but the last one.
std::vector<std::uint64_t> sharedMessages(const json::object &body)
{
    std::vector<std::uint64_t> hashes;
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return hashes;
    const std::uint64_t model = stableHash(textOf(body, "model"));
    const json::array &list = messages->get_array();
    for (std::size_t i = 0; i + 1 < list.size(); ++i)
        hashes.push_back(stableHash(json::serialize(list[i]), model));
    return hashes;
}

/// Reads the caller's deadline header, if present. Returns an answer if it is malformed or not positive.
std::optional<Answer> readDeadline(PipelineCall &call, const HttpRequest &request)
{
    const std::string_view deadline = request.field(DeadlineField);
    if (deadline.empty())
        return std::nullopt;
    std::int64_t value = 0;
    const char *end = deadline.data() + deadline.size();
    const auto [stop, error] = std::from_chars(deadline.data(), end, value);
    if (error != std::errc() || stop != end)
        return refuse(call, 400, "malformed-deadline", DeadlineField,
                      "must be an integer number of milliseconds");
    if (value <= 0)
        return refuse(call, 504, "deadline-past", DeadlineField, "the deadline has passed");
    call.callerDeadline = milliseconds(value);
    return std::nullopt;
}

void setDeadlinesAndFingerprint(PipelineCall &call)
{
    const RequestClass &item = *call.requestClass;
    const milliseconds deadline = std::min(call.callerDeadline.value_or(item.deadline), item.deadline);
    call.endBy = call.arrivedAt + deadline;
    const milliseconds start = item.repeatable ? std::min(item.firstTokenTarget, deadline) : deadline;
    call.startBy = call.arrivedAt + start;
    call.fingerprint = fingerprintOf(call.account, call.body);
}

} // namespace

Answer refuse(const PipelineCall &call, int status, std::string_view reason, std::string_view field,
              std::string_view message)
{
    const Verdict verdict = call.requestIdText.empty() ? Verdict::NotRun : Verdict::MayHaveRun;
    return refusal(status, verdict, reason, field, message);
}

std::optional<Answer> identify(PipelineCall &call, const HttpRequest &request, const ClusterView &view,
                               bool closed)
{
    call.requestIdText = request.field(RequestIdField);
    call.account = accountOf(request);
    if (request.error)
        return refuse(call, request.error->status, request.error->reason, request.error->field,
                      request.error->message);
    if (closed)
        return refuse(call, 503, "leaving", "instance",
                      "this instance is leaving; get addresses from another instance");
    call.configuration = view.configuration();
    if (!call.configuration)
        return refuse(call, 503, "starting", "instance", "this instance has no configuration yet");
    const auto &accounts = call.configuration->accounts;
    if (std::find(accounts.begin(), accounts.end(), call.account) == accounts.end())
        return refuse(call, 401, "unknown-account", AccountField,
                      "name a client account in chestnutsill-account or as a bearer token");
    return std::nullopt;
}

std::optional<Answer> classify(PipelineCall &call, const HttpRequest &request)
{
    call.method = request.method;
    call.target = request.target;
    call.contentType = request.field("content-type");
    call.body = request.body;
    const std::string_view name = request.field(ClassField);
    call.requestClass = findClass(*call.configuration, name);
    if (!name.empty() && call.requestClass == nullptr)
        return refuse(call, 400, "unknown-class", ClassField, "the configuration has no such class");
    if (call.target == ChatTarget) {
        json::error_code error;
        const json::value body = json::parse({call.body.data(), call.body.size()}, error);
        if (error || !body.is_object())
            return refuse(call, 400, "malformed-body", "body", "the body must be a JSON object");
        if (call.requestClass == nullptr)
            call.requestClass = classOfModel(*call.configuration, textOf(body.get_object(), "model"));
        call.sharedParts = sharedMessages(body.get_object());
        const json::value *stream = body.get_object().if_contains("stream");
        call.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    }
    if (call.requestClass == nullptr)
        return refuse(call, 400, "unknown-class", ClassField, "name a class, or a model that a class uses");
    if (auto refused = readDeadline(call, request))
        return refused;
    setDeadlinesAndFingerprint(call);
    return std::nullopt;
}

} // namespace chestnutsill
