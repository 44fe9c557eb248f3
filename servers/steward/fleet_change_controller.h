#pragma once

// Carries out planned changes of backend servers while this process holds the
// fleet's authority. A change closes the backend server to new requests, waits
// until every entry has acknowledged this, waits until the requests in flight
// have finished, sends the order to the engine, verifies the engine's state and
// opens the backend server again. Each step is written to the log before it
// takes effect, so that the next holder continues from the last step.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coord/callback_guard.h"
#include "coord/order_journal.h"
#include "servers/platform/weight_store_client.h"
#include "servers/steward/engine_client.h"
#include "servers/steward/entry_reports.h"

namespace firefly {

enum class ChangeKind
{
  kDrain, // takes the backend server out of service until kAdmit
  kAdmit, // puts it back into service unchanged
  kOrder, // changes its role, model, model version or adapter
};

// A requested change of one backend server.
struct FleetChange
{
  ChangeKind kind = ChangeKind::kDrain;
  coord::WantedState wanted; // for kOrder
};

enum class ChangeErrorKind
{
  kNotLeading,
  kUnknownBackend,
  kBusy,        // another change of this backend server is in progress
  kUnsupported, // the backend server is a plain service, which takes no orders
};

// Why a change was rejected.
struct ChangeError
{
  ChangeErrorKind kind = ChangeErrorKind::kNotLeading;
  std::string message;
};

// The state of one backend server for status output.
struct BackendStatus
{
  BackendId id;
  std::string state; // a state of charts/backend.toml
  coord::WantedState serving;
  std::optional<ChangeKind> change;
  // While closing: the hosts whose entries have not acknowledged the plan.
  std::vector<HostId> unacknowledgedHosts;
  std::uint64_t inFlight = 0; // requests, according to the entries' reports
  // The newest order in the log; the id is zero if there is none.
  coord::OrderId lastOrder;
  FencingNumber lastFence;
};

class FleetChangeController
{
public:
  // Whether an order may be sent now with this fencing number. Returns true
  // only if the process cannot outlive its lease.
  using MaySend = std::function<bool(FencingNumber)>;

  // A backend server from the settings. The client is null for a plain service,
  // otherwise it must outlive the controller.
  struct Target
  {
    BackendId id;
    DomainId domain;
    coord::WantedState initial;
    EngineClient* client = nullptr;
  };

  struct Options
  {
    // Maximum time for the requests in flight to finish. After it the change is
    // cancelled and the backend server reopened.
    Duration drainTimeout = std::chrono::minutes(2);
    // An order whose call got no usable response may still reach its engine for
    // this long after the call has ended.
    Duration orderLifetime = std::chrono::seconds(4);
    // A new holder waits this long before it evaluates acknowledgements, so
    // that entries that are not in the host list yet have time to report.
    Duration initialReportWait = std::chrono::seconds(3);
    Duration readInterval = std::chrono::milliseconds(200);
    // Minimum delay before an order that failed or could not be started is
    // tried again.
    Duration retryDelay = std::chrono::seconds(2);
    int maxRetries = 5;
  };

  // Counters since the process started.
  struct Counters
  {
    std::uint64_t orders = 0; // sent
    std::uint64_t applied = 0;
    std::uint64_t failed = 0;
    std::uint64_t settled = 0;   // open orders inherited from earlier holders
    std::uint64_t cancelled = 0; // changes cancelled before an order was logged
    // Logged orders that were not sent because MaySend returned false.
    std::uint64_t withheld = 0;
  };

  // All referenced objects must outlive this one.
  FleetChangeController(Options aOptions,
                        Executor& aExecutor,
                        coord::OrderJournal& aJournal,
                        EntryReportRegistry& aReports,
                        WeightStore& aStore,
                        MaySend aMaySend);

  void Add(Target aTarget);

  // Starts carrying out changes: the process now holds the authority.
  void StartLeading(FencingNumber aFence);

  // Forgets all requested changes and cancels all calls to engines: the process
  // no longer holds the authority. Nothing more is sent or logged.
  void StopLeading();

  // Accepts a change. The change is complete when the plan shows its result.
  tl::expected<void, ChangeError> Request(const BackendId& aBackend,
                                          FleetChange aChange);

  // Runs the next step of each change. Call it several times a second.
  void Tick();

  [[nodiscard]] std::vector<BackendStatus> Status() const;
  [[nodiscard]] const Counters& GetCounters() const { return mCounters; }
  // What the backend server serves according to the plan, or initially; null if
  // the backend server is unknown.
  [[nodiscard]] const coord::WantedState* ServingState(
    const BackendId& aBackend) const;
  [[nodiscard]] bool IsLeading() const { return mFence.has_value(); }

private:
  // One backend server and the progress of its change.
  struct ManagedBackend
  {
    Target target;
    std::optional<FleetChange> change;
    // A log record, a load reservation or an order has not completed yet.
    bool hasPendingOperation = false;
    std::string phase;    // the state in the plan at the last tick
    Instant phaseSince{}; // when a tick first saw that state
    Instant retryAt{};    // no order is started before this time
    // The open order cannot reach the engine after this time. If a state read
    // that starts later does not show the order, the order has failed.
    Instant arrivalDeadline{};
    int failedOrders = 0; // consecutive, of the current change
    bool hasPendingRead = false;
    Instant lastReadAt{};
    std::optional<EngineState> observed; // read during the current phase
  };

  void RunStep(ManagedBackend& aManaged);
  void StepOpen(ManagedBackend& aManaged);
  void StepClosing(ManagedBackend& aManaged);
  void StepDraining(ManagedBackend& aManaged);
  void StepOrdering(ManagedBackend& aManaged);
  void StepOut(ManagedBackend& aManaged);
  void StepSettling(ManagedBackend& aManaged);
  void Advance(ManagedBackend& aManaged, const std::string& aEvent);
  void CancelChange(ManagedBackend& aManaged);
  void StartOrder(ManagedBackend& aManaged);
  void OnReserved(ManagedBackend& aManaged,
                  const tl::expected<void, PlatformError>& aResult);
  void LogOrder(ManagedBackend& aManaged);
  void SendOrder(ManagedBackend& aManaged, const coord::Order& aOrder);
  void OnOrderSent(ManagedBackend& aManaged,
                   const tl::expected<void, EngineError>& aResult);
  void FinishOrder(ManagedBackend& aManaged,
                   const coord::Order& aOrder,
                   coord::OrderResult aResult);
  void OnOrderFinished(ManagedBackend& aManaged,
                       const coord::Order& aOrder,
                       coord::OrderResult aResult);
  void ReadState(ManagedBackend& aManaged);
  void UpdatePhase(ManagedBackend& aManaged);
  [[nodiscard]] const coord::PlanEntry* PlanEntryOf(
    const ManagedBackend& aManaged) const;
  [[nodiscard]] coord::WantedState ServingStateOf(
    const ManagedBackend& aManaged) const;
  [[nodiscard]] bool NeedsLoad(const ManagedBackend& aManaged) const;

  // Wraps a callback so that it does nothing after the authority was lost, even
  // if this process has gained it again.
  template<typename Callback>
  auto WhileLeading(Callback aCallback)
  {
    return mGuard.Wrap([this, term = mTerm, callback = std::move(aCallback)](
                         auto&&... aArgs) mutable {
      if (term == mTerm) {
        callback(std::forward<decltype(aArgs)>(aArgs)...);
      }
    });
  }

  Options mOptions;
  Executor& mExecutor;
  coord::OrderJournal& mJournal;
  EntryReportRegistry& mReports;
  WeightStore& mStore;
  MaySend mMaySend;
  std::map<BackendId, ManagedBackend> mBackends;
  std::optional<FencingNumber> mFence;
  Instant mLeadingSince{};
  std::uint64_t mTerm = 0; // incremented when the authority is gained or lost
  Counters mCounters;
  coord::CallbackGuard mGuard;
};

} // namespace firefly
