#include "policy/backend_holdoff.h"

#include <algorithm>

namespace firefly::policy {

BackendHoldoff::BackendHoldoff(Options aOptions)
  : mOptions(aOptions)
{
}

void
BackendHoldoff::OnLeaving(const BackendRun& aRun, Instant aNow)
{
  Insert(aRun, aNow).isLeaving = true;
}

void
BackendHoldoff::OnAskedToWait(const BackendRun& aRun,
                              Duration aWait,
                              Instant aNow)
{
  if (aWait <= Duration::zero()) {
    return;
  }
  auto& until = Insert(aRun, aNow).waitsUntil;
  const auto asked = aNow + std::min(aWait, mOptions.maxWait);
  until = std::max(until.value_or(asked), asked);
}

void
BackendHoldoff::OnAccepted(const BackendRun& aRun, Instant aNow)
{
  // An answer to an earlier request may arrive while the backend server waits.
  if (StateOf(aRun, aNow) == HoldoffState::kProbation) {
    mRecords.erase(aRun);
  }
}

void
BackendHoldoff::Forget(const BackendId& aId)
{
  std::erase_if(mRecords,
                [&](const auto& aRecord) { return aRecord.first.id == aId; });
}

HoldoffState
BackendHoldoff::StateOf(const BackendRun& aRun, Instant aNow) const
{
  const auto it = mRecords.find(aRun);
  if (it == mRecords.end()) {
    return HoldoffState::kNone;
  }
  if (it->second.isLeaving) {
    return HoldoffState::kLeaving;
  }
  return aNow < it->second.waitsUntil ? HoldoffState::kWaiting
                                      : HoldoffState::kProbation;
}

std::optional<Instant>
BackendHoldoff::WaitsUntil(const BackendRun& aRun) const
{
  const auto it = mRecords.find(aRun);
  return it == mRecords.end() ? std::nullopt : it->second.waitsUntil;
}

BackendHoldoff::Record&
BackendHoldoff::Insert(const BackendRun& aRun, Instant aNow)
{
  if (!mRecords.contains(aRun) && mRecords.size() >= mOptions.maxRecords) {
    mRecords.erase(std::ranges::min_element(
      mRecords, {}, [](const auto& aIt) { return aIt.second.changed; }));
  }
  auto& record = mRecords[aRun];
  record.changed = aNow;
  return record;
}

} // namespace firefly::policy
