#include "servers/relay/relay_attempt.h"

#include <utility>

namespace firefly {

namespace {

using policy::AttemptError;

// A plain answer up to this size is passed on once it is whole.
constexpr std::size_t kMaxWholeBytes = 4U << 20U;

std::string
Describe(BackendCallFault aFault)
{
  switch (aFault) {
    case BackendCallFault::kNotSent:
      return "not connected";
    case BackendCallFault::kCut:
      return "connection cut";
    case BackendCallFault::kSilent:
      return "nothing acknowledged";
    case BackendCallFault::kMalformed:
      return "malformed answer";
  }
  return "unknown fault";
}

} // namespace

RelayAttempt::RelayAttempt(Options aOptions,
                           const Dialect& aDialect,
                           RelayAttemptListener& aListener)
  : mOptions(std::move(aOptions))
  , mDialect(aDialect)
  , mListener(aListener)
{
}

void
RelayAttempt::Start(BackendPool& aPool, BackendPool::Call aCall)
{
  mCall = aPool.Start(std::move(aCall), *this);
}

bool
RelayAttempt::IsMine(const MessageHead& aHead)
{
  return mDialect.Answers(aHead, mOptions.request);
}

void
RelayAttempt::OnHead(const MessageHead& aHead)
{
  mAnswer.head = aHead;
  mKind = mDialect.Classify(aHead);
  // The answer to a reading of a prompt is not a backend server's signed one.
  if (!mOptions.promptOnly && mKind == AnswerKind::kForeign) {
    Break("not a backend server's answer");
  }
}

void
RelayAttempt::OnBody(std::string aBytes)
{
  if (mKind == AnswerKind::kNotRun) {
    return;
  }
  if (mKind == AnswerKind::kSuccess && mOptions.isStream) {
    TakeEvents(aBytes);
    return;
  }
  mAnswer.body += aBytes;
  if (mAnswer.body.size() > kMaxWholeBytes) {
    Break("answer larger than the bound");
  }
}

void
RelayAttempt::TakeEvents(std::string_view aBytes)
{
  for (const auto& event : mSplitter.Feed(aBytes)) {
    if (!std::exchange(mHadEvent, true) &&
        !mListener.OnFirstEvent(mOptions.number, mAnswer.head)) {
      return;
    }
    mListener.OnEvent(mOptions.number, event);
  }
  if (mSplitter.Overflowed()) {
    Break("event larger than the bound");
    return;
  }
  mListener.OnEventsGiven(*this);
}

void
RelayAttempt::OnEnd()
{
  const auto number = mOptions.number;
  if (mKind == AnswerKind::kNotRun) {
    mListener.OnAttemptError(number,
                             AttemptError::kRejected,
                             "status " + std::to_string(mAnswer.head.status));
  } else if (mOptions.promptOnly) {
    mListener.OnPromptRead(number, mAnswer, mOptions.backend);
  } else if (mKind == AnswerKind::kFailure) {
    mListener.OnAttemptFailure(number, std::move(mAnswer));
  } else if (!mOptions.isStream) {
    mListener.OnPlainAnswer(number, mAnswer);
  } else if (mSplitter.Partial() > 0 || !mHadEvent) {
    Break("stream ended within an event");
  } else {
    mListener.OnStreamEnd(number);
  }
}

void
RelayAttempt::OnFault(BackendCallFault aFault)
{
  auto error = AttemptError::kBroken;
  if (aFault == BackendCallFault::kNotSent) {
    error = AttemptError::kNotSent;
  } else if (mKind == AnswerKind::kNotRun) {
    error = AttemptError::kRejected;
  } else if (aFault == BackendCallFault::kSilent) {
    error = AttemptError::kSilent;
  }
  mListener.OnAttemptError(mOptions.number, error, Describe(aFault));
}

void
RelayAttempt::Break(const std::string& aWhy)
{
  mListener.OnAttemptError(mOptions.number, AttemptError::kBroken, aWhy);
}

} // namespace firefly
