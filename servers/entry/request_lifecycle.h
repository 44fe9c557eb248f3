#pragma once

// One request's way through charts/request.toml, with its trace and counts.

#include <string>

#include "core/executor.h"
#include "core/state_chart.h"
#include "policy/request_router.h"
#include "servers/entry/caller_request.h"
#include "servers/entry/entry_metrics.h"
#include "servers/entry/request_trace.h"

namespace firefly {

// Follows one request from its arrival to its end.
class RequestLifecycle
{
public:
  // The chart, the metrics and the book must outlive the life.
  struct Options
  {
    const StateChart* chart = nullptr;
    const Executor* executor = nullptr;
    EntryMetrics* metrics = nullptr;
    TraceRegistry* traces = nullptr;
  };

  RequestLifecycle(const Options& aOptions, const CallerHead& aHead);

  // Takes the chart's transition; one that it lacks is counted.
  void Fire(const std::string& aEvent,
            const std::string& aBackend = {},
            const std::string& aDetail = {});

  // Takes the transitions to a new attempt, and counts what kind it is.
  void OnDispatch(const policy::DispatchOrder& aOrder);

  [[nodiscard]] bool Is(std::string_view aState) const
  {
    return mMachine.Is(aState);
  }
  [[nodiscard]] bool IsOver() const { return mMachine.IsFinal(); }
  [[nodiscard]] Instant Arrival() const { return mTrace->arrival; }

  // The first token, or a plain answer, reached the caller: settles whether
  // the answer is in time.
  void OnFirstOutput(Duration aLateAfter);

  // Counts the end; called once, after the last event.
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
