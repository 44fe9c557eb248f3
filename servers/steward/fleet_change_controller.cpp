#include "servers/steward/fleet_change_controller.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

// States and events of charts/backend.toml.
constexpr const char* kOpen = "open";
constexpr const char* kClosing = "closing";
constexpr const char* kDraining = "draining";
constexpr const char* kOrdering = "ordering";
constexpr const char* kSettling = "settling";
constexpr const char* kOut = "out";

tl::unexpected<ChangeError>
Refuse(ChangeErrorKind aKind, std::string aMessage)
{
  return tl::make_unexpected(
    ChangeError{ .kind = aKind, .message = std::move(aMessage) });
}

} // namespace

FleetChangeController::FleetChangeController(Options aOptions,
                                             Executor& aExecutor,
                                             coord::OrderJournal& aJournal,
                                             EntryReportRegistry& aReports,
                                             WeightStore& aStore,
                                             MaySend aMaySend)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mJournal(aJournal)
  , mReports(aReports)
  , mStore(aStore)
  , mMaySend(std::move(aMaySend))
{
}

void
FleetChangeController::Add(Target aTarget)
{
  const BackendId id = aTarget.id;
  mBackends[id].target = std::move(aTarget);
}

void
FleetChangeController::StartLeading(FencingNumber aFence)
{
  StopLeading();
  mFence = aFence;
  mLeadingSince = mExecutor.Now();
}

void
FleetChangeController::StopLeading()
{
  ++mTerm;
  mFence.reset();
  for (auto& [id, managed] : mBackends) {
    if (managed.target.client != nullptr) {
      managed.target.client->Reset();
    }
    Target target = std::move(managed.target);
    managed = ManagedBackend{};
    managed.target = std::move(target);
  }
}

tl::expected<void, ChangeError>
FleetChangeController::Request(const BackendId& aBackend, FleetChange aChange)
{
  if (!mFence) {
    return Refuse(ChangeErrorKind::kNotLeading,
                  "this steward does not hold the authority");
  }
  const auto it = mBackends.find(aBackend);
  if (it == mBackends.end()) {
    return Refuse(ChangeErrorKind::kUnknownBackend,
                  "unknown backend server " + aBackend.Value());
  }
  ManagedBackend& managed = it->second;
  const bool order = aChange.kind == ChangeKind::kOrder;
  if (order && managed.target.client == nullptr) {
    return Refuse(ChangeErrorKind::kUnsupported,
                  aBackend.Value() + " is a plain service and takes no orders");
  }
  // An admit request also reverts a drain that has not completed.
  const bool revertsDrain = aChange.kind == ChangeKind::kAdmit &&
                            managed.change &&
                            managed.change->kind == ChangeKind::kDrain;
  if (managed.change && !revertsDrain) {
    return Refuse(ChangeErrorKind::kBusy,
                  "a change of " + aBackend.Value() +
                    " is already in progress");
  }
  managed.change = std::move(aChange);
  managed.failedOrders = 0;
  return {};
}

void
FleetChangeController::Tick()
{
  if (!mFence) {
    return;
  }
  for (auto& [id, managed] : mBackends) {
    UpdatePhase(managed);
    if (!managed.hasPendingOperation) {
      RunStep(managed);
    }
  }
}

void
FleetChangeController::UpdatePhase(ManagedBackend& aManaged)
{
  const coord::PlanEntry* entry = PlanEntryOf(aManaged);
  const std::string state = entry == nullptr ? kOpen : entry->state;
  if (state == aManaged.phase) {
    return;
  }
  // An order that is open at this holder's first tick was logged by an earlier
  // holder. It can no longer arrive, because all of its bytes had been
  // delivered or discarded before this holder could claim the authority.
  if (state == kSettling && aManaged.phase.empty()) {
    ++mCounters.settled;
    aManaged.arrivalDeadline = mExecutor.Now();
  }
  aManaged.phase = state;
  aManaged.phaseSince = mExecutor.Now();
  aManaged.observed.reset();
}

void
FleetChangeController::RunStep(ManagedBackend& aManaged)
{
  if (aManaged.phase == kOpen) {
    StepOpen(aManaged);
  } else if (aManaged.phase == kClosing) {
    StepClosing(aManaged);
  } else if (aManaged.phase == kDraining) {
    StepDraining(aManaged);
  } else if (aManaged.phase == kOrdering) {
    StepOrdering(aManaged);
  } else if (aManaged.phase == kSettling) {
    StepSettling(aManaged);
  } else if (aManaged.phase == kOut) {
    StepOut(aManaged);
  }
}

void
FleetChangeController::StepOpen(ManagedBackend& aManaged)
{
  if (!aManaged.change) {
    return;
  }
  if (aManaged.change->kind == ChangeKind::kAdmit) {
    aManaged.change.reset();
    return;
  }
  Advance(aManaged, "close");
}

void
FleetChangeController::StepClosing(ManagedBackend& aManaged)
{
  const bool wanted =
    aManaged.change && aManaged.change->kind != ChangeKind::kAdmit;
  if (!wanted) {
    CancelChange(aManaged);
    return;
  }
  if (mExecutor.Now() - mLeadingSince < mOptions.initialReportWait) {
    return;
  }
  const coord::LogOffset version = PlanEntryOf(aManaged)->version;
  if (mReports.UnacknowledgedHosts(version).empty()) {
    Advance(aManaged, "acknowledged");
  }
}

void
FleetChangeController::StepDraining(ManagedBackend& aManaged)
{
  const bool wanted =
    aManaged.change && aManaged.change->kind != ChangeKind::kAdmit;
  const bool timedOut =
    mExecutor.Now() - aManaged.phaseSince > mOptions.drainTimeout;
  if (!wanted || timedOut) {
    CancelChange(aManaged);
    return;
  }
  if (mReports.InFlight(aManaged.target.id) > 0) {
    return;
  }
  if (aManaged.target.client == nullptr) {
    Advance(aManaged, "idle");
    return;
  }
  ReadState(aManaged);
  if (aManaged.observed && aManaged.observed->running == 0) {
    Advance(aManaged, "idle");
  }
}

void
FleetChangeController::StepOrdering(ManagedBackend& aManaged)
{
  if (!aManaged.change || aManaged.change->kind == ChangeKind::kAdmit) {
    CancelChange(aManaged);
    return;
  }
  if (aManaged.change->kind == ChangeKind::kDrain) {
    aManaged.change.reset();
    Advance(aManaged, "withdraw");
    return;
  }
  StartOrder(aManaged);
}

void
FleetChangeController::StepOut(ManagedBackend& aManaged)
{
  if (!aManaged.change) {
    return;
  }
  if (aManaged.change->kind == ChangeKind::kOrder) {
    StartOrder(aManaged);
    return;
  }
  const bool admit = aManaged.change->kind == ChangeKind::kAdmit;
  aManaged.change.reset();
  if (admit) {
    Advance(aManaged, "admit");
  }
}

// Reads the engine's state until it shows whether the order was applied or has
// failed.
void
FleetChangeController::StepSettling(ManagedBackend& aManaged)
{
  const coord::PlanEntry* entry = PlanEntryOf(aManaged);
  if (!entry->open || aManaged.target.client == nullptr) {
    return;
  }
  ReadState(aManaged);
  if (!aManaged.observed || aManaged.observed->changing) {
    return;
  }
  const coord::Order order = *entry->open;
  const EngineState& observed = *aManaged.observed;
  const bool isLastOrder =
    observed.lastOrder == order.id && observed.fence == order.fence;
  if (isLastOrder && observed.Serves(order.wanted)) {
    FinishOrder(aManaged, order, coord::OrderResult::kApplied);
    return;
  }
  const bool canNoLongerArrive = aManaged.lastReadAt > aManaged.arrivalDeadline;
  if (isLastOrder || canNoLongerArrive) {
    FinishOrder(aManaged, order, coord::OrderResult::kFailed);
  }
}

void
FleetChangeController::Advance(ManagedBackend& aManaged,
                               const std::string& aEvent)
{
  aManaged.hasPendingOperation = true;
  mJournal.Advance(
    *mFence,
    aManaged.target.id,
    aEvent,
    WhileLeading([&aManaged](const tl::expected<void, coord::JournalError>&) {
      // The result does not matter: the next tick continues from the plan.
      aManaged.hasPendingOperation = false;
    }));
}

void
FleetChangeController::CancelChange(ManagedBackend& aManaged)
{
  ++mCounters.cancelled;
  aManaged.change.reset();
  Advance(aManaged, "cancel");
}

void
FleetChangeController::StartOrder(ManagedBackend& aManaged)
{
  if (mExecutor.Now() < aManaged.retryAt) {
    return;
  }
  if (!NeedsLoad(aManaged)) {
    LogOrder(aManaged);
    return;
  }
  aManaged.hasPendingOperation = true;
  mStore.Reserve(
    aManaged.change->wanted.model,
    WhileLeading(
      [this, &aManaged](const tl::expected<void, PlatformError>& aResult) {
        OnReserved(aManaged, aResult);
      }));
}

void
FleetChangeController::OnReserved(
  ManagedBackend& aManaged,
  const tl::expected<void, PlatformError>& aResult)
{
  aManaged.hasPendingOperation = false;
  if (aResult) {
    LogOrder(aManaged);
    return;
  }
  const Duration wait =
    std::max(aResult.error().retryAfter, mOptions.retryDelay);
  aManaged.retryAt = mExecutor.Now() + wait;
}

void
FleetChangeController::LogOrder(ManagedBackend& aManaged)
{
  aManaged.hasPendingOperation = true;
  // The order may still be sent. Until then, an engine that does not know it is
  // no sign of failure.
  aManaged.arrivalDeadline = Instant::max();
  mJournal.Begin(
    *mFence,
    aManaged.target.id,
    aManaged.change->wanted,
    WhileLeading(
      [this, &aManaged](
        const tl::expected<coord::Order, coord::JournalError>& aOrder) {
        if (aOrder) {
          SendOrder(aManaged, *aOrder);
          return;
        }
        // The record may still take effect, but the order was not sent.
        aManaged.hasPendingOperation = false;
        aManaged.arrivalDeadline = mExecutor.Now();
        aManaged.retryAt = mExecutor.Now() + mOptions.retryDelay;
      }));
}

void
FleetChangeController::SendOrder(ManagedBackend& aManaged,
                                 const coord::Order& aOrder)
{
  if (!mMaySend(aOrder.fence)) {
    ++mCounters.withheld;
    aManaged.hasPendingOperation = false;
    aManaged.arrivalDeadline = mExecutor.Now();
    return;
  }
  ++mCounters.orders;
  aManaged.target.client->SendOrder(
    aOrder,
    WhileLeading(
      [this, &aManaged](const tl::expected<void, EngineError>& aResult) {
        OnOrderSent(aManaged, aResult);
      }));
}

void
FleetChangeController::OnOrderSent(
  ManagedBackend& aManaged,
  const tl::expected<void, EngineError>& aResult)
{
  aManaged.hasPendingOperation = false;
  const bool unknown =
    !aResult && aResult.error().kind == EngineErrorKind::kUnknown;
  const Duration wait = unknown ? mOptions.orderLifetime : Duration::zero();
  aManaged.arrivalDeadline = mExecutor.Now() + wait;
  aManaged.observed.reset();
}

void
FleetChangeController::FinishOrder(ManagedBackend& aManaged,
                                   const coord::Order& aOrder,
                                   coord::OrderResult aResult)
{
  aManaged.hasPendingOperation = true;
  mJournal.Finish(
    *mFence,
    aOrder,
    aResult,
    WhileLeading([this, &aManaged, aOrder, aResult](
                   const tl::expected<void, coord::JournalError>& aWritten) {
      aManaged.hasPendingOperation = false;
      if (aWritten) {
        OnOrderFinished(aManaged, aOrder, aResult);
      }
    }));
}

// Retries a failed order, including one of an earlier holder, at most
// maxRetries times. The engine stays out of service until an order is applied
// or an admit request puts it back into service.
void
FleetChangeController::OnOrderFinished(ManagedBackend& aManaged,
                                       const coord::Order& aOrder,
                                       coord::OrderResult aResult)
{
  if (aResult == coord::OrderResult::kApplied) {
    ++mCounters.applied;
    aManaged.change.reset();
    aManaged.failedOrders = 0;
    return;
  }
  ++mCounters.failed;
  ++aManaged.failedOrders;
  if (aManaged.failedOrders > mOptions.maxRetries) {
    aManaged.change.reset();
    return;
  }
  aManaged.change =
    FleetChange{ .kind = ChangeKind::kOrder, .wanted = aOrder.wanted };
  aManaged.retryAt = mExecutor.Now() + mOptions.retryDelay;
}

void
FleetChangeController::ReadState(ManagedBackend& aManaged)
{
  const Instant now = mExecutor.Now();
  if (aManaged.hasPendingRead ||
      now - aManaged.lastReadAt < mOptions.readInterval) {
    return;
  }
  aManaged.hasPendingRead = true;
  aManaged.target.client->ReadState(
    WhileLeading([&aManaged, now, phase = aManaged.phase](
                   const tl::expected<EngineState, EngineError>& aState) {
      aManaged.hasPendingRead = false;
      aManaged.lastReadAt = now;
      if (aState && aManaged.phase == phase) {
        aManaged.observed = *aState;
      }
    }));
}

const coord::PlanEntry*
FleetChangeController::PlanEntryOf(const ManagedBackend& aManaged) const
{
  return mJournal.State().Find(aManaged.target.id);
}

coord::WantedState
FleetChangeController::ServingStateOf(const ManagedBackend& aManaged) const
{
  const coord::PlanEntry* entry = PlanEntryOf(aManaged);
  return entry != nullptr && entry->serving ? *entry->serving
                                            : aManaged.target.initial;
}

bool
FleetChangeController::NeedsLoad(const ManagedBackend& aManaged) const
{
  coord::WantedState serving = ServingStateOf(aManaged);
  serving.role = aManaged.change->wanted.role;
  return serving != aManaged.change->wanted;
}

const coord::WantedState*
FleetChangeController::ServingState(const BackendId& aBackend) const
{
  const auto it = mBackends.find(aBackend);
  if (it == mBackends.end()) {
    return nullptr;
  }
  const coord::PlanEntry* entry = PlanEntryOf(it->second);
  return entry != nullptr && entry->serving ? &*entry->serving
                                            : &it->second.target.initial;
}

std::vector<BackendStatus>
FleetChangeController::Status() const
{
  std::vector<BackendStatus> all;
  for (const auto& [id, managed] : mBackends) {
    const coord::PlanEntry* entry = PlanEntryOf(managed);
    BackendStatus status;
    status.id = id;
    status.state = entry == nullptr ? kOpen : entry->state;
    status.serving = ServingStateOf(managed);
    status.inFlight = mReports.InFlight(id);
    if (entry != nullptr) {
      status.lastOrder = entry->lastOrder;
      status.lastFence = entry->lastFence;
    }
    if (managed.change) {
      status.change = managed.change->kind;
    }
    if (status.state == kClosing) {
      status.unacknowledgedHosts = mReports.UnacknowledgedHosts(entry->version);
    }
    all.push_back(std::move(status));
  }
  return all;
}

} // namespace firefly
