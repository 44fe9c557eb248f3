#pragma once

// Checks that a stream which another backend server continues goes on where it
// was broken off, so that the caller receives each event once and in order. A
// backend server may ignore the id that it is asked to resume after and begin
// at the first event, or skip events.

#include <cstdint>
#include <optional>
#include <string>

#include "servers/relay/event_splitter.h"

namespace firefly {

// How an event follows the last one that the caller has.
enum class EventOrder : std::uint8_t
{
  kNext,
  // A comment, which is no part of the sequence.
  kComment,
  // The caller has the event already.
  kRepeated,
  // Events between the last one and this one are missing.
  kSkipped,
  // The event has no id, so that its place is unknown.
  kUnknown,
};

class EventSequence
{
public:
  // aLastId is the id of the last event that the caller has from an earlier
  // request; empty for a new stream.
  explicit EventSequence(std::string aLastId);

  // Records an event that was passed on to the caller.
  void OnDelivered(const StreamEvent& aEvent);

  // The id of the last event that the caller has; empty if there is none.
  [[nodiscard]] const std::string& LastId() const { return mLastId; }

  // Whether the stream can be resumed after the last event: false if the caller
  // has no event, or events behind the last one that has an id.
  [[nodiscard]] bool CanResume() const
  {
    return !mLastId.empty() && !mHasUnmarkedEvent;
  }

  // Returns how the event follows LastId(), which must not be empty. Missing
  // events are noticed only if the ids count the events from 0 or 1, or are
  // numbers that have increased by the same step, at least twice; otherwise
  // larger numbers follow smaller ones. Ids that are no numbers are compared
  // with the first and the last one.
  [[nodiscard]] EventOrder OrderOf(const StreamEvent& aEvent) const;

private:
  std::string mFirstId;
  std::string mLastId;
  // Whether the first event of the stream was passed on here.
  bool mIsWhole = false;
  bool mHasUnmarkedEvent = false;
  // The difference between successive ids, and how often it has occurred; none
  // if it varies.
  std::optional<std::uint64_t> mStep;
  std::uint32_t mStepCount = 0;
};

} // namespace firefly
