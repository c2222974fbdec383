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

TEST_CASE("event splitter: only events with an id after the last one go on with a stream")
{
    CHECK(continuationOf("id: 3\ndata: a\n\n", "2") == Continuation::Follows);
    CHECK(continuationOf("x-name: 1\r\nid: 12\r\ndata: a\r\n\r\n", "9") == Continuation::Follows);
    CHECK(continuationOf("id: b\ndata: a\n\n", "a") == Continuation::Follows);
    CHECK(continuationOf(": comment\n\nretry: 10\n\nid: 3\ndata: a\n\n", "2") == Continuation::Follows);
    CHECK(continuationOf("", "2") == Continuation::Unknown);
    CHECK(continuationOf(": comment\n\n", "2") == Continuation::Unknown);
    for (const char *events : {"id: 2\ndata: a\n\n", "id: 1\ndata: a\n\nid: 3\ndata: a\n\n", "data: a\n\n",
                               "event: error\ndata: a\n\n", "error\n\n", "id:\ndata: a\n\n"})
        CHECK(continuationOf(events, "2") == Continuation::Differs);
    CHECK(continuationOf("id: a\ndata: a\n\n", "a") == Continuation::Differs);
}

TEST_CASE("event splitter: after a rewind the id before the discarded events is the last one")
{
    EventSplitter splitter;
    (void)splitter.push("id: 2\ndata: a\n\n");
    (void)splitter.push("id: 1\ndata: a\n\nid: ");
    splitter.rewind("2");
    CHECK(splitter.lastEventId() == "2");
    CHECK(splitter.pendingBytes().empty());
    CHECK(splitter.eventCount() == 0);
}
