#include "servers/relay/event_splitter.h"

#include <string>

#include <CppUTest/TestHarness.h>

using firefly::EventSplitter;

TEST_GROUP(EventSplitterTest)
{
  EventSplitter splitter;
};

TEST(EventSplitterTest, SplitsEventsIndependentlyOfChunkBoundaries)
{
  const std::string bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3";
  std::string joined;
  std::vector<std::string> ids;
  for (const char it : bytes) {
    for (const auto& event : splitter.Feed({ &it, 1 })) {
      joined += event.bytes;
      ids.push_back(event.id);
    }
  }
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", joined.c_str());
  LONGS_EQUAL(2, ids.size());
  STRCMP_EQUAL("2", ids[1].c_str());
  LONGS_EQUAL(5, splitter.PartialBytes());
}

TEST(EventSplitterTest, LeavesTheIdEmptyForAnEventWithoutOne)
{
  const auto events = splitter.Feed("weights: 3\ndata: a\n\n");
  LONGS_EQUAL(1, events.size());
  STRCMP_EQUAL("", events[0].id.c_str());
}
