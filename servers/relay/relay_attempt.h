#pragma once

// One attempt to run a request at a backend server. Classifies the answer and
// reads its body, either whole or event by event.

#include <memory>
#include <optional>
#include <string>

#include "policy/backend_holdoff.h"
#include "policy/request_router.h"
#include "servers/http1/backend_pool.h"
#include "servers/relay/dialect.h"
#include "servers/relay/event_sequence.h"
#include "servers/relay/event_splitter.h"

namespace firefly {

class RelayAttempt;

// A complete answer of a backend server.
struct BackendAnswer
{
  MessageHead head;
  std::string body;
};

// Receives the events of an attempt.
class RelayAttemptListener
{
public:
  virtual ~RelayAttemptListener() = default;

  // The head of an answer arrived.
  virtual void OnAvailability(const policy::BackendRun& aBackend,
                              const AvailabilityNotice& aNotice) = 0;
  // An answer of the backend server names its limit, or none.
  virtual void OnRateLimit(const policy::BackendRun& aBackend,
                           std::optional<policy::RequestRate> aRate) = 0;
  // The attempt ended without an answer for the caller.
  virtual void OnAttemptError(policy::AttemptNumber aAttempt,
                              policy::AttemptError aError,
                              const std::string& aWhy) = 0;
  // The engine answered a prefill request. The answer says where the prompt's
  // KV cache is, unless the prefill failed.
  virtual void OnPrefillAnswer(policy::AttemptNumber aAttempt,
                               const BackendAnswer& aAnswer,
                               const BackendId& aBackend) = 0;
  // The backend server ran the request and answered with a status that does not
  // mean success.
  virtual void OnAttemptFailure(policy::AttemptNumber aAttempt,
                                BackendAnswer aAnswer) = 0;
  virtual void OnPlainAnswer(policy::AttemptNumber aAttempt,
                             const BackendAnswer& aAnswer) = 0;
  // The first events of an attempt that is to continue a stream arrived.
  // Returns how the event follows those that the caller has.
  virtual EventOrder OnContinuation(const StreamEvent& aEvent) = 0;
  // The first event of a stream arrived. Returns false if another attempt
  // answers the request or if the request has ended; the events are then not
  // wanted.
  virtual bool OnFirstEvent(policy::AttemptNumber aAttempt,
                            const MessageHead& aHead) = 0;
  virtual void OnEvent(policy::AttemptNumber aAttempt,
                       const StreamEvent& aEvent) = 0;
  // All events received so far were passed to OnEvent().
  virtual void OnEventsDelivered(RelayAttempt& aAttempt) = 0;
  virtual void OnStreamEnd(policy::AttemptNumber aAttempt) = 0;
};

class RelayAttempt : private BackendCallObserver
{
public:
  struct Options
  {
    RequestId request;
    policy::AttemptNumber number;
    policy::BackendRun backend;
    // The version of the backend server's software.
    policy::SoftwareVersion version{};
    // The engine only prefills the prompt.
    bool promptOnly = false;
    // The answer is a stream of server-sent events.
    bool isStream = false;
    // The backend server is asked to continue a stream.
    bool isContinuation = false;
    // The KV cache that the attempt decodes from.
    std::optional<KvCacheRef> kvCache{};
    // Counts the memory of the answer.
    MemoryReservation memory{};
  };

  // The dialect and the listener must outlive the attempt.
  RelayAttempt(Options aOptions,
               const Dialect& aDialect,
               RelayAttemptListener& aListener);

  void Start(BackendPool& aPool, BackendPool::Call aCall);

  void Pause() { mCall->Pause(); }
  void Resume() { mCall->Resume(); }

  [[nodiscard]] policy::AttemptNumber Number() const { return mOptions.number; }
  [[nodiscard]] const BackendId& Backend() const { return mOptions.backend.id; }
  [[nodiscard]] policy::SoftwareVersion Version() const
  {
    return mOptions.version;
  }
  [[nodiscard]] const std::optional<KvCacheRef>& KvCache() const
  {
    return mOptions.kvCache;
  }

  // Returns false if the backend server is asked only to prefill the prompt.
  [[nodiscard]] bool CanRun() const { return !mOptions.promptOnly; }

private:
  ResponseMatch MatchResponse(const MessageHead& aHead) override;
  void OnHead(const MessageHead& aHead) override;
  void OnBody(std::string aBytes) override;
  void OnEnd() override;
  void OnFault(BackendCallFault aFault) override;

  void PassOnEvents(std::string_view aBytes);
  void FailAttempt(const std::string& aWhy);

  Options mOptions;
  const Dialect& mDialect;
  RelayAttemptListener& mListener;
  std::unique_ptr<BackendCall> mCall;
  AnswerKind mAnswerKind = AnswerKind::kForeign;
  BackendAnswer mAnswer;
  EventSplitter mSplitter;
  bool mHasReceivedEvent = false;
  // The first event after those that the caller has was received.
  bool mIsJoined = false;
  // Bytes of the body of a rejection, which are not kept.
  std::size_t mSkippedBytes = 0;
};

} // namespace firefly
