#include "scenario.h"

#include "chestnutsill/config/jsonobjectreader.h"

#include <algorithm>

namespace chestnutsill::emulator {

namespace {

constexpr double MaxTokens = 1e7;
constexpr double MaxMs = 1e6;
constexpr double MaxFactor = 1000;
constexpr double MaxSeconds = 3600;
constexpr double MaxPerSecond = 1e5;
constexpr int MaxCount = 10000;
constexpr int MaxRank = 9;

LogNormalSize parseSize(JsonObjectReader reader)
{
    LogNormalSize size;
    size.mean = reader.number("mean", 0, MaxTokens);
    size.spread = reader.has("spread") ? reader.number("spread", 0, 3) : 0;
    size.largest = reader.has("largest") ? reader.number("largest", 0, MaxTokens) : MaxTokens;
    reader.rejectUnknownFields();
    return size;
}

EngineShape parseShape(JsonObjectReader reader)
{
    EngineShape shape;
    shape.slots = static_cast<int>(reader.integer("slots", 1, MaxCount));
    shape.memoryTokens = reader.number("memoryTokens", 1, 1e9);
    shape.stepMs = reader.number("stepMs", 0.01, MaxMs);
    shape.stepPerRunningMs = reader.number("stepPerRunningMs", 0, MaxMs);
    shape.stepPerThousandTokensMs = reader.number("stepPerThousandTokensMs", 0, MaxMs);
    shape.readTokensPerMs = reader.number("readTokensPerMs", 0.01, 1e6);
    shape.readMsPerMillionPairs = reader.number("readMsPerMillionPairs", 0, MaxMs);
    shape.firstMs = reader.number("firstMs", 0, MaxMs);
    shape.chunkTokens = static_cast<int>(reader.integer("chunkTokens", 1, 1000000));
    shape.tokensPerEvent = static_cast<int>(reader.integer("tokensPerEvent", 1, 1000));
    if (reader.has("fetchTokensPerMs"))
        shape.fetchTokensPerMs = reader.number("fetchTokensPerMs", 0, 1e9);
    if (reader.has("fetchSetupMs"))
        shape.fetchSetupMs = reader.number("fetchSetupMs", 0, MaxMs);
    reader.rejectUnknownFields();
    return shape;
}

RequestClass parseClass(const boost::json::value &value, const std::string &path, ValidationErrors &errors)
{
    JsonObjectReader reader(value, path, errors);
    RequestClass result;
    result.name = reader.name("name");
    result.perSecond = reader.number("perSecond", 0, MaxPerSecond);
    result.rank = static_cast<int>(reader.integer("rank", 0, MaxRank));
    result.targetMs = reader.number("targetMs", 1, MaxMs);
    result.pauseMs = reader.number("pauseMs", 1, MaxMs);
    result.deadlineMs = reader.number("deadlineMs", 1, MaxMs);
    result.worth = reader.number("worth", 0, MaxFactor);
    result.lateWorth = reader.number("lateWorth", 0, MaxFactor);
    result.ownTokens = parseSize(reader.object("ownTokens"));
    result.events = parseSize(reader.object("events"));
    reader.list("sharedParts", 0, [&](const boost::json::value &item, const std::string &itemPath) {
        JsonObjectReader part(item, itemPath, errors);
        SharedPart shared;
        shared.tokens = parseSize(part.object("tokens"));
        shared.things = static_cast<int>(part.integer("things", 1, 1000000));
        shared.skew = part.has("skew") ? part.number("skew", 0, 3) : 0;
        part.rejectUnknownFields();
        result.sharedParts.push_back(shared);
    });
    reader.rejectUnknownFields();
    return result;
}

void parseDisruptions(JsonObjectReader &reader, Scenario &scenario, ValidationErrors &errors)
{
    if (reader.has("bursts"))
        reader.list("bursts", 0, [&](const boost::json::value &item, const std::string &path) {
            JsonObjectReader burst(item, path, errors);
            scenario.bursts.push_back({burst.name("class"), burst.number("from", 0, MaxSeconds),
                                       burst.number("seconds", 0, MaxSeconds),
                                       burst.number("factor", 0, MaxFactor)});
            const auto known =
                std::any_of(scenario.classes.begin(), scenario.classes.end(), [&](const RequestClass &each) {
                    return each.name == scenario.bursts.back().requestClass;
                });
            if (!known)
                burst.addError("class", "is not a class of this scenario");
            burst.rejectUnknownFields();
        });
    if (reader.has("outages"))
        reader.list("outages", 0, [&](const boost::json::value &item, const std::string &path) {
            JsonObjectReader outage(item, path, errors);
            scenario.outages.push_back({outage.number("from", 0, MaxSeconds),
                                        outage.number("seconds", 0, MaxSeconds),
                                        outage.number("share", 0, 1)});
            outage.rejectUnknownFields();
        });
}

} // namespace

std::optional<Scenario> parseScenario(std::string_view text, ValidationErrors &errors)
{
    const boost::json::value document = parseJson(text, errors);
    if (!errors.empty())
        return std::nullopt;
    JsonObjectReader reader(document, "", errors);
    Scenario scenario;
    scenario.seconds = reader.number("seconds", 1, MaxSeconds);
    scenario.instances = static_cast<int>(reader.integer("instances", 1, MaxCount));
    scenario.zones = static_cast<int>(reader.integer("zones", 1, MaxCount));
    scenario.linkMs = reader.number("linkMs", 0, MaxMs);
    scenario.engines = static_cast<int>(reader.integer("engines", 1, MaxCount));
    scenario.shape = parseShape(reader.object("engine"));
    if (reader.has("speeds")) {
        scenario.speeds.clear();
        reader.list("speeds", 1, [&](const boost::json::value &item, const std::string &path) {
            if (!item.is_number() || item.to_number<double>() <= 0)
                errors.push_back({path, "must be a number above 0"});
            else
                scenario.speeds.push_back(item.to_number<double>());
        });
    }
    reader.list("classes", 1, [&](const boost::json::value &item, const std::string &path) {
        scenario.classes.push_back(parseClass(item, path, errors));
    });
    parseDisruptions(reader, scenario, errors);
    reader.rejectUnknownFields();
    return errors.empty() ? std::optional(std::move(scenario)) : std::nullopt;
}

} // namespace chestnutsill::emulator
