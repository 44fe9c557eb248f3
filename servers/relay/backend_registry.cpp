#include "servers/relay/backend_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace firefly {

namespace {

// Removed runs are remembered for this time, and no more than this many of
// them.
constexpr Duration kRemovedMemory = std::chrono::minutes(5);
constexpr std::size_t kMaxRemovedRuns = 4096;

policy::BackendState
StateOf(const BackendRecord& aRecord)
{
  return aRecord.isLeaving ? policy::BackendState::kDraining
                           : policy::BackendState::kOpen;
}

std::string
DescribeState(const BackendRecord& aRecord)
{
  return aRecord.isLeaving ? "leaving" : "open";
}

} // namespace

ModelId
ScopedModel(const ServiceId& aService, const std::string& aModel)
{
  return ModelId(aService.Value() + "/" + aModel);
}

BackendRegistry::BackendRegistry(Options aOptions,
                                 Executor& aExecutor,
                                 policy::FleetView& aFleet,
                                 BackendPool& aPool)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mFleet(aFleet)
  , mPool(aPool)
{
}

bool
BackendRegistry::Apply(const BackendRecord& aRecord)
{
  if (IsDoubtful(aRecord)) {
    mDoubtful[aRecord.id] = aRecord;
    return false;
  }
  mDoubtful.erase(aRecord.id);
  const bool lapsed = mPendingRemovals.erase(aRecord.id) > 0;
  const auto it = mRecords.find(aRecord.id);
  const bool known = it != mRecords.end();
  const bool changed = !known || it->second.slots != aRecord.slots ||
                       it->second.models != aRecord.models ||
                       it->second.isLeaving != aRecord.isLeaving ||
                       it->second.service != aRecord.service ||
                       it->second.domain != aRecord.domain ||
                       it->second.address != aRecord.address ||
                       it->second.startedAt != aRecord.startedAt ||
                       it->second.version != aRecord.version ||
                       it->second.role != aRecord.role;
  if (known && (it->second.address != aRecord.address ||
                it->second.startedAt != aRecord.startedAt)) {
    mPool.CloseIdle(aRecord.id);
  }
  if (known && it->second.startedAt != aRecord.startedAt) {
    mHoldoff.Forget(aRecord.id);
  }
  const bool isOtherVersion = known && (it->second.version != aRecord.version ||
                                        it->second.service != aRecord.service);
  mRecords[aRecord.id] = aRecord;
  if (mStreamOrigins != nullptr) {
    mStreamOrigins->OnBackend(
      aRecord.id,
      aRecord.service,
      policy::SoftwareVersionOf(aRecord.service, aRecord.version),
      mExecutor.Now());
  }
  if (aRecord.isLeaving && aRecord.startedAt != 0) {
    // A run that is leaving does not come back, whatever an older record says.
    mHoldoff.OnLeaving({ .id = aRecord.id, .startedAt = aRecord.startedAt },
                       mExecutor.Now());
  }
  Publish(aRecord);
  if (isOtherVersion && mOnVersionChange) {
    mOnVersionChange(aRecord.id);
  }
  if (changed) {
    mLog.Info("backend server changed",
              { { "backend", aRecord.id.Value() },
                { "service", aRecord.service.Value() },
                { "address", aRecord.address.Value() },
                { "version", aRecord.version },
                { "state", DescribeState(aRecord) } });
  }
  return changed || lapsed;
}

void
BackendRegistry::Publish(const BackendRecord& aRecord)
{
  policy::Backend backend;
  backend.id = aRecord.id;
  backend.startedAt = aRecord.startedAt;
  backend.softwareVersion =
    policy::SoftwareVersionOf(aRecord.service, aRecord.version);
  backend.domain = aRecord.domain;
  backend.state = StateOf(aRecord);
  const policy::BackendRun run{ .id = aRecord.id,
                                .startedAt = aRecord.startedAt };
  const auto holdoff = mHoldoff.StateOf(run, mExecutor.Now());
  if (holdoff == policy::HoldoffState::kLeaving ||
      holdoff == policy::HoldoffState::kWaiting) {
    backend.state = policy::BackendState::kDraining;
  }
  if (holdoff == policy::HoldoffState::kWaiting && !aRecord.isLeaving) {
    backend.reopensAt = mHoldoff.WaitsUntil(run);
  }
  if (aRecord.role) {
    backend.kind = policy::BackendKind::kEngine;
    backend.role = *aRecord.role;
    backend.isPrefillOnly = aRecord.role == policy::EngineRole::kPrefill;
    backend.capacity = mOptions.capacities.Of(*aRecord.role);
    for (const auto& model : aRecord.models) {
      backend.models.push_back(ScopedModel(aRecord.service, model));
    }
  } else {
    backend.kind = policy::BackendKind::kPlain;
    backend.services = { aRecord.service };
  }
  const bool isOnProbation = holdoff == policy::HoldoffState::kProbation;
  backend.capacity.slots = isOnProbation ? 1 : aRecord.slots;
  mFleet.Upsert(std::move(backend));
}

void
BackendRegistry::PublishIfKnown(const policy::BackendRun& aRun)
{
  const auto it = mRecords.find(aRun.id);
  if (it != mRecords.end() && it->second.startedAt == aRun.startedAt) {
    Publish(it->second);
  }
}

void
BackendRegistry::OnLeaving(const policy::BackendRun& aRun)
{
  const auto now = mExecutor.Now();
  if (mHoldoff.StateOf(aRun, now) == policy::HoldoffState::kLeaving) {
    return;
  }
  mHoldoff.OnLeaving(aRun, now);
  PublishIfKnown(aRun);
  mLog.Info("backend server says that it is leaving",
            { { "backend", aRun.id.Value() } });
}

void
BackendRegistry::OnAskedToWait(const policy::BackendRun& aRun, Duration aWait)
{
  const auto now = mExecutor.Now();
  const bool isNew =
    mHoldoff.StateOf(aRun, now) != policy::HoldoffState::kWaiting;
  mHoldoff.OnAskedToWait(aRun, aWait, now);
  const auto until = mHoldoff.WaitsUntil(aRun);
  if (!until || *until <= now) {
    return;
  }
  PublishIfKnown(aRun);
  mReopenTimers[aRun.id] =
    mExecutor.RunAfter(*until - now, [this, aRun] { PublishIfKnown(aRun); });
  if (isNew) {
    mLog.Info("backend server asks for no requests",
              { { "backend", aRun.id.Value() },
                { "seconds", std::to_string(ToSeconds(*until - now)) } });
  }
}

void
BackendRegistry::OnAccepted(const policy::BackendRun& aRun)
{
  if (mHoldoff.StateOf(aRun, mExecutor.Now()) ==
      policy::HoldoffState::kProbation) {
    mHoldoff.OnAccepted(aRun, mExecutor.Now());
    PublishIfKnown(aRun);
  }
}

policy::BackendRun
BackendRegistry::RunOf(const BackendId& aId) const
{
  const auto* record = Find(aId);
  return { .id = aId, .startedAt = record == nullptr ? 0 : record->startedAt };
}

bool
BackendRegistry::IsDoubtful(const BackendRecord& aRecord) const
{
  if (mExecutor.Now() >= mRestoreGraceEnd || aRecord.startedAt == 0) {
    return false;
  }
  const auto* known = Find(aRecord.id);
  return known != nullptr
           ? aRecord.startedAt < known->startedAt
           : mRemovedRuns.contains(
               { .id = aRecord.id, .startedAt = aRecord.startedAt });
}

void
BackendRegistry::OnLogRestored()
{
  mRestoreGraceEnd = mExecutor.Now() + mOptions.restoreGrace;
  mRestoreTimer =
    mExecutor.RunAfter(mOptions.restoreGrace, [this] { ApplyDoubtful(); });
}

void
BackendRegistry::ApplyDoubtful()
{
  for (const auto& [id, record] : std::exchange(mDoubtful, {})) {
    Apply(record);
  }
}

bool
BackendRegistry::Remove(const BackendId& aId)
{
  mDoubtful.erase(aId);
  return RemoveAt(aId, mGraceEnd);
}

bool
BackendRegistry::RemoveAt(const BackendId& aId, Instant aTime)
{
  if (!mRecords.contains(aId)) {
    return false;
  }
  if (mExecutor.Now() < aTime) {
    const auto [it, isNew] = mPendingRemovals.try_emplace(aId, aTime);
    it->second = std::min(it->second, aTime);
    RemovePending();
  } else {
    RemoveNow(aId, "record removed");
  }
  return true;
}

void
BackendRegistry::RemoveAllExcept(const std::vector<std::string>& aIds)
{
  const std::set<std::string> kept(aIds.begin(), aIds.end());
  std::vector<BackendId> gone;
  for (const auto& [id, record] : mRecords) {
    if (!kept.contains(id.Value())) {
      gone.push_back(id);
    }
  }
  const auto due = std::max(mGraceEnd, mRestoreGraceEnd);
  for (const auto& id : gone) {
    RemoveAt(id, due);
  }
  std::erase_if(mDoubtful, [&](const auto& aIt) {
    return !kept.contains(aIt.first.Value());
  });
}

void
BackendRegistry::OnLogRegained()
{
  mGraceEnd = mExecutor.Now() + mOptions.returnGrace;
}

void
BackendRegistry::RemovePending()
{
  const auto now = mExecutor.Now();
  std::optional<Instant> next;
  for (const auto& [id, due] : std::map(mPendingRemovals)) {
    if (due <= now) {
      mPendingRemovals.erase(id);
      RemoveNow(id, "record still missing after the log outage");
    } else {
      next = std::min(next.value_or(due), due);
    }
  }
  if (next) {
    mTimer = mExecutor.RunAfter(*next - now, [this] { RemovePending(); });
  }
}

void
BackendRegistry::RemoveNow(const BackendId& aId, const std::string& aWhy)
{
  const auto it = mRecords.find(aId);
  if (it == mRecords.end()) {
    return;
  }
  if (it->second.startedAt == 0) {
    mHoldoff.Forget(aId); // another run could not be told from this one
  }
  const auto now = mExecutor.Now();
  std::erase_if(mRemovedRuns, [&](const auto& aIt) {
    return aIt.second + kRemovedMemory < now;
  });
  if (mRemovedRuns.size() < kMaxRemovedRuns) {
    mRemovedRuns[{ .id = aId, .startedAt = it->second.startedAt }] = now;
  }
  if (mStreamOrigins != nullptr) {
    mStreamOrigins->OnBackendGone(aId, now);
  }
  mPendingRemovals.erase(aId);
  mRecords.erase(it);
  mReopenTimers.erase(aId);
  mFleet.Remove(aId);
  mPool.CloseIdle(aId);
  mLog.Info("backend server gone",
            { { "backend", aId.Value() }, { "why", aWhy } });
}

const BackendRecord*
BackendRegistry::Find(const BackendId& aId) const
{
  const auto it = mRecords.find(aId);
  return it == mRecords.end() ? nullptr : &it->second;
}

} // namespace firefly
