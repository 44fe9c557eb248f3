#include "servers/steward/fleet_changes.h"

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

FleetChanges::FleetChanges(Options aOptions,
                           Executor& aExecutor,
                           coord::OrderJournal& aJournal,
                           EntryReports& aReports,
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
FleetChanges::Add(Target aTarget)
{
  const BackendId id = aTarget.id;
  mWork[id].target = std::move(aTarget);
}

void
FleetChanges::Lead(FencingNumber aFence)
{
  StepDown();
  mFence = aFence;
  mLeadingSince = mExecutor.Now();
}

void
FleetChanges::StepDown()
{
  ++mTerm;
  mFence.reset();
  for (auto& [id, work] : mWork) {
    if (work.target.link != nullptr) {
      work.target.link->Reset();
    }
    Target target = std::move(work.target);
    work = Work{};
    work.target = std::move(target);
  }
}

tl::expected<void, ChangeError>
FleetChanges::Request(const BackendId& aBackend, FleetChange aChange)
{
  if (!mFence) {
    return Refuse(ChangeErrorKind::kNotLeading, "this steward doesn't lead");
  }
  const auto it = mWork.find(aBackend);
  if (it == mWork.end()) {
    return Refuse(ChangeErrorKind::kUnknownBackend,
                  "no backend server " + aBackend.Value());
  }
  Work& work = it->second;
  const bool order = aChange.kind == ChangeKind::kOrder;
  if (order && work.target.link == nullptr) {
    return Refuse(ChangeErrorKind::kForbidden,
                  aBackend.Value() + " takes no orders");
  }
  // Admitting also takes a drain back that has not come to its end.
  const bool takesBack = aChange.kind == ChangeKind::kAdmit && work.change &&
                         work.change->kind == ChangeKind::kDrain;
  if (work.change && !takesBack) {
    return Refuse(ChangeErrorKind::kBusy,
                  "a change of " + aBackend.Value() + " is under way");
  }
  work.change = std::move(aChange);
  work.failures = 0;
  return {};
}

void
FleetChanges::Tick()
{
  if (!mFence) {
    return;
  }
  for (auto& [id, work] : mWork) {
    NotePhase(work);
    if (!work.busy) {
      Step(work);
    }
  }
}

void
FleetChanges::NotePhase(Work& aWork)
{
  const coord::PlanEntry* entry = EntryOf(aWork);
  const std::string state = entry == nullptr ? kOpen : entry->state;
  if (state == aWork.phase) {
    return;
  }
  // An order that was open when this holder began is an earlier one's; that
  // one's bytes were gone before this one could claim.
  if (state == kSettling && aWork.phase.empty()) {
    ++mCounters.settled;
    aWork.settleAfter = mExecutor.Now();
  }
  aWork.phase = state;
  aWork.phaseSince = mExecutor.Now();
  aWork.seen.reset();
}

void
FleetChanges::Step(Work& aWork)
{
  if (aWork.phase == kOpen) {
    StepOpen(aWork);
  } else if (aWork.phase == kClosing) {
    StepClosing(aWork);
  } else if (aWork.phase == kDraining) {
    StepDraining(aWork);
  } else if (aWork.phase == kOrdering) {
    StepOrdering(aWork);
  } else if (aWork.phase == kSettling) {
    StepSettling(aWork);
  } else if (aWork.phase == kOut) {
    StepOut(aWork);
  }
}

void
FleetChanges::StepOpen(Work& aWork)
{
  if (!aWork.change) {
    return;
  }
  if (aWork.change->kind == ChangeKind::kAdmit) {
    aWork.change.reset();
    return;
  }
  Advance(aWork, "close");
}

void
FleetChanges::StepClosing(Work& aWork)
{
  const bool wanted = aWork.change && aWork.change->kind != ChangeKind::kAdmit;
  if (!wanted) {
    Cancel(aWork);
    return;
  }
  if (mExecutor.Now() - mLeadingSince < mOptions.reportWait) {
    return;
  }
  const coord::LogOffset version = EntryOf(aWork)->version;
  if (mReports.Missing(version).empty()) {
    Advance(aWork, "acknowledged");
  }
}

void
FleetChanges::StepDraining(Work& aWork)
{
  const bool wanted = aWork.change && aWork.change->kind != ChangeKind::kAdmit;
  const bool late = mExecutor.Now() - aWork.phaseSince > mOptions.drainTimeout;
  if (!wanted || late) {
    Cancel(aWork);
    return;
  }
  if (mReports.InFlight(aWork.target.id) > 0) {
    return;
  }
  if (aWork.target.link == nullptr) {
    Advance(aWork, "idle");
    return;
  }
  ReadState(aWork);
  if (aWork.seen && aWork.seen->running == 0) {
    Advance(aWork, "idle");
  }
}

void
FleetChanges::StepOrdering(Work& aWork)
{
  if (!aWork.change || aWork.change->kind == ChangeKind::kAdmit) {
    Cancel(aWork);
    return;
  }
  if (aWork.change->kind == ChangeKind::kDrain) {
    aWork.change.reset();
    Advance(aWork, "withdraw");
    return;
  }
  Order(aWork);
}

void
FleetChanges::StepOut(Work& aWork)
{
  if (!aWork.change) {
    return;
  }
  if (aWork.change->kind == ChangeKind::kOrder) {
    Order(aWork);
    return;
  }
  const bool admit = aWork.change->kind == ChangeKind::kAdmit;
  aWork.change.reset();
  if (admit) {
    Advance(aWork, "admit");
  }
}

// Reads the engine's own state until it tells what became of the order.
void
FleetChanges::StepSettling(Work& aWork)
{
  const coord::PlanEntry* entry = EntryOf(aWork);
  if (!entry->open || aWork.target.link == nullptr) {
    return;
  }
  ReadState(aWork);
  if (!aWork.seen || aWork.seen->changing) {
    return;
  }
  const coord::Order order = *entry->open;
  const EngineState& seen = *aWork.seen;
  const bool known = seen.lastOrder == order.id && seen.fence == order.fence;
  if (known && seen.Serves(order.wanted)) {
    Finish(aWork, order, coord::OrderResult::kApplied);
    return;
  }
  const bool over = aWork.readAt > aWork.settleAfter;
  if (known || over) {
    Finish(aWork, order, coord::OrderResult::kFailed);
  }
}

void
FleetChanges::Advance(Work& aWork, const std::string& aEvent)
{
  aWork.busy = true;
  mJournal.Advance(
    *mFence,
    aWork.target.id,
    aEvent,
    WhileLeading([&aWork](const tl::expected<void, coord::JournalError>&) {
      // Whatever came of it: the next tick goes on from the plan.
      aWork.busy = false;
    }));
}

void
FleetChanges::Cancel(Work& aWork)
{
  ++mCounters.cancelled;
  aWork.change.reset();
  Advance(aWork, "cancel");
}

void
FleetChanges::Order(Work& aWork)
{
  if (mExecutor.Now() < aWork.retryAt) {
    return;
  }
  if (!NeedsLoad(aWork)) {
    BeginOrder(aWork);
    return;
  }
  aWork.busy = true;
  mStore.Reserve(
    aWork.change->wanted.model,
    WhileLeading(
      [this, &aWork](const tl::expected<void, PlatformError>& aResult) {
        OnReserved(aWork, aResult);
      }));
}

void
FleetChanges::OnReserved(Work& aWork,
                         const tl::expected<void, PlatformError>& aResult)
{
  aWork.busy = false;
  if (aResult) {
    BeginOrder(aWork);
    return;
  }
  const Duration wait =
    std::max(aResult.error().retryAfter, mOptions.retryDelay);
  aWork.retryAt = mExecutor.Now() + wait;
}

void
FleetChanges::BeginOrder(Work& aWork)
{
  aWork.busy = true;
  // Until the order was sent, one that the engine doesn't know is not over.
  aWork.settleAfter = Instant::max();
  mJournal.Begin(
    *mFence,
    aWork.target.id,
    aWork.change->wanted,
    WhileLeading(
      [this,
       &aWork](const tl::expected<coord::Order, coord::JournalError>& aOrder) {
        if (aOrder) {
          Send(aWork, *aOrder);
          return;
        }
        // The record may still come into effect; the order was not sent.
        aWork.busy = false;
        aWork.settleAfter = mExecutor.Now();
        aWork.retryAt = mExecutor.Now() + mOptions.retryDelay;
      }));
}

void
FleetChanges::Send(Work& aWork, const coord::Order& aOrder)
{
  if (!mMaySend(aOrder.fence)) {
    ++mCounters.withheld;
    aWork.busy = false;
    aWork.settleAfter = mExecutor.Now();
    return;
  }
  ++mCounters.orders;
  aWork.target.link->SendOrder(
    aOrder,
    WhileLeading(
      [this, &aWork](const tl::expected<void, EngineError>& aResult) {
        OnSent(aWork, aResult);
      }));
}

void
FleetChanges::OnSent(Work& aWork,
                     const tl::expected<void, EngineError>& aResult)
{
  aWork.busy = false;
  const bool unknown =
    !aResult && aResult.error().kind == EngineErrorKind::kUnknown;
  const Duration wait = unknown ? mOptions.orderLifetime : Duration::zero();
  aWork.settleAfter = mExecutor.Now() + wait;
  aWork.seen.reset();
}

void
FleetChanges::Finish(Work& aWork,
                     const coord::Order& aOrder,
                     coord::OrderResult aResult)
{
  aWork.busy = true;
  mJournal.Finish(
    *mFence,
    aOrder,
    aResult,
    WhileLeading([this, &aWork, aOrder, aResult](
                   const tl::expected<void, coord::JournalError>& aWritten) {
      aWork.busy = false;
      if (aWritten) {
        NoteResult(aWork, aOrder, aResult);
      }
    }));
}

// An order that failed is given again, also an earlier holder's: the engine is
// out of service meanwhile.
void
FleetChanges::NoteResult(Work& aWork,
                         const coord::Order& aOrder,
                         coord::OrderResult aResult)
{
  if (aResult == coord::OrderResult::kApplied) {
    ++mCounters.applied;
    aWork.change.reset();
    aWork.failures = 0;
    return;
  }
  ++mCounters.failed;
  ++aWork.failures;
  if (aWork.failures > mOptions.maxRetries) {
    aWork.change.reset();
    return;
  }
  aWork.change =
    FleetChange{ .kind = ChangeKind::kOrder, .wanted = aOrder.wanted };
  aWork.retryAt = mExecutor.Now() + mOptions.retryDelay;
}

void
FleetChanges::ReadState(Work& aWork)
{
  const Instant now = mExecutor.Now();
  if (aWork.reading || now - aWork.readAt < mOptions.readInterval) {
    return;
  }
  aWork.reading = true;
  aWork.target.link->ReadState(
    WhileLeading([&aWork, now, phase = aWork.phase](
                   const tl::expected<EngineState, EngineError>& aState) {
      aWork.reading = false;
      aWork.readAt = now;
      if (aState && aWork.phase == phase) {
        aWork.seen = *aState;
      }
    }));
}

const coord::PlanEntry*
FleetChanges::EntryOf(const Work& aWork) const
{
  return mJournal.State().Find(aWork.target.id);
}

coord::WantedState
FleetChanges::ServingOf(const Work& aWork) const
{
  const coord::PlanEntry* entry = EntryOf(aWork);
  return entry != nullptr && entry->serving ? *entry->serving
                                            : aWork.target.initial;
}

bool
FleetChanges::NeedsLoad(const Work& aWork) const
{
  coord::WantedState serving = ServingOf(aWork);
  serving.role = aWork.change->wanted.role;
  return serving != aWork.change->wanted;
}

const coord::WantedState*
FleetChanges::Serving(const BackendId& aBackend) const
{
  const auto it = mWork.find(aBackend);
  if (it == mWork.end()) {
    return nullptr;
  }
  const coord::PlanEntry* entry = EntryOf(it->second);
  return entry != nullptr && entry->serving ? &*entry->serving
                                            : &it->second.target.initial;
}

std::vector<BackendStatus>
FleetChanges::Status() const
{
  std::vector<BackendStatus> all;
  for (const auto& [id, work] : mWork) {
    const coord::PlanEntry* entry = EntryOf(work);
    BackendStatus status;
    status.id = id;
    status.state = entry == nullptr ? kOpen : entry->state;
    status.serving = ServingOf(work);
    status.inFlight = mReports.InFlight(id);
    if (entry != nullptr) {
      status.lastOrder = entry->lastOrder;
      status.lastFence = entry->lastFence;
    }
    if (work.change) {
      status.change = work.change->kind;
    }
    if (status.state == kClosing) {
      status.waitsFor = mReports.Missing(entry->version);
    }
    all.push_back(std::move(status));
  }
  return all;
}

} // namespace firefly
