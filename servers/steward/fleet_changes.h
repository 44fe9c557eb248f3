#pragma once

// Carries planned changes of backend servers through, as the holder of the
// fleet's authority: close to new work, wait until each entry has
// acknowledged, wait until the running work is done, order, verify, reopen.
// Every step stands in the log before it counts, so that the next holder goes
// on from there.

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
#include "servers/steward/engine_link.h"
#include "servers/steward/entry_reports.h"

namespace firefly {

enum class ChangeKind
{
  kDrain, // out of service until it is admitted
  kAdmit, // back into service as it is
  kOrder, // another role, model, version or adapter
};

// What is wanted of a backend server.
struct FleetChange
{
  ChangeKind kind = ChangeKind::kDrain;
  coord::WantedState wanted; // for kOrder
};

enum class ChangeErrorKind
{
  kNotLeading,
  kUnknownBackend,
  kBusy,      // another change of it is under way
  kForbidden, // a plain service takes no orders
};

// Why a change was not taken on.
struct ChangeError
{
  ChangeErrorKind kind = ChangeErrorKind::kNotLeading;
  std::string message;
};

// A backend server as the holder sees it.
struct BackendStatus
{
  BackendId id;
  std::string state; // of charts/backend.toml
  coord::WantedState serving;
  std::optional<ChangeKind> change;
  std::vector<HostId> waitsFor; // entries that have not acknowledged
  std::uint64_t inFlight = 0;   // by the entries' reports
  // The newest order in the log; id zero: there was none.
  coord::OrderId lastOrder;
  FencingNumber lastFence;
};

class FleetChanges
{
public:
  // Whether an order may be sent under that fence at this moment; true only
  // if the process can't outlive its lease.
  using MaySend = std::function<bool(FencingNumber)>;

  // A backend server of the settings; a plain service has no link.
  struct Target
  {
    BackendId id;
    DomainId domain;
    coord::WantedState initial;
    EngineLink* link = nullptr;
  };

  struct Options
  {
    // For how long running work may take to leave; then the change is given
    // up and the backend server reopened.
    Duration drainTimeout = std::chrono::minutes(2);
    // After this an unanswered order can no longer reach its engine.
    Duration orderLifetime = std::chrono::seconds(4);
    // A new holder waits so long for reports, so that entries that are not
    // listed yet are heard of.
    Duration reportWait = std::chrono::seconds(3);
    Duration readInterval = std::chrono::milliseconds(200);
    // Between two tries of an order that failed.
    Duration retryDelay = std::chrono::seconds(2);
    int maxRetries = 5;
  };

  // Counters since the start.
  struct Counters
  {
    std::uint64_t orders = 0; // sent
    std::uint64_t applied = 0;
    std::uint64_t failed = 0;
    std::uint64_t settled = 0;   // open intents of earlier holders
    std::uint64_t cancelled = 0; // changes given up before an order
    std::uint64_t withheld = 0;  // orders not sent because the lease was over
  };

  // All must outlive this object.
  FleetChanges(Options aOptions,
               Executor& aExecutor,
               coord::OrderJournal& aJournal,
               EntryReports& aReports,
               WeightStore& aStore,
               MaySend aMaySend);

  // Adds a backend server.
  void Add(Target aTarget);

  // The process holds the authority from now on.
  void Lead(FencingNumber aFence);

  // It does no longer: nothing more is sent or written.
  void StepDown();

  // Takes a change on; it is over when the plan shows it.
  tl::expected<void, ChangeError> Request(const BackendId& aBackend,
                                          FleetChange aChange);

  // Takes the next step of each change; call it several times a second.
  void Tick();

  [[nodiscard]] std::vector<BackendStatus> Status() const;
  [[nodiscard]] const Counters& Count() const { return mCounters; }
  [[nodiscard]] const coord::WantedState* Serving(
    const BackendId& aBackend) const;
  [[nodiscard]] bool Leading() const { return mFence.has_value(); }

private:
  // One backend server and the step that is under way for it.
  struct Work
  {
    Target target;
    std::optional<FleetChange> change;
    bool busy = false;     // a record, a reservation or an order is under way
    std::string phase;     // the state of the plan at the last tick
    Instant phaseSince{};  // when it was first seen
    Instant retryAt{};     // no order before
    Instant settleAfter{}; // an order that can't be seen by then has failed
    int failures = 0;      // of the change's orders
    bool reading = false;
    Instant readAt{};
    std::optional<EngineState> seen; // in this phase
  };

  void Step(Work& aWork);
  void StepOpen(Work& aWork);
  void StepClosing(Work& aWork);
  void StepDraining(Work& aWork);
  void StepOrdering(Work& aWork);
  void StepOut(Work& aWork);
  void StepSettling(Work& aWork);
  void Advance(Work& aWork, const std::string& aEvent);
  void Cancel(Work& aWork);
  void Order(Work& aWork);
  void OnReserved(Work& aWork,
                  const tl::expected<void, PlatformError>& aResult);
  void BeginOrder(Work& aWork);
  void Send(Work& aWork, const coord::Order& aOrder);
  void OnSent(Work& aWork, const tl::expected<void, EngineError>& aResult);
  void Finish(Work& aWork,
              const coord::Order& aOrder,
              coord::OrderResult aResult);
  void NoteResult(Work& aWork,
                  const coord::Order& aOrder,
                  coord::OrderResult aResult);
  void ReadState(Work& aWork);
  void NotePhase(Work& aWork);
  [[nodiscard]] const coord::PlanEntry* EntryOf(const Work& aWork) const;
  [[nodiscard]] coord::WantedState ServingOf(const Work& aWork) const;
  [[nodiscard]] bool NeedsLoad(const Work& aWork) const;

  // A callback that does nothing once the authority has changed hands.
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
  EntryReports& mReports;
  WeightStore& mStore;
  MaySend mMaySend;
  std::map<BackendId, Work> mWork;
  std::optional<FencingNumber> mFence;
  Instant mLeadingSince{};
  std::uint64_t mTerm = 0; // grows when the authority is gained or lost
  Counters mCounters;
  coord::CallbackGuard mGuard;
};

} // namespace firefly
