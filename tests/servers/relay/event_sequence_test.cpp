// Tests how the events of a resumed stream must follow the earlier ones.

#include "servers/relay/event_sequence.h"

#include <initializer_list>
#include <string>

#include <CppUTest/TestHarness.h>

using firefly::EventOrder;
using firefly::EventSequence;
using firefly::StreamEvent;

namespace {

StreamEvent
Event(const std::string& aId)
{
  return { .bytes = {}, .id = aId };
}

EventSequence
After(const std::string& aLastId, std::initializer_list<std::string> aIds)
{
  EventSequence sequence(aLastId);
  for (const auto& it : aIds) {
    sequence.OnDelivered(Event(it));
  }
  return sequence;
}

} // namespace

TEST_GROUP(EventSequenceTest){};

// Guards against a server that begins at the first event again.
TEST(EventSequenceTest, EventsThatTheCallerHasAreRepeated)
{
  const auto sequence = After("", { "1", "2", "3" });
  CHECK_TRUE(sequence.OrderOf(Event("1")) == EventOrder::kRepeated);
  CHECK_TRUE(sequence.OrderOf(Event("3")) == EventOrder::kRepeated);
  CHECK_TRUE(sequence.OrderOf(Event("4")) == EventOrder::kNext);
  // The caller asked to resume after 9.
  CHECK_TRUE(After("9", {}).OrderOf(Event("1")) == EventOrder::kRepeated);
  CHECK_TRUE(After("9", {}).OrderOf(Event("10")) == EventOrder::kNext);
  // Compared as numbers.
  CHECK_TRUE(After("", { "8", "9" }).OrderOf(Event("10")) == EventOrder::kNext);
}

// Guards against a server that leaves out events.
TEST(EventSequenceTest, MissingEventsAreNoticedIfIdsIncreaseRegularly)
{
  CHECK_TRUE(After("", { "1", "2", "3" }).OrderOf(Event("5")) ==
             EventOrder::kSkipped);
  CHECK_TRUE(After("2", { "4", "6" }).OrderOf(Event("8")) == EventOrder::kNext);
  CHECK_TRUE(After("2", { "4", "6" }).OrderOf(Event("7")) ==
             EventOrder::kSkipped);
  // The ids increase by varying steps, or it is not known yet.
  CHECK_TRUE(After("", { "1", "3", "4" }).OrderOf(Event("9")) ==
             EventOrder::kNext);
  CHECK_TRUE(After("", { "5", "9" }).OrderOf(Event("11")) == EventOrder::kNext);
}

// Guards against a server that leaves out events at the start of a stream.
TEST(EventSequenceTest, MissingEventsAreNoticedAtOnceIfIdsCountTheEvents)
{
  CHECK_TRUE(After("", { "1" }).OrderOf(Event("3")) == EventOrder::kSkipped);
  CHECK_TRUE(After("", { "1" }).OrderOf(Event("2")) == EventOrder::kNext);
  CHECK_TRUE(After("", { "1", "2" }).OrderOf(Event("4")) ==
             EventOrder::kSkipped);
  CHECK_TRUE(After("", { "0" }).OrderOf(Event("2")) == EventOrder::kSkipped);
  // The caller has events that are not known here.
  CHECK_TRUE(After("1", {}).OrderOf(Event("3")) == EventOrder::kNext);
}

TEST(EventSequenceTest, OtherIdsAreComparedWithTheFirstAndTheLastOne)
{
  const auto sequence = After("", { "a", "b", "c" });
  CHECK_TRUE(sequence.OrderOf(Event("a")) == EventOrder::kRepeated);
  CHECK_TRUE(sequence.OrderOf(Event("c")) == EventOrder::kRepeated);
  CHECK_TRUE(sequence.OrderOf(Event("d")) == EventOrder::kNext);
}

// Guards against an error's text in the middle of a stream.
TEST(EventSequenceTest, AnEventWithoutAnIdDoesNotContinueAStream)
{
  const auto sequence = After("", { "1" });
  CHECK_TRUE(sequence.OrderOf(Event("")) == EventOrder::kUnknown);
  CHECK_TRUE(sequence.OrderOf(
               { .bytes = ": still here\n\n", .id = {}, .isComment = true }) ==
             EventOrder::kComment);
}

// Guards against a resumption that repeats events behind the last id.
TEST(EventSequenceTest, AStreamIsNotResumedAfterAnEventWithoutAnId)
{
  CHECK_FALSE(After("", {}).CanResume());
  CHECK_TRUE(After("", { "1" }).CanResume());
  CHECK_FALSE(After("", { "1", "" }).CanResume());
  CHECK_TRUE(After("", { "1", "", "2" }).CanResume());
  CHECK_TRUE(After("7", {}).CanResume());
}
