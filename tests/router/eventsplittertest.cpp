#include "chestnutsill/router/eventsplitter.h"

#include <doctest/doctest.h>

#include <string>

using namespace chestnutsill;

TEST_CASE(
    "events: only complete events are forwarded, byte for byte, however the stream is split into pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata: c\nid: 3\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        std::string forwarded;
        for (std::size_t at = 0; at < stream.size(); at += size)
            forwarded += splitter.push(std::string_view(stream).substr(at, size));
        CHECK(forwarded == stream);
        CHECK(splitter.pendingBytes().empty());
        CHECK(splitter.lastEventId() == "3");
    }
}

TEST_CASE("events: an incomplete event is held back, and discarded when another stream continues")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 4\ndata: x\n\nid: 5\ndata: y") == "id: 4\ndata: x\n\n");
    CHECK(splitter.lastEventId() == "4");
    CHECK(splitter.pendingBytes() == "id: 5\ndata: y");
    splitter.reset();
    CHECK(splitter.push("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
    CHECK(splitter.lastEventId() == "5");
}
