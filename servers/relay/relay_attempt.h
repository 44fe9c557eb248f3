#pragma once

// One send of a request to a backend server: reads the answer's kind, and its
// body whole or event by event.

#include <memory>
#include <optional>
#include <string>

#include "policy/request_router.h"
#include "servers/http1/backend_pool.h"
#include "servers/relay/dialect.h"
#include "servers/relay/event_splitter.h"

namespace firefly {

class RelayAttempt;

// A whole answer of a backend server.
struct BackendAnswer
{
  MessageHead head;
  std::string body;
};

// Hears what becomes of an attempt.
class RelayAttemptListener
{
public:
  virtual ~RelayAttemptListener() = default;

  // It ended without an answer for the caller.
  virtual void OnAttemptError(policy::AttemptNumber aAttempt,
                              policy::AttemptError aError,
                              const std::string& aWhy) = 0;
  // The prompt was read; the answer tells where its memory is.
  virtual void OnPromptRead(policy::AttemptNumber aAttempt,
                            const BackendAnswer& aAnswer,
                            const BackendId& aBackend) = 0;
  // The backend server answered with a failure of its own.
  virtual void OnAttemptFailure(policy::AttemptNumber aAttempt,
                                BackendAnswer aAnswer) = 0;
  virtual void OnPlainAnswer(policy::AttemptNumber aAttempt,
                             const BackendAnswer& aAnswer) = 0;
  // A stream begins; false if the attempt is not the one that answers.
  virtual bool OnFirstEvent(policy::AttemptNumber aAttempt,
                            const MessageHead& aHead) = 0;
  virtual void OnEvent(policy::AttemptNumber aAttempt,
                       const StreamEvent& aEvent) = 0;
  // All events that came so far were given.
  virtual void OnEventsGiven(RelayAttempt& aAttempt) = 0;
  virtual void OnStreamEnd(policy::AttemptNumber aAttempt) = 0;
};

class RelayAttempt : private BackendCallObserver
{
public:
  struct Options
  {
    RequestId request;
    policy::AttemptNumber number;
    BackendId backend;
    // Only the prompt is read.
    bool promptOnly = false;
    // The answer is a stream of events.
    bool isStream = false;
    // The memory of a prompt that the attempt goes on from.
    std::optional<PromptMemory> memory{};
  };

  // Dialect and listener must outlive the attempt.
  RelayAttempt(Options aOptions,
               const Dialect& aDialect,
               RelayAttemptListener& aListener);

  void Start(BackendPool& aPool, BackendPool::Call aCall);

  void Pause() { mCall->Pause(); }
  void Resume() { mCall->Resume(); }

  [[nodiscard]] policy::AttemptNumber Number() const { return mOptions.number; }
  [[nodiscard]] const std::optional<PromptMemory>& Memory() const
  {
    return mOptions.memory;
  }

  // Whether the backend server may run the request.
  [[nodiscard]] bool CanRun() const { return !mOptions.promptOnly; }

private:
  bool IsMine(const MessageHead& aHead) override;
  void OnHead(const MessageHead& aHead) override;
  void OnBody(std::string aBytes) override;
  void OnEnd() override;
  void OnFault(BackendCallFault aFault) override;

  void TakeEvents(std::string_view aBytes);
  void Break(const std::string& aWhy);

  Options mOptions;
  const Dialect& mDialect;
  RelayAttemptListener& mListener;
  std::unique_ptr<BackendCall> mCall;
  AnswerKind mKind = AnswerKind::kForeign;
  BackendAnswer mAnswer;
  EventSplitter mSplitter;
  bool mHadEvent = false;
};

} // namespace firefly
