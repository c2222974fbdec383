#include "chestnutsill/config/jsonparts.h"
#include "chestnutsill/config/jsonobjectreader.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chestnutsill;

namespace {

using Parts = std::vector<std::string>;

/// Elements of an array; nothing if the text is none.
std::optional<Parts> elementsOf(std::string_view text)
{
    Parts parts;
    const bool isArray = splitJsonArray(text, [&](std::string_view part) { parts.emplace_back(part); });
    return isArray ? std::optional(parts) : std::nullopt;
}

/// Names and values of the members of an object, in turn; nothing if the text is none.
std::optional<Parts> membersOf(std::string_view text)
{
    Parts parts;
    const bool isObject = splitJsonObject(text, [&](std::string_view name, std::string_view value) {
        parts.emplace_back(name);
        parts.emplace_back(value);
    });
    return isObject ? std::optional(parts) : std::nullopt;
}

} // namespace

TEST_CASE("json parts: elements are told apart, whatever they hold")
{
    CHECK(elementsOf("[]") == Parts{});
    CHECK(elementsOf(" [ \n] ") == Parts{});
    CHECK(elementsOf(R"([1, {"a":[2,"]"]} ,"x\"]," ,[[]]])")
          == Parts{"1", R"({"a":[2,"]"]})", R"("x\"],")", "[[]]"});
    CHECK(elementsOf(R"(["\udcff",nonsense here,,"a)"
                     "\n"
                     R"(b"])")
          == Parts{R"("\udcff")", "nonsense here", "", "\"a\nb\""});
    CHECK(elementsOf('[' + std::string(100'000, '[') + std::string(100'000, ']') + ",1]")->size() == 2);
}

TEST_CASE("json parts: text that is no array or object, or not up to its end, is told")
{
    for (const char *text :
         {"", "  ", "1", "{}", "[", "[1", "[1,", "[1}", "[1]]", "[1] 2", R"(["a])", "[[1]", R"(["a\)"}) {
        CAPTURE(text);
        CHECK_FALSE(elementsOf(text));
    }
    for (const char *text : {"", "[]", "{", R"({"a":1)", R"({"a":1]})", R"({"a)", R"({"a":1}})"}) {
        CAPTURE(text);
        CHECK_FALSE(membersOf(text));
    }
}

TEST_CASE("json parts: members are told apart, also if they have no name")
{
    CHECK(membersOf("{}") == Parts{});
    CHECK(membersOf(R"({ "a" : 1 , "b":{"c":[1,2]},"\u0064":"x,y"})")
          == Parts{"a", "1", "b", R"({"c":[1,2]})", "d", R"("x,y")"});
    CHECK(membersOf(R"({"a":1,17,"b" 2,"c":3})") == Parts{"a", "1", "", "17", "", R"("b" 2)", "c", "3"});
}

TEST_CASE("json parts: strings are decoded, also those that the grammar doesn't allow")
{
    const std::pair<const char *, const char *> cases[] = {
        {R"("a\n\t\"\\\/b")", "a\n\t\"\\/b"},
        {R"("\u0041\u00e9\u20ac")", "A\xC3\xA9\xE2\x82\xAC"},
        {R"("\ud83d\ude00")", "\xF0\x9F\x98\x80"},
        {"\"a\xff\nb\"", "a\xff\nb"},
        {R"("\q\u12")", "qu12"},
        {R"("\ud83d")", "\xED\xA0\xBD"},
        {R"("\ud83dx")", "\xED\xA0\xBDx"},
        {R"("\ud83d\ud83d\ude00")", "\xED\xA0\xBD\xF0\x9F\x98\x80"},
        {R"("\udc7f")", "\xED\xB1\xBF"},
        {"17", ""},
        {"\"", ""},
    };
    for (const auto &[text, decoded] : cases) {
        CAPTURE(text);
        CHECK(decodeJsonString(text, LoneSurrogate::CodePoint) == decoded);
        CHECK(decodeJsonString(text, LoneSurrogate::Byte) == decoded);
    }
    CHECK(decodeJsonString(R"("a\udc80\udcff")", LoneSurrogate::CodePoint) == "a\xED\xB2\x80\xED\xB3\xBF");
    CHECK(decodeJsonString(R"("a\udc80\udcff")", LoneSurrogate::Byte) == "a\x80\xff");
}

TEST_CASE("json parts: the bytes of lone surrogates stand for their escapes, and other text is unchanged")
{
    CHECK(replaceLoneSurrogates(R"({"a\udcff":"\ud83d\ude00 \\udcff \" \ud83d \u12"})")
          == "{\"a\xED\xB3\xBF\":\"\\ud83d\\ude00 \\\\udcff \\\" \xED\xA0\xBD \\u12\"}");
    CHECK(replaceLoneSurrogates("\\") == "\\");
    CHECK(replaceLoneSurrogates("").empty());
    CHECK(hasLoneSurrogate("a\xED\xB3\xBF"));
    CHECK(hasLoneSurrogate("\xED\xA0\x80z"));
    // U+D7FF, the last code point before the surrogates.
    CHECK_FALSE(hasLoneSurrogate("a\xED\x9F\xBFz\xED"));
}

TEST_CASE("json parts: strings and parts of valid documents are those that the parser finds")
{
    std::mt19937 random(1);
    const auto draw = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
    for (int run = 0; run < 2000; ++run) {
        boost::json::array array;
        for (int i = draw(5); i > 0; --i) {
            std::string text;
            for (int length = draw(8); length > 0; --length)
                text += static_cast<char>(draw(128));
            if (draw(2) == 0)
                array.emplace_back(text);
            else
                array.push_back({{text, boost::json::array{text, 1}}, {"b", text}});
        }
        const auto elements = elementsOf(boost::json::serialize(array));
        REQUIRE(elements);
        REQUIRE(elements->size() == array.size());
        for (std::size_t i = 0; i < array.size(); ++i) {
            ValidationErrors errors;
            if (array[i].is_string())
                CHECK(decodeJsonString((*elements)[i], LoneSurrogate::Byte) == array[i].get_string());
            else
                CHECK(parseMembers((*elements)[i], "a", errors) == array[i].get_object());
            CHECK(errors.empty());
        }
    }
}

TEST_CASE("json members: one that can't be parsed leaves the others, and is named by the error")
{
    ValidationErrors errors;
    const std::string deep(1000, '[');
    const boost::json::object members = parseMembers(R"({"a":1,"b":"\udcff","c":"x","d":)" + deep
                                                         + std::string(1000, ']') + R"(,"e":nonsense})",
                                                     "list[2]", errors);
    CHECK(members == boost::json::object{{"a", 1}, {"c", "x"}});
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].path == "list[2].b");

    errors.clear();
    CHECK(parseMembers("17", "list[3]", errors).empty());
    CHECK(errors == ValidationErrors{{"list[3]", "must be an object"}});
}
