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

/// Reserved shares of starts by priority; the highest needs none, since it goes first otherwise.
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

/// Replaces the field `priority` of each class by `tier`; everything else is checked as a configuration.
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
            errors.push_back({path + "repeatable", "is missing: say whether a request may be repeated"});
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

json::array askList(const Prompt &prompt, std::string_view intro, std::span<const Question> questions)
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

constexpr std::array<Question, 5> UpstreamQuestions{{{"address", "Its IP address and port"},
                                                     {"zone", "Its availability zone"},
                                                     {"model", "The model or service it runs"},
                                                     {"slots", "Requests at once when warm"},
                                                     {"coldSlots", "Requests at once in cold start"}}};
constexpr std::array<Question, 7> ClassQuestions{
    {{"priority", "Priority: highest, high, normal or low"},
     {"model", "The model or service that answers it"},
     {"firstTokenMs", "Target for the first token, ms"},
     {"deadlineMs", "Longest useful time for the whole answer, ms"},
     {"repeatable", "May a request be repeated? yes or no"},
     {"monthlyRequests", "Expected requests a month"},
     {"tokensPerRequest", "Expected tokens a request, in and out"}}};

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

std::string promptForAnswers(const Prompt &prompt)
{
    json::object document;
    document["deployment"] = prompt("Name of the deployment");
    document["zones"] = askList(prompt, "Name of an availability zone", {});
    document["accounts"] = askList(prompt, "Name of a client account", {});
    document["upstreams"] = askList(prompt, "Name of an upstream", UpstreamQuestions);
    document["classes"] = askList(prompt, "Name of a request class", ClassQuestions);
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
