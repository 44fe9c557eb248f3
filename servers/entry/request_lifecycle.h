#pragma once

// Runs the state machine of charts/request.toml for one request, and records
// the request's trace and metrics.

#include <string>

#include "core/executor.h"
#include "core/state_chart.h"
#include "policy/request_router.h"
#include "servers/entry/caller_request.h"
#include "servers/entry/entry_metrics.h"
#include "servers/entry/request_trace.h"

namespace firefly {

// Tracks one request from its arrival to its end.
class RequestLifecycle
{
public:
  // All pointers must outlive the lifecycle.
  struct Options
  {
    const StateChart* chart = nullptr;
    const Executor* executor = nullptr;
    EntryMetrics* metrics = nullptr;
    TraceRegistry* traces = nullptr;
  };

  RequestLifecycle(const Options& aOptions, const CallerHead& aHead);

  // Fires the event in the state machine. If the current state has no
  // transition for it, this is counted in the metrics. The event is traced in
  // either case.
  void Fire(const std::string& aEvent,
            const std::string& aBackend = {},
            const std::string& aDetail = {});

  // Fires the events for a new attempt, and counts hedges, resumes and retries.
  void OnDispatch(const policy::DispatchOrder& aOrder);

  [[nodiscard]] bool Is(std::string_view aState) const
  {
    return mMachine.Is(aState);
  }
  [[nodiscard]] bool IsOver() const { return mMachine.IsFinal(); }
  [[nodiscard]] Instant Arrival() const { return mTrace->arrival; }

  // Call it when the first token or a plain answer is available for the caller.
  // Decides whether the answer counts as late.
  void OnFirstOutput(Duration aLateAfter);

  // Counts the end of the request. Call it once, after the last event.
  void End(bool aAnswered, const std::string& aReason);

  // Counts the outcome of a request that must run at most once.
  void EndBooking(const std::string& aOutcome);

private:
  void AddToStateGauge(double aAmount);
  void AddTraceStep(const std::string& aStep,
                    const std::string& aBackend,
                    const std::string& aDetail = {});
  [[nodiscard]] std::string Outcome(bool aAnswered) const;

  Options mOptions;
  const ServiceSettings* mService;
  const RequestTypeSettings* mType;
  StateMachine mMachine;
  RequestTracePtr mTrace;
  bool mIsLate = false;
};

} // namespace firefly
