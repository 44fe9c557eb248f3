#include "servers/entry/answer_checker.h"
#include "servers/entry/sse_reader.h"
#include "servers/entry/stream_chunk.h"

#include <CppUTest/TestHarness.h>

using firefly::AnswerChecker;
using firefly::ChunkKind;
using firefly::ChunkVerdict;
using firefly::ParseChunk;
using firefly::SseReader;
using firefly::StreamChunk;

namespace {

StreamChunk
MakeChunk(ChunkKind aKind,
          std::uint32_t aOffset,
          const std::string& aId = "r-1")
{
  return { .kind = aKind,
           .streamId = aId,
           .offset = aOffset,
           .text = "t",
           .finishReason = {} };
}

bool
IsSameVerdict(ChunkVerdict aLeft, ChunkVerdict aRight)
{
  return aLeft == aRight;
}

} // namespace

TEST_GROUP(SseReaderTest)
{
  SseReader reader;
};

TEST(SseReaderTest, FindsSameEventsForEverySplitOfTheInput)
{
  const std::string stream =
    ": comment\r\ndata: one\r\n\r\nevent: x\ndata: two\ndata: lines\n\n\n";
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    SseReader fresh;
    auto events = fresh.Feed(stream.substr(0, split));
    for (auto& it : fresh.Feed(stream.substr(split))) {
      events.push_back(it);
    }
    LONGS_EQUAL(2, events.size());
    STRCMP_EQUAL("one", events[0].c_str());
    STRCMP_EQUAL("two\nlines", events[1].c_str());
  }
}

TEST(SseReaderTest, EventAboveMaxSizeOverflows)
{
  const std::string line(SseReader::kMaxEventBytes + 1, 'x');
  LONGS_EQUAL(0, reader.Feed("data: " + line).size());
  CHECK_TRUE(reader.Overflowed());
}

TEST_GROUP(AnswerCheckerTest)
{
  AnswerChecker checker{ "r-1", 2 };
};

TEST(AnswerCheckerTest, AcceptsOnlyTheNextTokenOfItsStream)
{
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kDropDuplicate,
                           checker.Check(MakeChunk(ChunkKind::kToken, 1))));
  CHECK_TRUE(
    IsSameVerdict(ChunkVerdict::kDropOtherStream,
                  checker.Check(MakeChunk(ChunkKind::kToken, 2, "r-2"))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kAccept,
                           checker.Check(MakeChunk(ChunkKind::kToken, 2))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kDropDuplicate,
                           checker.Check(MakeChunk(ChunkKind::kToken, 2))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kBroken,
                           checker.Check(MakeChunk(ChunkKind::kToken, 4))));
}

TEST(AnswerCheckerTest, IsCompleteOnlyWithAllTokensAndTheEndMark)
{
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kBroken,
                           checker.Check(MakeChunk(ChunkKind::kDone, 0))));
  CHECK_FALSE(checker.IsComplete());
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kBroken,
                           checker.Check(MakeChunk(ChunkKind::kFinish, 3))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kAccept,
                           checker.Check(MakeChunk(ChunkKind::kFinish, 2))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kBroken,
                           checker.Check(MakeChunk(ChunkKind::kToken, 2))));
  CHECK_TRUE(IsSameVerdict(ChunkVerdict::kAccept,
                           checker.Check(MakeChunk(ChunkKind::kDone, 0))));
  CHECK_TRUE(checker.IsComplete());
}

TEST_GROUP(StreamChunkTest){};

TEST(StreamChunkTest, RejectsMalformedChunks)
{
  CHECK_FALSE(ParseChunk("{", false).has_value());
  CHECK_FALSE(
    ParseChunk(R"({"id":"a","choices":[{"text":"x"}]})", false).has_value());
  CHECK_FALSE(ParseChunk(R"({"id":"a","choices":[{"text":"x",)"
                         R"("finish_reason":"stop"}],"firefly":{"offset":1}})",
                         false)
                .has_value());
  const auto chunk = ParseChunk(
    R"({"id":"a","choices":[{"delta":{"content":"x"}}],"firefly":{"offset":1}})",
    true);
  CHECK_TRUE(chunk.has_value());
  STRCMP_EQUAL("x", chunk->text.c_str());
  LONGS_EQUAL(1, chunk->offset);
}
