// What the router does about requests that may crash backend servers: holding
// back those with suspected traits, and running suspects one at a time.

#include <algorithm>
#include <functional>

#include "policy/request_router.h"

#include <utility>

namespace firefly::policy {

bool
RequestRouter::EndIfHeld(const RequestId& aId, Instant aNow)
{
  const auto& request = mRequests.at(aId);
  const auto decision = mPolicies.crashCorrelator->Decide(request.info, aNow);
  if (request.isTrial || decision.verdict != CrashVerdict::kHeld) {
    return false;
  }
  if (request.mayHaveRun) {
    Fail(aId, FailureReason::kQuarantined);
  } else {
    Refuse(aId, RefusalReason::kQuarantined, decision.retryAfter);
  }
  return true;
}

void
RequestRouter::EndHeldRequests(Instant aNow)
{
  if (!mPolicies.crashCorrelator->HoldsAny(aNow)) {
    return;
  }
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : mRequests) {
    if (request.answeringAttempt.Value() == 0 && !request.isTrial) {
      waiting.push_back(id);
    }
  }
  for (const auto& id : waiting) {
    const auto it = mRequests.find(id);
    if (it == mRequests.end() ||
        mPolicies.crashCorrelator->Decide(it->second.info, aNow).verdict !=
          CrashVerdict::kHeld) {
      continue;
    }
    auto& request = it->second;
    request.mayHaveRun =
      request.mayHaveRun ||
      std::ranges::any_of(request.attempts, [](const auto& aAttempt) {
        return aAttempt.second.phase != WorkPhase::kPrefill;
      });
    CancelOthers(request, AttemptNumber(0), aNow);
    EndIfHeld(id, aNow);
    EndSuspectRun(id, aNow);
  }
}

void
RequestRouter::ReportHarmless(const Request& aRequest,
                              Attempt& aAttempt,
                              Instant aNow)
{
  if (aAttempt.isHarmless) {
    return;
  }
  aAttempt.isHarmless = true;
  mPolicies.crashCorrelator->OnHarmless(
    aRequest.info, aAttempt.firstToken, aNow);
  AnnounceCrashChanges();
}

void
RequestRouter::OnCrashEvidence(const Request& aRequest,
                               Instant aDispatched,
                               Instant aNow)
{
  mCrashEvidence.push_back(
    { .info = aRequest.info, .dispatched = aDispatched, .at = aNow });
  ResolveCrashEvidence();
}

void
RequestRouter::ResolveCrashEvidence()
{
  const auto link = mSink.Link();
  if (mCrashEvidence.empty() || link == LinkState::kInDoubt) {
    return;
  }
  const auto evidence = std::exchange(mCrashEvidence, {});
  if (link == LinkState::kCutOff) {
    return; // the connections broke with this host's own links
  }
  for (const auto& it : evidence) {
    mPolicies.crashCorrelator->OnCrash(it.info, it.dispatched, it.at);
  }
  AnnounceCrashChanges();
}

void
RequestRouter::AnnounceCrashChanges()
{
  const auto changes = mPolicies.crashCorrelator->TakeChanges();
  if (!changes.empty()) {
    mSink.AnnounceCrashSuspicions(changes);
  }
}

void
RequestRouter::OnPeerCrashSuspicions(
  const std::vector<CrashSuspicion>& aSuspicions,
  Instant aNow)
{
  mPolicies.crashCorrelator->OnPeerReport(aSuspicions, aNow);
  EndHeldRequests(aNow);
}

void
RequestRouter::QueueSuspect(const RequestId& aId, Instant aNow)
{
  if (mSuspectQueue.empty()) {
    mSuspectQueueSince = aNow;
  }
  mSuspectQueue.push_back(aId);
  StartNextSuspect(aNow);
}

void
RequestRouter::EndSuspectRun(const RequestId& aId, Instant aNow)
{
  if (mRunningSuspect == aId) {
    mRunningSuspect = {};
    StartNextSuspect(aNow);
  }
}

std::vector<BackendSlot>
RequestRouter::SuspectCandidates(const Request& aRequest, Instant aNow) const
{
  std::vector<BackendSlot> candidates;
  const auto& failed = aRequest.failedBackends;
  const auto& all = mFleet.All();
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    const BackendSlot slot(i);
    if (all[i].state == BackendState::kOpen && all[i].Serves(aRequest.info) &&
        std::find(failed.begin(), failed.end(), slot) == failed.end()) {
      candidates.push_back(slot);
    }
  }
  const auto isAlive = [&](BackendSlot aSlot) {
    return !mCrashes.HasCrashed(aSlot, aNow);
  };
  if (std::ranges::any_of(candidates, isAlive)) {
    std::erase_if(candidates, std::not_fn(isAlive));
  }
  // Sorted by hash, so that all entries use the same order although their slots
  // differ.
  std::sort(
    candidates.begin(), candidates.end(), [this](auto aLeft, auto aRight) {
      return mFleet.HashAt(aLeft) < mFleet.HashAt(aRight);
    });
  return candidates;
}

void
RequestRouter::StartNextSuspect(Instant aNow)
{
  if (mSuspectQueue.empty() || !mRunningSuspect.Value().empty()) {
    return;
  }
  const auto id = mSuspectQueue.front();
  const auto it = mRequests.find(id);
  if (it == mRequests.end()) {
    mSuspectQueue.erase(mSuspectQueue.begin());
    StartNextSuspect(aNow);
    return;
  }
  auto& request = it->second;
  const auto candidates = SuspectCandidates(request, aNow);
  if (candidates.empty()) {
    mSuspectQueue.erase(mSuspectQueue.begin());
    Fail(id, FailureReason::kAttemptsExhausted);
    StartNextSuspect(aNow);
    return;
  }
  // Each entry runs its suspects on a backend server of its own. If there are
  // fewer backend servers than entries, the entries take turns on them.
  const auto self = std::find(mEntries.begin(), mEntries.end(), mOptions.self);
  const auto rank = static_cast<std::size_t>(self - mEntries.begin());
  const auto turn = static_cast<std::int64_t>(rank / candidates.size());
  if (aNow < mSuspectQueueSince + turn * mOptions.suspectTurnInterval) {
    return;
  }
  mSuspectQueue.erase(mSuspectQueue.begin());
  mRunningSuspect = id;
  const auto slot = candidates[rank % candidates.size()];
  Start(request,
        { .slot = slot,
          .backend = mFleet.At(slot).id,
          .expectedWait = {},
          .expectedGap = {},
          .cachedTokens = {} },
        false,
        aNow);
}

} // namespace firefly::policy
