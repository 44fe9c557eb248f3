#include "servers/relay/event_sequence.h"

#include <charconv>
#include <utility>

namespace firefly {

namespace {

constexpr std::uint32_t kMinSteps = 2;

std::optional<std::uint64_t>
ParseNumber(const std::string& aId)
{
  std::uint64_t number = 0;
  const char* end = aId.data() + aId.size();
  const auto parsed = std::from_chars(aId.data(), end, number);
  if (aId.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Returns the difference if both are numbers and the second one is larger.
std::optional<std::uint64_t>
StepBetween(const std::string& aFirst, const std::string& aSecond)
{
  const auto first = ParseNumber(aFirst);
  const auto second = ParseNumber(aSecond);
  if (!first || !second || *second <= *first) {
    return std::nullopt;
  }
  return *second - *first;
}

} // namespace

EventSequence::EventSequence(std::string aLastId)
  : mLastId(std::move(aLastId))
  , mIsWhole(mLastId.empty())
{
}

void
EventSequence::OnDelivered(const StreamEvent& aEvent)
{
  if (aEvent.isComment) {
    return;
  }
  mHasUnmarkedEvent = aEvent.id.empty();
  if (aEvent.id.empty()) {
    return;
  }
  if (!mLastId.empty()) {
    const auto step = StepBetween(mLastId, aEvent.id);
    mStep = mStepCount == 0 || step == mStep ? step : std::nullopt;
    mStepCount++;
  }
  if (mFirstId.empty()) {
    mFirstId = aEvent.id;
  }
  mLastId = aEvent.id;
}

EventOrder
EventSequence::OrderOf(const StreamEvent& aEvent) const
{
  if (aEvent.isComment) {
    return EventOrder::kComment;
  }
  if (aEvent.id.empty()) {
    return EventOrder::kUnknown;
  }
  if (!ParseNumber(mLastId) || !ParseNumber(aEvent.id)) {
    const bool isKnown = aEvent.id == mFirstId || aEvent.id == mLastId;
    return isKnown ? EventOrder::kRepeated : EventOrder::kNext;
  }
  const auto step = StepBetween(mLastId, aEvent.id);
  if (!step) {
    return EventOrder::kRepeated;
  }
  const bool counts = mIsWhole && (mFirstId == "0" || mFirstId == "1") &&
                      (mStepCount == 0 || mStep == 1U);
  const bool isRegular = mStep && mStepCount >= kMinSteps;
  const auto expected = counts ? std::optional<std::uint64_t>(1) : mStep;
  return (counts || isRegular) && step != expected ? EventOrder::kSkipped
                                                   : EventOrder::kNext;
}

} // namespace firefly
