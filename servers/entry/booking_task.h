#pragma once

// Serves one caller's request that must run at most once: requests a permit
// from the ledger, makes one call on a fresh connection and records its
// outcome. The call is repeated only if none of it was sent.

#include <memory>
#include <string>

#include "servers/entry/booking_tracker.h"
#include "servers/entry/plain_call_runner.h"
#include "servers/entry/request_task.h"
#include "servers/http/http_server.h"
#include "servers/ledger/ledger_client.h"

namespace firefly {

// Returns the ledger's key for a caller's key. It contains the service and the
// customer, since callers of different ones may choose the same key.
BookingKey
MakeLedgerKey(const ServiceId& aService,
              const CustomerId& aCustomer,
              const std::string& aKey);

class BookingTask
  : public RequestTask
  , public std::enable_shared_from_this<BookingTask>
{
public:
  // The ledger client and the tracker; both must outlive the task.
  struct Ledger
  {
    LedgerClient* client = nullptr;
    BookingTracker* tracker = nullptr;
  };

  BookingTask(const TaskContext& aContext,
              const Ledger& aLedger,
              PlainCall aCall,
              RequestId aId,
              HttpResponderPtr aResponder);

  // Requests the permit. Once it is granted, the request goes to the
  // dispatcher.
  void Start();

  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(policy::AttemptNumber aAttempt) override;
  void Refuse(const policy::Refusal& aRefusal) override;
  void Fail(policy::FailureReason aReason) override;
  void OnQueued() override;
  void Sweep(Instant aNow) override;

private:
  using Number = policy::AttemptNumber;
  using PermitResult = tl::expected<coord::Permit, LedgerCallError>;
  using Result = tl::expected<HttpResult, HttpError>;

  void RequestPermit();
  void OnPermit(const PermitResult& aResult);
  void OnKeyHeldByOtherAttempt();
  void StartDispatch();
  void ReplayOutcome(const coord::BookingOutcome& aOutcome);
  void OnResult(Number aNumber, Result aResult);
  void Complete(Number aNumber, HttpResult aResult);
  void RecordOutcome(const HttpResult& aResult);
  void AbandonPermit();
  void EndWithProblem(const Problem& aProblem, const std::string& aOutcome);
  [[nodiscard]] Execution ExecutionSoFar() const;

  TaskContext mContext;
  Ledger mLedger;
  PlainCall mCall;
  RequestId mId;
  HttpResponderPtr mResponder;
  RequestLifecycle mLifecycle;
  Duration mLateAfter{};
  BookingKey mKey;
  Instant mPermitDeadline{};
  AttemptId mPermit; // empty while no permit is held
  std::unique_ptr<PlainCallRunner> mRunner;
  bool mMayHaveRun = false;
  bool mHasStartedDispatch = false; // the dispatcher has the task
  Timer mPermitTimer;
};

} // namespace firefly
