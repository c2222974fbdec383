#include "chestnutsill/config/questionnaire.h"

#include "chestnutsill/config/document.h"
#include "chestnutsill/config/jsonobjectreader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace chestnutsill {

namespace {

namespace json = boost::json;

struct Priority
{
    std::string_view name;
    double floor;
};

/// Minimum share of all starts for each priority. The highest needs none, because its requests go first
/// whenever no lower tier is below its floor.
constexpr std::array<Priority, TierCount> Priorities{
    {{"highest", 0}, {"high", 0.1}, {"normal", 0.05}, {"low", 0.05}}};

std::optional<int> tierOf(std::string_view priority)
{
    for (std::size_t tier = 0; tier < Priorities.size(); ++tier) {
        if (Priorities[tier].name == priority)
            return static_cast<int>(tier);
    }
    return std::nullopt;
}

/// Replaces the field `priority` of each class by `tier`. `parseConfiguration` checks all other fields.
void translateClasses(json::object &document, ValidationErrors &errors)
{
    json::value *classes = document.if_contains("classes");
    if (classes == nullptr || !classes->is_array())
        return;
    json::array &array = classes->get_array();
    for (std::size_t i = 0; i < array.size(); ++i) {
        if (!array[i].is_object())
            continue;
        json::object &item = array[i].get_object();
        const std::string path = "classes[" + std::to_string(i) + "].";
        const json::value *priority = item.if_contains("priority");
        const auto tier = priority != nullptr && priority->is_string()
                              ? tierOf(std::string_view(priority->get_string()))
                              : std::nullopt;
        if (!tier)
            errors.push_back({path + "priority", "must be highest, high, normal or low"});
        if (!item.contains("repeatable"))
            errors.push_back({path + "repeatable", "is missing: specify whether a request may be retried"});
        item.erase("priority");
        item["tier"] = tier.value_or(0);
    }
}

json::value toValue(const std::string &answer)
{
    if (answer == "yes" || answer == "no")
        return answer == "yes";
    std::int64_t number = 0;
    const char *end = answer.data() + answer.size();
    const auto [stop, error] = std::from_chars(answer.data(), end, number);
    if (error == std::errc() && stop == end && !answer.empty())
        return number;
    return json::string(answer);
}

struct Question
{
    std::string_view field;
    std::string_view text;
};

json::array promptForList(const PromptFunction &prompt, std::string_view intro,
                          std::span<const Question> questions)
{
    json::array list;
    for (;;) {
        const std::string name = prompt(std::string(intro) + " (empty line to end)");
        if (name.empty())
            return list;
        json::object item{{"name", name}};
        for (const Question &question : questions)
            item[question.field] = toValue(prompt(std::string(question.text) + " [" + name + ']'));
        list.push_back(std::move(item));
    }
}

constexpr std::array<Question, 5> UpstreamQuestions{
    {{"address", "Its IP address and port"},
     {"zone", "Its availability zone"},
     {"model", "The model or service it runs"},
     {"slots", "Maximum concurrent requests when warm"},
     {"coldSlots", "Maximum concurrent requests during cold start"}}};
constexpr std::array<Question, 7> ClassQuestions{
    {{"priority", "Priority: highest, high, normal or low"},
     {"model", "The model or service that serves it"},
     {"firstTokenMs", "Target for the first token, ms"},
     {"deadlineMs", "Deadline for the complete answer, ms"},
     {"repeatable", "May a request be retried (is it idempotent)? yes or no"},
     {"monthlyRequests", "Expected requests per month"},
     {"tokensPerRequest", "Expected tokens per request, input plus output"}}};

} // namespace

std::optional<Configuration> generateConfiguration(std::string_view answers, ValidationErrors &errors)
{
    const std::size_t before = errors.size();
    json::value value = parseJson(answers, errors);
    if (errors.size() == before && !value.is_object())
        errors.push_back({"$", "must be an object"});
    if (errors.size() > before)
        return std::nullopt;
    json::object &document = value.get_object();
    translateClasses(document, errors);
    document["version"] = 1;
    json::array tiers;
    for (const Priority &priority : Priorities)
        tiers.push_back({{"name", priority.name}, {"floor", priority.floor}});
    document["tiers"] = std::move(tiers);
    auto configuration = parseConfiguration(json::serialize(document), errors);
    if (errors.size() > before)
        return std::nullopt;
    return configuration;
}

std::string promptForAnswers(const PromptFunction &prompt)
{
    json::object document;
    document["deployment"] = prompt("Name of the deployment");
    document["zones"] = promptForList(prompt, "Name of an availability zone", {});
    document["accounts"] = promptForList(prompt, "Name of a client account", {});
    document["upstreams"] = promptForList(prompt, "Name of an upstream", UpstreamQuestions);
    document["classes"] = promptForList(prompt, "Name of a request class", ClassQuestions);
    return json::serialize(document);
}

std::vector<ForecastRow> forecast(const Configuration &configuration)
{
    std::vector<ForecastRow> rows;
    for (const RequestClass &item : configuration.classes)
        rows.push_back({item.name, item.monthlyRequests, item.monthlyRequests * item.tokensPerRequest});
    return rows;
}

} // namespace chestnutsill
