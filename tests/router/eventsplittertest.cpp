#include "chestnutsill/router/eventsplitter.h"

#include <doctest/doctest.h>

#include <string>

using namespace chestnutsill;

TEST_CASE("events: only whole events are passed on, byte for byte, however the stream is cut into pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata: c\nid: 3\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += size)
            passed += splitter.feed(std::string_view(stream).substr(at, size));
        CHECK(passed == stream);
        CHECK(splitter.rest().empty());
        CHECK(splitter.lastId() == "3");
    }
}

TEST_CASE("events: an event that has not ended is held back and dropped when another stream goes on")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 4\ndata: x\n\nid: 5\ndata: y") == "id: 4\ndata: x\n\n");
    CHECK(splitter.lastId() == "4");
    CHECK(splitter.rest() == "id: 5\ndata: y");
    splitter.restart();
    CHECK(splitter.feed("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
    CHECK(splitter.lastId() == "5");
}
