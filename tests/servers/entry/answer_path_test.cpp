#include "servers/entry/answer_checker.h"
#include "servers/entry/sse_reader.h"
#include "servers/entry/token_piece.h"

#include <CppUTest/TestHarness.h>

using firefly::AnswerChecker;
using firefly::ParsePiece;
using firefly::PieceKind;
using firefly::PieceVerdict;
using firefly::SseReader;
using firefly::TokenPiece;

namespace {

TokenPiece
Piece(PieceKind aKind, std::uint32_t aOffset, const std::string& aId = "r-1")
{
  return { .kind = aKind,
           .streamId = aId,
           .offset = aOffset,
           .text = "t",
           .finishReason = {} };
}

bool
Is(PieceVerdict aLeft, PieceVerdict aRight)
{
  return aLeft == aRight;
}

} // namespace

TEST_GROUP(SseReaderTest)
{
  SseReader reader;
};

TEST(SseReaderTest, FindsEventsHoweverTheBytesAreCut)
{
  const std::string stream =
    ": comment\r\ndata: one\r\n\r\nevent: x\ndata: two\ndata: lines\n\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    SseReader fresh;
    auto events = fresh.Feed(stream.substr(0, cut));
    for (auto& it : fresh.Feed(stream.substr(cut))) {
      events.push_back(it);
    }
    LONGS_EQUAL(2, events.size());
    STRCMP_EQUAL("one", events[0].c_str());
    STRCMP_EQUAL("two\nlines", events[1].c_str());
  }
}

TEST(SseReaderTest, EventBeyondTheBoundOverflows)
{
  const std::string line(SseReader::kMaxEventBytes + 1, 'x');
  LONGS_EQUAL(0, reader.Feed("data: " + line).size());
  CHECK_TRUE(reader.Overflowed());
}

TEST_GROUP(AnswerCheckerTest)
{
  AnswerChecker checker{ "r-1", 2 };
};

TEST(AnswerCheckerTest, TakesWhatComesNextAndDropsTheRest)
{
  CHECK_TRUE(Is(PieceVerdict::kDropDuplicate,
                checker.Check(Piece(PieceKind::kToken, 1))));
  CHECK_TRUE(Is(PieceVerdict::kDropCrossed,
                checker.Check(Piece(PieceKind::kToken, 2, "r-2"))));
  CHECK_TRUE(
    Is(PieceVerdict::kTake, checker.Check(Piece(PieceKind::kToken, 2))));
  CHECK_TRUE(Is(PieceVerdict::kDropDuplicate,
                checker.Check(Piece(PieceKind::kToken, 2))));
  CHECK_TRUE(
    Is(PieceVerdict::kBroken, checker.Check(Piece(PieceKind::kToken, 4))));
}

TEST(AnswerCheckerTest, IsWholeOnlyWithAllTokensAndTheEndMark)
{
  CHECK_TRUE(
    Is(PieceVerdict::kBroken, checker.Check(Piece(PieceKind::kDone, 0))));
  CHECK_FALSE(checker.Whole());
  CHECK_TRUE(
    Is(PieceVerdict::kBroken, checker.Check(Piece(PieceKind::kFinish, 3))));
  CHECK_TRUE(
    Is(PieceVerdict::kTake, checker.Check(Piece(PieceKind::kFinish, 2))));
  CHECK_TRUE(
    Is(PieceVerdict::kBroken, checker.Check(Piece(PieceKind::kToken, 2))));
  CHECK_TRUE(
    Is(PieceVerdict::kTake, checker.Check(Piece(PieceKind::kDone, 0))));
  CHECK_TRUE(checker.Whole());
}

TEST_GROUP(TokenPieceTest){};

TEST(TokenPieceTest, RefusesPiecesThatCannotBePlaced)
{
  CHECK_FALSE(ParsePiece("{", false).has_value());
  CHECK_FALSE(
    ParsePiece(R"({"id":"a","choices":[{"text":"x"}]})", false).has_value());
  CHECK_FALSE(ParsePiece(R"({"id":"a","choices":[{"text":"x",)"
                         R"("finish_reason":"stop"}],"firefly":{"offset":1}})",
                         false)
                .has_value());
  const auto piece = ParsePiece(
    R"({"id":"a","choices":[{"delta":{"content":"x"}}],"firefly":{"offset":1}})",
    true);
  CHECK_TRUE(piece.has_value());
  STRCMP_EQUAL("x", piece->text.c_str());
  LONGS_EQUAL(1, piece->offset);
}
