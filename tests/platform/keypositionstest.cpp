#include "platform/keypositions.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace chestnutsill::platform;

using Keys = std::vector<std::string>;

TEST_CASE("key positions: a key of ASCII characters has one position, and text that is no string has none")
{
    const KeyPositions positions = keyPositions(R"("servers/a\u0026b c")");
    CHECK(positions.keys == Keys{"servers/a&b c"});
    CHECK(positions.nextAscii.empty());
    CHECK(keyPositions("17").keys.empty());
    CHECK(keyPositions("").keys.empty());
}

TEST_CASE(
    "key positions: half of a surrogate pair stands for its escape, code point or a byte, in ascending order")
{
    CHECK(keyPositions(R"("a\udc80b")").keys == Keys{R"(a\udc80b)", "a\x80\x62", "a\xED\xB2\x80\x62"});
    CHECK(keyPositions(R"("a\udcffb")").keys == Keys{R"(a\udcffb)", "a\xED\xB3\xBF\x62", "a\xff\x62"});
    CHECK(keyPositions(R"("a\ud83d")").keys == Keys{R"(a\ud83d)", "a\xED\xA0\xBD"});
}

TEST_CASE("key positions: the next ASCII key is after all that begin like one that is not ASCII")
{
    for (const char *text : {"\"servers/i-\xff\"", "\"servers/i-\xEF\xBF\xBD\"", R"("servers/i-\udc80x")",
                             R"("servers/i-\ufffd")"}) {
        CAPTURE(text);
        CHECK(keyPositions(text).nextAscii == "servers/i.");
    }
    CHECK(keyPositions(R"("\udcff")").nextAscii.empty());
}
