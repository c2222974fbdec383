#include "chestnutsill/config/document.h"
#include "chestnutsill/config/instancelist.h"
#include "chestnutsill/config/questionnaire.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <algorithm>
#include <string>

using namespace chestnutsill;
namespace json = boost::json;

namespace {

constexpr const char *Answers = R"({
    "deployment": "test",
    "zones": [{"name": "za"}, {"name": "zb"}],
    "accounts": [{"name": "one"}],
    "upstreams": [{"name": "u1", "address": "127.0.0.1:1", "zone": "za", "model": "m", "slots": 4, "coldSlots": 1}],
    "classes": [{"name": "chat", "priority": "high", "model": "m", "firstTokenMs": 1000, "deadlineMs": 2000,
                 "repeatable": true, "monthlyRequests": 10, "tokensPerRequest": 3}]})";

Configuration generated()
{
    ValidationErrors errors;
    auto configuration = generateConfiguration(Answers, errors);
    REQUIRE(configuration);
    return *configuration;
}

bool names(const ValidationErrors &errors, std::string_view path)
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](const ValidationError &error) { return error.path == path; });
}

} // namespace

TEST_CASE("questionnaire: a generated configuration survives serializing and parsing unchanged")
{
    const Configuration configuration = generated();
    CHECK(configuration.version == 1);
    CHECK(configuration.classes[0].tier == 1);
    ValidationErrors errors;
    const auto again = parseConfiguration(writeConfiguration(configuration), errors);
    REQUIRE(again);
    CHECK(*again == configuration);
    const auto rows = forecast(configuration);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].tokens == 30);
}

TEST_CASE("questionnaire: an invalid answer is rejected with the path of its field")
{
    const std::pair<const char *, const char *> cases[] = {
        {R"("priority": "high")", "classes[0].priority"},
        {R"("repeatable": true,)", "classes[0].repeatable"},
        {R"("slots": 4)", "upstreams[0].slots"},
        {R"("firstTokenMs": 1000)", "classes[0].firstTokenMs"},
        {R"("zone": "za")", "upstreams[0].zone"},
        {R"("address": "127.0.0.1:1")", "upstreams[0].address"},
        {R"("deployment": "test")", "deployment"},
    };
    const std::pair<const char *, const char *> replacements[] = {
        {R"("priority": "high")", R"("priority": "urgent")"},
        {R"("repeatable": true,)", ""},
        {R"("slots": 4)", R"("slots": 0)"},
        {R"("firstTokenMs": 1000)", R"("firstTokenMs": "soon")"},
        {R"("zone": "za")", R"("zone": "zx")"},
        {R"("address": "127.0.0.1:1")", R"("address": "host.example:1")"},
        {R"("deployment": "test")", R"("deployment": "")"},
    };
    for (std::size_t i = 0; i < std::size(cases); ++i) {
        std::string text = Answers;
        text.replace(text.find(cases[i].first), std::string(cases[i].first).size(), replacements[i].second);
        ValidationErrors errors;
        CHECK_FALSE(generateConfiguration(text, errors));
        CAPTURE(cases[i].second);
        CHECK(names(errors, cases[i].second));
    }
}

TEST_CASE("document: all errors are reported at once, each with its path")
{
    Configuration configuration = generated();
    configuration.upstreams[0].coldSlots = 9;
    configuration.classes[0].model = "none";
    configuration.classes.push_back(configuration.classes[0]);
    json::value document = json::parse(writeConfiguration(configuration));
    document.get_object()["surprise"] = 1;
    document.get_object()["version"] = -1;
    ValidationErrors errors;
    CHECK_FALSE(parseConfiguration(json::serialize(document), errors));
    for (const char *path :
         {"version", "upstreams[0].coldSlots", "classes[0].model", "classes[1].name", "surprise"}) {
        CAPTURE(path);
        CHECK(names(errors, path));
    }
}

TEST_CASE("document: text that is not a JSON object is rejected without a crash")
{
    for (const char *text : {"", "{", "[]", "null", "\"x\"", "{\"version\":1e400}"}) {
        CAPTURE(text);
        ValidationErrors errors;
        CHECK_FALSE(parseConfiguration(text, errors));
        CHECK_FALSE(errors.empty());
    }
}

TEST_CASE("document: taking a zone or upstream out of service and back increments the version")
{
    const Configuration base = generated();
    const auto out = withZoneOutOfService(base, "za", true);
    REQUIRE(out);
    CHECK(out->version == 2);
    CHECK_FALSE(isOpen(*out, out->upstreams[0]));
    CHECK(isOpen(*withZoneOutOfService(*out, "za", false), out->upstreams[0]));
    CHECK_FALSE(isOpen(*withUpstreamOutOfService(base, "u1", true),
                       withUpstreamOutOfService(base, "u1", true)->upstreams[0]));
    CHECK_FALSE(withZoneOutOfService(base, "nowhere", true));
    CHECK_FALSE(withUpstreamOutOfService(base, "nothing", true));
}

TEST_CASE("instance list: members are sorted, leaving upstreams listed, invalid states rejected")
{
    ValidationErrors errors;
    const auto list = parseInstanceList(
        R"({"entries":[{"name":"b","zone":"z","address":"127.0.0.1:1","peer":"127.0.0.1:2","state":"live"},
                       {"name":"a","zone":"z","address":"127.0.0.1:3","peer":"127.0.0.1:4","state":"leaving"}],
            "upstreams":[{"name":"u1","state":"leaving"},{"name":"u2","state":"live"}]})",
        errors);
    REQUIRE(list);
    CHECK(list->members[0].name == "a");
    CHECK(list->members[0].leaving);
    CHECK(list->leavingUpstreams == std::vector<std::string>{"u1"});
    CHECK_FALSE(parseInstanceList(R"({"entries":[],"upstreams":[{"name":"u","state":"gone"}]})", errors));
    CHECK(names(errors, "upstreams[0].state"));
}
