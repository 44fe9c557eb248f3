#include "servers/relay/relay_attempt.h"

#include <utility>

namespace firefly {

namespace {

using policy::AttemptError;

// Maximum body size of an answer that is not forwarded event by event: a plain
// answer, a failure, or the answer to a prefill request.
constexpr std::size_t kMaxBufferedBodyBytes = 4U << 20U;
// The body of a rejection is not read beyond this.
constexpr std::size_t kMaxRejectionBytes = 64U << 10U;

std::string
Describe(EventOrder aOrder)
{
  switch (aOrder) {
    case EventOrder::kRepeated:
      return "resumed stream repeats events";
    case EventOrder::kSkipped:
      return "resumed stream skips events";
    default:
      return "resumed stream has no event ids";
  }
}

std::string
Describe(BackendCallFault aFault)
{
  switch (aFault) {
    case BackendCallFault::kNotSent:
      return "not connected";
    case BackendCallFault::kConnectionLost:
      return "connection cut";
    case BackendCallFault::kUnacknowledged:
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

ResponseMatch
RelayAttempt::MatchResponse(const MessageHead& aHead)
{
  return mDialect.MatchAnswer(aHead, mOptions.request);
}

void
RelayAttempt::OnHead(const MessageHead& aHead)
{
  mAnswer.head = aHead;
  mAnswerKind = mDialect.Classify(aHead);
  const auto notice = mDialect.ReadAvailability(aHead);
  mListener.OnAvailability(mOptions.backend, notice);
  // Engines do not sign the answer to a prefill request. Any other answer
  // without a signature may be from somebody else, and names no limit.
  if (notice.rateLimit || mOptions.promptOnly ||
      mAnswerKind != AnswerKind::kForeign) {
    mListener.OnRateLimit(mOptions.backend, notice.rateLimit);
  }
  // Engines do not sign the answer to a prefill request.
  if (!mOptions.promptOnly && mAnswerKind == AnswerKind::kForeign) {
    FailAttempt("not a backend server's answer");
  }
}

void
RelayAttempt::OnBody(std::string aBytes)
{
  if (mAnswerKind == AnswerKind::kNotRun) {
    mSkippedBytes += aBytes.size();
    if (mSkippedBytes > kMaxRejectionBytes) {
      mListener.OnAttemptError(mOptions.number,
                               AttemptError::kRejected,
                               "rejection larger than the bound");
    }
    return;
  }
  if (mAnswerKind == AnswerKind::kSuccess && mOptions.isStream) {
    PassOnEvents(aBytes);
    return;
  }
  mAnswer.body += aBytes;
  mOptions.memory.Set(mAnswer.body.capacity());
  if (mAnswer.body.size() > kMaxBufferedBodyBytes) {
    FailAttempt("answer larger than the bound");
  }
}

void
RelayAttempt::PassOnEvents(std::string_view aBytes)
{
  for (const auto& event : mSplitter.Feed(aBytes)) {
    if (mOptions.isContinuation && !mIsJoined) {
      const auto order = mListener.OnContinuation(event);
      if (order == EventOrder::kComment) {
        continue;
      }
      if (order != EventOrder::kNext) {
        // Not kBroken, which could be taken for a crash of the backend server.
        mListener.OnAttemptError(
          mOptions.number, AttemptError::kFailed, Describe(order));
        return;
      }
      mIsJoined = true;
    }
    if (!std::exchange(mHasReceivedEvent, true) &&
        !mListener.OnFirstEvent(mOptions.number, mAnswer.head)) {
      return;
    }
    mListener.OnEvent(mOptions.number, event);
  }
  if (mSplitter.Overflowed()) {
    FailAttempt("event larger than the bound");
    return;
  }
  mListener.OnEventsDelivered(*this);
}

void
RelayAttempt::OnEnd()
{
  const auto number = mOptions.number;
  if (mAnswerKind == AnswerKind::kNotRun) {
    mListener.OnAttemptError(number,
                             AttemptError::kRejected,
                             "status " + std::to_string(mAnswer.head.status));
  } else if (mOptions.promptOnly) {
    mListener.OnPrefillAnswer(number, mAnswer, mOptions.backend.id);
  } else if (mAnswerKind == AnswerKind::kFailure) {
    mListener.OnAttemptFailure(number, std::move(mAnswer));
  } else if (!mOptions.isStream) {
    mListener.OnPlainAnswer(number, mAnswer);
  } else if (mSplitter.PartialBytes() > 0 || !mHasReceivedEvent) {
    FailAttempt("stream ended within an event");
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
  } else if (mAnswerKind == AnswerKind::kNotRun) {
    error = AttemptError::kRejected;
  } else if (aFault == BackendCallFault::kUnacknowledged) {
    error = AttemptError::kSilent;
  }
  mListener.OnAttemptError(mOptions.number, error, Describe(aFault));
}

void
RelayAttempt::FailAttempt(const std::string& aWhy)
{
  mListener.OnAttemptError(mOptions.number, AttemptError::kBroken, aWhy);
}

} // namespace firefly
