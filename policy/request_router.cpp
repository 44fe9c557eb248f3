#include "policy/request_router.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <utility>

#include "policy/rate_limit/rate_limited_selection.h"

namespace firefly::policy {

namespace {

AttemptCause
CauseAfter(AttemptError aError)
{
  switch (aError) {
    case AttemptError::kBroken:
      return AttemptCause::kRetryAfterBreak;
    case AttemptError::kNotSent:
      return AttemptCause::kRetryUnsent;
    default:
      return AttemptCause::kRetry;
  }
}

// The interval at which the selector is notified again about an overdue
// attempt.
constexpr Duration kOverdueNoticeInterval = std::chrono::milliseconds(250);
// A queued request counts as late when less time than this is left until its
// first-token deadline, and is refused when less is left until its caller gives
// up.
constexpr Duration kMinServiceTime = std::chrono::milliseconds(40);
// Weight of a new answer in the average time of a plain service.
constexpr double kPlainTimeWeight = 0.1;
// An attempt that has produced this much output is not why its backend server
// crashes.
constexpr Tokens kHarmlessOutput(16);
// Callers that are refused until a backend server is open again are asked to
// return within this time after that.
constexpr Duration kReturnSpread = std::chrono::seconds(1);
constexpr std::size_t kRoleCount = 3;
// Maximum number of separate prefills of one request; after that it runs as a
// whole.
constexpr std::uint32_t kMaxPrefillAttempts = 1;
// Prefilling a prompt on an engine that decodes stalls all of its output
// streams. A stall of this part of the longest pause for which their answers
// are in time is acceptable, and so are kHarmlessPromptTokens uncached tokens;
// the prefill time of the tokens beyond counts kStallWeight times.
constexpr double kHarmlessStallShare = 0.1;
constexpr double kHarmlessPromptTokens = 300; // tokens
constexpr double kStallWeight = 20.0;

} // namespace

const char*
ToString(AttemptCause aCause)
{
  switch (aCause) {
    case AttemptCause::kFirst:
      return "first";
    case AttemptCause::kRetry:
      return "retry";
    case AttemptCause::kRetryAfterBreak:
      return "retry_after_break";
    case AttemptCause::kRetryUnsent:
      return "retry_unsent";
    case AttemptCause::kHedge:
      return "hedge";
    case AttemptCause::kResume:
      return "resume";
  }
  return "";
}

std::string_view
ToString(FailureReason aReason)
{
  switch (aReason) {
    case FailureReason::kOutcomeUnknown:
      return "outcome-unknown";
    case FailureReason::kAttemptsExhausted:
      return "attempts-exhausted";
    case FailureReason::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

RequestRouter::RequestRouter(Options aOptions,
                             PolicySet aPolicies,
                             const FleetView& aFleet,
                             RouterSink& aSink)
  : mOptions(std::move(aOptions))
  , mPolicies(std::move(aPolicies))
  , mFleet(aFleet)
  , mSink(aSink)
  , mEntries{ mOptions.self }
{
}

void
RequestRouter::OnArrival(RequestInfo aRequest, Instant aNow)
{
  const auto id = aRequest.requestId;
  auto& request = mRequests[id];
  request.info = std::move(aRequest);
  const auto& info = request.info;
  const auto verdict =
    mPolicies.poisonQuarantine->VerdictOf(info.fingerprint, aNow);
  if (verdict == PoisonVerdict::kQuarantined) {
    Refuse(id, RefusalReason::kQuarantined, {});
    return;
  }
  if (EndIfHeld(id, aNow)) {
    return;
  }
  if (info.NeedsEngine()) {
    request.size = mPolicies.estimator->Estimate(info);
    const auto cached = mPolicies.selector->ExpectedCached(info);
    const Tokens uncached(info.promptTokens.Value() - cached.Value());
    request.lane = LaneOf(uncached, request.size);
  }
  auto permit = mPolicies.limits->TryStart(info, aNow);
  if (!permit) {
    const auto reason = permit.error().isCustomerRow
                          ? RefusalReason::kCustomerLimit
                          : RefusalReason::kTypeLimit;
    Refuse(id, reason, permit.error().retryAfter);
    return;
  }
  request.permit = std::move(*permit);
  const auto& crashes = mPolicies.crashCorrelator;
  if (crashes->Decide(info, aNow).verdict == CrashVerdict::kTrial) {
    request.isTrial = true;
    crashes->OnTrial(info, aNow);
    AnnounceCrashChanges();
  }
  if (verdict == PoisonVerdict::kSuspect) {
    QueueSuspect(id, aNow);
    return;
  }
  Admit(request, aNow);
}

void
RequestRouter::Admit(Request& aRequest, Instant aNow)
{
  const auto id = aRequest.info.requestId;
  const auto choice = Choose(aRequest, QueryFor(aRequest), aNow);
  if (!choice && choice.error().failure == SelectFailure::kNoBackend) {
    Refuse(
      id, RefusalReason::kNoBackend, TimeUntilReopened(aRequest.info, aNow));
    return;
  }
  if (!choice && choice.error().failure == SelectFailure::kRateLimit) {
    Refuse(id,
           RefusalReason::kRateLimit,
           ReturnAfter(aRequest.info, choice.error().expectedWait));
    return;
  }
  const auto cached = mPolicies.selector->ExpectedCached(aRequest.info);
  aRequest.engineSeconds = EngineSeconds(aRequest, cached);
  mPolicies.selector->OnArrival(aRequest.info);
  if (aRequest.info.NeedsEngine()) {
    const Tokens uncached(aRequest.info.promptTokens.Value() - cached.Value());
    mDemand.OnArrival(
      aRequest.info.model, uncached, aRequest.size.median, aNow);
  }
  const auto decision = mPolicies.admission->Decide(
    aRequest.info, Summarize(aRequest, choice), aNow);
  if (decision.action == AdmissionAction::kRefuse) {
    Refuse(id, decision.reason, decision.retryAfter);
    return;
  }
  mCounters.admitted++;
  if (decision.action == AdmissionAction::kQueue) {
    Enqueue(aRequest);
    DispatchQueued(aNow);
    return;
  }
  CountFirstAttempt(aRequest.info.service);
  Start(aRequest, *choice, false, aNow);
}

bool
RequestRouter::OnFirstToken(const RequestId& aId,
                            AttemptNumber aAttempt,
                            Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return false;
  }
  auto& request = it->second;
  const auto attempt = request.attempts.find(aAttempt);
  if (attempt == request.attempts.end()) {
    return false;
  }
  const bool hasAnswering = request.answeringAttempt.Value() != 0;
  if (hasAnswering && request.answeringAttempt != aAttempt) {
    CancelAttempt(request, aAttempt, aNow);
    return false;
  }
  auto& running = attempt->second;
  const auto wait = aNow - running.dispatched;
  if (!hasAnswering) {
    RecordStage(request, running, aNow);
  }
  if (!request.info.NeedsEngine()) {
    auto& time =
      mPlainTimes.try_emplace(request.info.service, wait).first->second;
    time += FromSeconds(kPlainTimeWeight * ToSeconds(wait - time));
  }
  mCrashes.OnSignOfLife(running.info.slot, running.dispatched);
  mPolicies.selector->OnFirstToken(running.info, wait, aNow);
  mPolicies.hedger->OnFirstToken(running.info.expectedWait, wait);
  running.firstToken = aNow;
  running.lastTokens = aNow;
  request.answeringAttempt = aAttempt;
  request.info.requiredVersion = running.version;
  request.mayHaveRun = true;
  CancelOthers(request, aAttempt, aNow);
  DispatchQueued(aNow);
  return true;
}

void
RequestRouter::OnPromptPrefilled(const RequestId& aId,
                                 AttemptNumber aAttempt,
                                 Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  auto& request = it->second;
  const auto attempt = request.attempts.find(aAttempt);
  if (attempt == request.attempts.end()) {
    return;
  }
  RecordStage(request, attempt->second, aNow);
  auto& info = attempt->second.info;
  mCrashes.OnSignOfLife(info.slot, attempt->second.dispatched);
  mPolicies.selector->OnFirstToken(
    info, aNow - attempt->second.dispatched, aNow);
  mPolicies.selector->OnFinish(info, aNow);
  request.hasKvCache = true;
  request.kvCacheDomain = mFleet.At(info.slot).domain;
  request.attempts.erase(attempt);
  if (EndIfHeld(aId, aNow)) {
    DispatchQueued(aNow);
    return;
  }
  const auto choice = Choose(request, QueryFor(request), aNow);
  if (choice) {
    Start(request, *choice, false, aNow);
  } else {
    RefuseOrFail(aId, RefusalReason::kNoBackend, aNow);
  }
  DispatchQueued(aNow);
}

void
RequestRouter::RecordStage(const Request& aRequest,
                           const Attempt& aAttempt,
                           Instant aNow)
{
  const auto& backend = mFleet.At(aAttempt.info.slot);
  if (!aRequest.info.NeedsEngine() || backend.role == EngineRole::kMixed) {
    return;
  }
  mStageLoads.OnPassed(aRequest.info.model,
                       aAttempt.phase == WorkPhase::kPrefill ? Stage::kPrefill
                                                             : Stage::kDecode,
                       aAttempt.info.prefillTokens.Value() /
                         backend.capacity.prefillTokensPerSecond,
                       aNow - aAttempt.dispatched,
                       aNow);
}

void
RequestRouter::OnTokens(const RequestId& aId,
                        AttemptNumber aAttempt,
                        Tokens aCount,
                        Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end() || it->second.answeringAttempt != aAttempt) {
    return;
  }
  auto& request = it->second;
  const auto attempt = request.attempts.find(aAttempt);
  if (attempt == request.attempts.end() || aCount.Value() == 0) {
    return;
  }
  const auto gap = (aNow - attempt->second.lastTokens) / aCount.Value();
  mPolicies.selector->OnTokens(attempt->second.info, gap, aNow);
  mPolicies.hedger->OnTokenGap(gap);
  attempt->second.lastTokens = aNow;
  attempt->second.produced =
    Tokens(attempt->second.produced.Value() + aCount.Value());
  if (attempt->second.produced >= kHarmlessOutput) {
    ReportHarmless(request, attempt->second, aNow);
  }
  request.deliveredTokens =
    Tokens(request.deliveredTokens.Value() + aCount.Value());
  const auto fingerprint = request.info.fingerprint;
  mPolicies.poisonQuarantine->OnProgress(fingerprint, request.deliveredTokens);
  if (mRunningSuspect == aId && mPolicies.poisonQuarantine->VerdictOf(
                                  fingerprint, aNow) == PoisonVerdict::kClear) {
    EndSuspectRun(aId, aNow);
  }
}

void
RequestRouter::OnVersionChanged(const BackendId& aBackend)
{
  const auto slot = mFleet.SlotOf(aBackend);
  for (auto& [id, request] : mRequests) {
    for (auto& [number, attempt] : request.attempts) {
      if (attempt.info.slot != slot) {
        continue;
      }
      attempt.version = kNoVersion;
      if (request.answeringAttempt == number) {
        request.info.requiredVersion = kNoVersion;
      }
    }
  }
}

void
RequestRouter::OnUnrepeatable(const RequestId& aId)
{
  const auto it = mRequests.find(aId);
  if (it != mRequests.end()) {
    it->second.info.idempotent = false;
  }
}

void
RequestRouter::OnReadPaused(const RequestId& aId,
                            AttemptNumber aAttempt,
                            Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  const auto attempt = it->second.attempts.find(aAttempt);
  if (attempt != it->second.attempts.end()) {
    attempt->second.lastTokens = aNow;
  }
}

void
RequestRouter::OnFinish(const RequestId& aId,
                        AttemptNumber aAttempt,
                        Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  auto& request = it->second;
  const auto attempt = request.attempts.find(aAttempt);
  if (attempt == request.attempts.end()) {
    return;
  }
  mPolicies.selector->OnFinish(attempt->second.info, aNow);
  const auto& backend = mFleet.At(attempt->second.info.slot);
  if (request.info.NeedsEngine() && backend.role != EngineRole::kMixed) {
    mStageLoads.OnDecoded(request.info.model,
                          aNow - attempt->second.firstToken,
                          backend.capacity.slots,
                          aNow);
  }
  ReportHarmless(request, attempt->second, aNow);
  request.attempts.erase(attempt);
  CancelOthers(request, aAttempt, aNow);
  if (request.info.NeedsEngine()) {
    mPolicies.estimator->OnFinish(request.info, request.deliveredTokens);
  }
  mPolicies.poisonQuarantine->OnFinish(request.info.fingerprint);
  RemoveRequest(aId);
  EndSuspectRun(aId, aNow);
  DispatchQueued(aNow);
}

void
RequestRouter::OnError(const RequestId& aId,
                       AttemptNumber aAttempt,
                       AttemptError aError,
                       Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end() || !it->second.attempts.contains(aAttempt)) {
    return;
  }
  EndAttempt(it->second, aAttempt, aError, aNow);
  // Must precede the retry, which may start this request as the running suspect
  // again.
  if (mRunningSuspect == aId) {
    mRunningSuspect = {};
  }
  if (it->second.attempts.empty()) {
    Retry(aId, aError, aNow);
  }
  StartNextSuspect(aNow);
  DispatchQueued(aNow);
}

void
RequestRouter::EndAttempt(Request& aRequest,
                          AttemptNumber aAttempt,
                          AttemptError aError,
                          Instant aNow)
{
  const auto attempt = aRequest.attempts.at(aAttempt);
  aRequest.attempts.erase(aAttempt);
  aRequest.failedBackends.push_back(attempt.info.slot);
  if (aRequest.answeringAttempt == aAttempt) {
    aRequest.answeringAttempt = {};
  }
  if (aError == AttemptError::kFailed) {
    mPolicies.selector->OnErrorAnswer(attempt.info, aNow);
  } else if (aError == AttemptError::kRejected) {
    mPolicies.selector->OnRejection(attempt.info, aNow);
    mPolicies.rateLimiter->OnRejection(attempt.info.slot, aNow);
  } else if (aError == AttemptError::kNotSent ||
             aError == AttemptError::kSilent) {
    mPolicies.selector->OnUnreachable(attempt.info, aNow);
    mSink.Announce({ .kind = BackendNotice::Kind::kSilent,
                     .backend = mFleet.HashAt(attempt.info.slot) });
  } else {
    mPolicies.selector->OnError(attempt.info, aNow);
  }
  const bool isCrash =
    aError == AttemptError::kBroken &&
    mCrashes.OnCrash(attempt.info.slot, attempt.dispatched, aNow);
  if (isCrash) {
    mSink.OnCrashedAttempt({ .requestId = aRequest.info.requestId,
                             .attempt = aAttempt,
                             .phase = attempt.phase,
                             .produced = attempt.produced });
    aRequest.isTrial = false;
    if (!attempt.isHarmless) {
      OnCrashEvidence(aRequest, attempt.dispatched, aNow);
    }
  }
  if (attempt.phase == WorkPhase::kPrefill) {
    return; // prefilling a prompt doesn't run the request
  }
  if (aError == AttemptError::kNotSent) {
    // Nothing was sent, so the attempt does not count as a run and a KV cache
    // that it was to continue from is still unused.
    aRequest.runAttempts--;
    aRequest.unsentAttempts++;
    aRequest.hasKvCache = attempt.phase == WorkPhase::kDecode;
  }
  aRequest.mayHaveRun = aRequest.mayHaveRun || !MeansNotRun(aError);
  if (!isCrash) {
    return;
  }
  // The request may have caused the crash. Another attempt that is still
  // running could crash a second backend server together with suspects of other
  // entries, so it is cancelled; the request is repeated in isolation.
  CancelOthers(aRequest, aAttempt, aNow);
  mPolicies.poisonQuarantine->OnCrash(aRequest.info.fingerprint,
                                      aRequest.deliveredTokens,
                                      attempt.dispatched,
                                      aNow);
}

void
RequestRouter::Retry(const RequestId& aId, AttemptError aError, Instant aNow)
{
  auto& request = mRequests.at(aId);
  if (!request.info.idempotent && request.mayHaveRun) {
    Fail(aId, FailureReason::kOutcomeUnknown);
    return;
  }
  if (request.runAttempts >= MaxAttempts(request)) {
    RefuseOrFail(aId, RefusalReason::kNoBackend, aNow);
    return;
  }
  const auto verdict =
    mPolicies.poisonQuarantine->VerdictOf(request.info.fingerprint, aNow);
  if (verdict == PoisonVerdict::kQuarantined) {
    Fail(aId, FailureReason::kQuarantined);
    return;
  }
  if (EndIfHeld(aId, aNow)) {
    return;
  }
  const bool isUnsent = aError == AttemptError::kNotSent;
  if (isUnsent && request.unsentAttempts > mOptions.maxAttempts) {
    RefuseOrFail(aId, RefusalReason::kNoBackend, aNow);
    return;
  }
  // An attempt that was not sent has added no load to any backend server.
  if (!isUnsent && !mPolicies.retries->TrySpend(request.info.service)) {
    RefuseOrFail(aId, RefusalReason::kRetryBudget, aNow);
    return;
  }
  mCounters.retries++;
  request.cause = CauseAfter(aError);
  if (verdict == PoisonVerdict::kSuspect) {
    QueueSuspect(aId, aNow);
    return;
  }
  auto query = QueryFor(request);
  query.ignoreCapacity = true;
  auto choice = Choose(request, query, aNow);
  if (!choice) {
    query.excluded.clear();
    choice = Choose(request, query, aNow);
  }
  if (choice) {
    Start(request, *choice, false, aNow);
  } else {
    RefuseOrFail(aId, RefusalReason::kNoBackend, aNow);
  }
}

void
RequestRouter::RefuseOrFail(const RequestId& aId,
                            RefusalReason aReason,
                            Instant aNow)
{
  const auto& request = mRequests.at(aId);
  // A refusal guarantees that no backend server ran the request.
  if (request.mayHaveRun) {
    Fail(aId, FailureReason::kAttemptsExhausted);
  } else {
    Refuse(aId, aReason, TimeUntilReopened(request.info, aNow));
  }
}

Duration
RequestRouter::TimeUntilReopened(const RequestInfo& aInfo, Instant aNow) const
{
  std::optional<Instant> first;
  for (const auto& backend : mFleet.All()) {
    if (backend.reopensAt > aNow && backend.Serves(aInfo)) {
      first = std::min(first.value_or(*backend.reopensAt), *backend.reopensAt);
    }
  }
  if (!first) {
    return Duration::zero();
  }
  return ReturnAfter(aInfo, *first - aNow);
}

Duration
RequestRouter::ReturnAfter(const RequestInfo& aInfo, Duration aWait)
{
  constexpr std::uint64_t kSteps = 64;
  const auto step = StableHash(aInfo.requestId.Value()) % kSteps;
  return aWait + kReturnSpread * static_cast<Duration::rep>(step) /
                   static_cast<Duration::rep>(kSteps);
}

std::uint32_t
RequestRouter::MaxAttempts(const Request& aRequest) const
{
  const auto own = aRequest.info.maxAttempts;
  return own == 0 ? mOptions.maxAttempts : std::min(own, mOptions.maxAttempts);
}

void
RequestRouter::OnCallerGone(const RequestId& aId, Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  CancelOthers(it->second, AttemptNumber(0), aNow);
  RemoveRequest(aId);
  EndSuspectRun(aId, aNow);
  DispatchQueued(aNow);
}

void
RequestRouter::Tick(Instant aNow)
{
  ResolveCrashEvidence();
  HandleExpired(aNow);
  EndHeldRequests(aNow);
  StartDelayed(aNow);
  for (auto& [id, request] : mRequests) {
    if (!request.attempts.empty()) {
      HedgeOrResume(request, aNow);
    }
  }
  StartNextSuspect(aNow);
  DispatchQueued(aNow);
  mCongestion.Observe(mPolicies.queue->ServicesInTime(), aNow);
}

void
RequestRouter::Configure(const std::vector<LimitRow>& aRows)
{
  mPolicies.limits->Configure(aRows);
}

void
RequestRouter::SetEntries(const std::vector<HostId>& aEntries, Instant aNow)
{
  mPolicies.rateLimiter->SetHostCount(aEntries.size(), aNow);
  mPolicies.retries->SetHostCount(aEntries.size(), aNow);
  mEntries = aEntries;
  std::sort(mEntries.begin(), mEntries.end());
  mPolicies.limits->SetEntries(aEntries);
}

void
RequestRouter::OnReport(const LoadReport& aReport, Instant aNow)
{
  mPolicies.selector->OnReport(aReport, mFleet, aNow);
}

void
RequestRouter::OnPeerDigest(const Digest& aDigest, Instant aNow)
{
  if (aDigest.host == mOptions.self || !mDemand.OnPeerDigest(aDigest, aNow)) {
    return;
  }
  mStageLoads.OnPeerDigest(aDigest, aNow);
  mPolicies.limits->OnPeerDigest(aDigest, aNow);
  mPolicies.selector->OnPeerDigest(aDigest, mFleet, aNow);
  mPolicies.poisonQuarantine->OnPeerReport(
    aDigest.quarantined, aDigest.suspects, aNow);
  OnPeerCrashSuspicions(aDigest.crashSuspicions, aNow);
}

bool
RequestRouter::OnPeerNotice(const BackendNotice& aNotice, Instant aNow)
{
  const auto slot = mFleet.SlotOfHash(aNotice.backend);
  if (!slot) {
    return false;
  }
  switch (aNotice.kind) {
    case BackendNotice::Kind::kPromptDispatched:
      mPolicies.selector->OnPeerDispatched(*slot, aNotice, mFleet, aNow);
      break;
    case BackendNotice::Kind::kSilent:
      mPolicies.selector->OnPeerSilent(*slot, aNow);
      break;
    case BackendNotice::Kind::kRateLimit: {
      const bool changed = mPolicies.rateLimiter->OnNews(*slot, aNotice.limit);
      mPolicies.rateLimiter->TakePlaces(*slot, aNotice.places, aNow);
      return changed;
    }
  }
  return false;
}

Digest
RequestRouter::MakeDigest(Instant aNow)
{
  Digest digest;
  digest.host = mOptions.self;
  digest.incarnation = mOptions.incarnation;
  digest.sequence = ++mSequence;
  mPolicies.selector->FillDigest(digest, mFleet, aNow);
  mPolicies.limits->FillDigest(digest, aNow);
  mDemand.FillDigest(digest, aNow);
  mStageLoads.FillDigest(digest, aNow);
  digest.quarantined = mPolicies.poisonQuarantine->Quarantined(aNow);
  digest.suspects = mPolicies.poisonQuarantine->Suspects(aNow);
  digest.crashSuspicions = mPolicies.crashCorrelator->Strongest(aNow);
  return digest;
}

FleetDemand
RequestRouter::Demand(Instant aNow) const
{
  return mDemand.Sum(aNow);
}

StageLoads
RequestRouter::LoadsOf(const ModelId& aModel, Instant aNow) const
{
  return mStageLoads.Sum(aModel, aNow);
}

LoadSummary
RequestRouter::Summarize(const Request& aRequest,
                         const tl::expected<Choice, SelectError>& aChoice) const
{
  return { .expectedWait =
             aChoice ? aChoice->expectedWait : aChoice.error().expectedWait,
           .hasCapacity = aChoice.has_value(),
           .queued = mPolicies.queue->SizeOf(aRequest.info.service),
           .queueBound = mPolicies.queue->MaxSize(),
           .engineSeconds = aRequest.engineSeconds };
}

SelectQuery
RequestRouter::QueryFor(const Request& aRequest) const
{
  return { .size = aRequest.size,
           .lane = aRequest.lane,
           .excluded = aRequest.failedBackends,
           .ignoreCapacity = false };
}

tl::expected<Choice, SelectError>
RequestRouter::Choose(const Request& aRequest,
                      const SelectQuery& aQuery,
                      Instant aNow) const
{
  auto& selector = *mPolicies.selector;
  if (aRequest.hasKvCache) {
    auto query = aQuery;
    query.phase = WorkPhase::kDecode;
    query.kvCacheDomain = aRequest.kvCacheDomain;
    // The prompt is already prefilled; waiting for capacity would only keep its
    // KV cache occupied.
    query.ignoreCapacity = true;
    return selector.Select(aRequest.info, query, mFleet, aNow);
  }
  auto whole = selector.Select(aRequest.info, aQuery, mFleet, aNow);
  if (!aRequest.info.NeedsEngine() ||
      aRequest.prefillAttempts >= kMaxPrefillAttempts ||
      aRequest.deliveredTokens.Value() > 0) {
    return whole;
  }
  auto query = aQuery;
  query.phase = WorkPhase::kPrefill;
  auto prefill = selector.Select(aRequest.info, query, mFleet, aNow);
  if (!prefill) {
    const bool harmless =
      whole && StallPenalty(aRequest, *whole) <= Duration::zero();
    // Rate limits of the engines that prefill end later than a stall does.
    const bool full = prefill.error().failure == SelectFailure::kNoCapacity;
    return full && !harmless ? prefill : whole;
  }
  query.phase = WorkPhase::kDecode;
  query.kvCacheDomain = mFleet.At(prefill->slot).domain;
  query.ignoreCapacity = true;
  const auto output = selector.Select(aRequest.info, query, mFleet, aNow);
  if (!output) {
    return whole;
  }
  prefill->expectedGap = output->expectedGap;
  const auto separateWait = prefill->expectedWait + output->expectedWait;
  if (whole &&
      whole->expectedWait + StallPenalty(aRequest, *whole) <= separateWait) {
    return whole;
  }
  // The engine that decodes must not get the prompt too early for its limit.
  if (output->startAfter > prefill->expectedWait &&
      !MayWaitForPlace(aRequest.info, aQuery, separateWait, aNow)) {
    return whole ? whole
                 : tl::make_unexpected(SelectError{ SelectFailure::kRateLimit,
                                                    output->startAfter });
  }
  return prefill;
}

Duration
RequestRouter::StallPenalty(const Request& aRequest,
                            const Choice& aChoice) const
{
  const auto& capacity = mFleet.At(aChoice.slot).capacity;
  const double uncached =
    aRequest.info.promptTokens.Value() -
    std::min(aRequest.info.promptTokens.Value(), aChoice.cachedTokens.Value());
  const double harmless =
    std::max(kHarmlessPromptTokens,
             kHarmlessStallShare * ToSeconds(aRequest.info.gapObjective) *
               capacity.prefillTokensPerSecond);
  return FromSeconds(kStallWeight * std::max(0.0, uncached - harmless) /
                     capacity.prefillTokensPerSecond);
}

double
RequestRouter::EngineSeconds(const Request& aRequest, Tokens aCached) const
{
  const auto& info = aRequest.info;
  const Tokens prompt(info.promptTokens.Value() - aCached.Value());
  std::optional<double> minSeconds;
  // Checks one engine of each role, as engines with the same role are alike.
  std::array<bool, kRoleCount> seen{};
  for (const auto& backend : mFleet.All()) {
    const auto role = static_cast<std::size_t>(backend.role);
    if (seen.at(role) || backend.state != BackendState::kOpen ||
        !backend.Serves(info)) {
      continue;
    }
    seen.at(role) = true;
    const auto& capacity = backend.capacity;
    const double seconds = info.NeedsEngine()
                             ? capacity.SecondsOf(prompt, aRequest.size.median)
                             : 1.0 / std::max<std::uint32_t>(1, capacity.slots);
    minSeconds = std::min(seconds, minSeconds.value_or(seconds));
  }
  return minSeconds.value_or(1);
}

double
RequestRouter::WorthPerEngineSecond(const Request& aRequest) const
{
  constexpr double kMinEngineSeconds = 1e-6;
  return aRequest.info.worth.Value() * aRequest.info.weight /
         std::max(kMinEngineSeconds, aRequest.engineSeconds);
}

void
RequestRouter::Enqueue(Request& aRequest)
{
  mCounters.queued++;
  RefuseEvicted(mPolicies.queue->Push(QueueEntry(aRequest)));
}

QueuedRequest
RequestRouter::QueueEntry(const Request& aRequest) const
{
  return { .requestId = aRequest.info.requestId,
           .lane = aRequest.lane,
           .worthPerEngineSecond = WorthPerEngineSecond(aRequest),
           .firstTokenDeadline =
             aRequest.info.FirstTokenDeadline() - PlainTimeOf(aRequest.info),
           .service = aRequest.info.service };
}

Duration
RequestRouter::PlainTimeOf(const RequestInfo& aInfo) const
{
  const auto it = mPlainTimes.find(aInfo.service);
  return it == mPlainTimes.end() ? Duration::zero()
                                 : std::min(it->second, aInfo.lateAfter / 2);
}

void
RequestRouter::RefuseEvicted(const std::optional<QueuedRequest>& aEvicted)
{
  if (aEvicted) {
    mPolicies.admission->OnShed(aEvicted->worthPerEngineSecond);
    Refuse(aEvicted->requestId, RefusalReason::kOverload, {});
  }
}

void
RequestRouter::Start(Request& aRequest,
                     const Choice& aChoice,
                     bool aIsHedge,
                     Instant aNow)
{
  if (!WaitForPlace(aRequest, aChoice, aIsHedge, aNow)) {
    StartNow(aRequest, aChoice, aIsHedge, aNow);
  }
}

void
RequestRouter::StartNow(Request& aRequest,
                        const Choice& aChoice,
                        bool aIsHedge,
                        Instant aNow,
                        Duration aLimitWait)
{
  const AttemptNumber number(++aRequest.attemptCount);
  if (aChoice.phase == WorkPhase::kPrefill) {
    aRequest.prefillAttempts++;
  } else {
    aRequest.runAttempts++;
  }
  aRequest.hasKvCache =
    aRequest.hasKvCache && aChoice.phase != WorkPhase::kDecode;
  auto& attempt = aRequest.attempts[number];
  attempt.info =
    mPolicies.selector->OnDispatch(aRequest.info, aChoice, aRequest.lane, aNow);
  attempt.dispatched = aNow;
  attempt.lastTokens = aNow;
  attempt.isHedge = aIsHedge;
  attempt.phase = aChoice.phase;
  attempt.version = mFleet.At(aChoice.slot).softwareVersion;
  if (number.Value() == 1) {
    aRequest.dispatchedFirst = aNow;
  }
  if (attempt.info.prompt) {
    mSink.Announce({ .kind = BackendNotice::Kind::kPromptDispatched,
                     .backend = mFleet.HashAt(aChoice.slot),
                     .uncached = attempt.info.prefillTokens,
                     .urgency = aChoice.urgency,
                     .prefixes = aRequest.info.prefixHashes });
  }
  mSink.Dispatch({ .requestId = aRequest.info.requestId,
                   .attempt = number,
                   .backend = aChoice.backend,
                   .urgency = aChoice.urgency,
                   .resumeFrom = aRequest.deliveredTokens,
                   .isHedge = aIsHedge,
                   .cause = std::exchange(aRequest.cause, AttemptCause::kFirst),
                   .phase = aChoice.phase,
                   .copyFrom = aChoice.copyFrom,
                   .expectedWait = aChoice.expectedWait,
                   .cachedTokens = aChoice.cachedTokens,
                   .limitWait = aLimitWait,
                   .version = attempt.version });
}

void
RequestRouter::CountFirstAttempt(const ServiceId& aService)
{
  mPolicies.retries->OnFirstAttempt(aService);
  mPolicies.hedges->OnFirstAttempt(aService);
}

bool
RequestRouter::TrySpendHedge(const ServiceId& aService)
{
  return mPolicies.hedges->TrySpend(aService) &&
         mPolicies.retries->TrySpend(aService);
}

void
RequestRouter::Hedge(Request& aRequest, Instant aNow)
{
  auto query = QueryFor(aRequest);
  for (const auto& [number, attempt] : aRequest.attempts) {
    query.excluded.push_back(attempt.info.slot);
  }
  const auto choice =
    mPolicies.selector->Select(aRequest.info, query, mFleet, aNow);
  if (choice && choice->startAfter > Duration::zero()) {
    return;
  }
  // The answer of a plain service that is overdue is more likely lost than
  // late, so that another attempt counts as a retry.
  const auto& service = aRequest.info.service;
  if (!choice ||
      !(aRequest.info.NeedsEngine() ? TrySpendHedge(service)
                                    : mPolicies.retries->TrySpend(service))) {
    return;
  }
  aRequest.wasHedged = true;
  mCounters.hedges++;
  aRequest.cause = AttemptCause::kHedge;
  Start(aRequest, *choice, true, aNow);
}

void
RequestRouter::Resume(Request& aRequest, AttemptNumber aAttempt, Instant aNow)
{
  auto query = QueryFor(aRequest);
  query.excluded.push_back(aRequest.attempts.at(aAttempt).info.slot);
  const auto choice =
    mPolicies.selector->Select(aRequest.info, query, mFleet, aNow);
  if (!choice || choice->startAfter > Duration::zero() ||
      !TrySpendHedge(aRequest.info.service)) {
    return;
  }
  aRequest.answeringAttempt = {};
  CancelAttempt(aRequest, aAttempt, aNow);
  mCounters.resumes++;
  aRequest.cause = AttemptCause::kResume;
  Start(aRequest, *choice, false, aNow);
}

void
RequestRouter::HedgeOrResume(Request& aRequest, Instant aNow)
{
  if (mRunningSuspect == aRequest.info.requestId || aRequest.isTrial) {
    return;
  }
  const auto [number, attempt] = *aRequest.attempts.begin();
  if (attempt.phase == WorkPhase::kPrefill) {
    return;
  }
  const bool hasAnswering = aRequest.answeringAttempt.Value() != 0;
  const auto& overdueAfter = attempt.info.overdueAfter;
  const bool canStartAnother =
    aRequest.info.idempotent &&
    (aRequest.info.NeedsEngine() || overdueAfter.has_value()) &&
    aRequest.runAttempts < MaxAttempts(aRequest);
  const auto& hedger = *mPolicies.hedger;
  if (!hasAnswering) {
    const auto waited = aNow - attempt.dispatched;
    if (waited <
        overdueAfter.value_or(hedger.HedgeAfter(attempt.info.expectedWait))) {
      return;
    }
    if (aNow >= attempt.overdueAt) {
      aRequest.attempts.begin()->second.overdueAt =
        aNow + kOverdueNoticeInterval;
      mPolicies.selector->OnFirstTokenOverdue(attempt.info, waited, aNow);
    }
    if (canStartAnother && !aRequest.wasHedged &&
        aRequest.attempts.size() == 1) {
      Hedge(aRequest, aNow);
    }
    return;
  }
  const auto stalled =
    aNow - aRequest.attempts.at(aRequest.answeringAttempt).lastTokens;
  if (canStartAnother && stalled > hedger.ResumeAfter()) {
    Resume(aRequest, aRequest.answeringAttempt, aNow);
  }
}

void
RequestRouter::CancelAttempt(Request& aRequest,
                             AttemptNumber aAttempt,
                             Instant aNow)
{
  const auto it = aRequest.attempts.find(aAttempt);
  if (it == aRequest.attempts.end()) {
    return;
  }
  mPolicies.selector->OnFinish(it->second.info, aNow);
  aRequest.attempts.erase(it);
  mSink.Cancel(aRequest.info.requestId, aAttempt);
}

void
RequestRouter::CancelOthers(Request& aRequest,
                            AttemptNumber aKept,
                            Instant aNow)
{
  std::vector<AttemptNumber> others;
  for (const auto& [number, attempt] : aRequest.attempts) {
    if (number != aKept) {
      others.push_back(number);
    }
  }
  for (const auto number : others) {
    CancelAttempt(aRequest, number, aNow);
  }
}

void
RequestRouter::DispatchQueued(Instant aNow)
{
  std::optional<Choice> chosen;
  const auto canRun = [&](const QueuedRequest& aQueued) {
    const auto& request = mRequests.at(aQueued.requestId);
    const auto choice = Choose(request, QueryFor(request), aNow);
    if (choice) {
      chosen = *choice;
    }
    return choice.has_value();
  };
  while (const auto next = mPolicies.queue->Pop(canRun)) {
    if (EndIfHeld(next->requestId, aNow)) {
      continue;
    }
    // A request that would be late anyway must not take engine time.
    const auto& info = mRequests.at(next->requestId).info;
    if (!mPolicies.admission->CanMeetDeadline(
          info, chosen->expectedWait, aNow)) {
      mPolicies.admission->OnShed(next->worthPerEngineSecond);
      Refuse(next->requestId, RefusalReason::kDeadline, {});
      continue;
    }
    CountFirstAttempt(info.service);
    Start(mRequests.at(next->requestId), *chosen, false, aNow);
  }
}

void
RequestRouter::HandleExpired(Instant aNow)
{
  for (auto& late : mPolicies.queue->Expire(aNow + kMinServiceTime)) {
    const auto& info = mRequests.at(late.requestId).info;
    const auto deadline = info.AnswerDeadline();
    const auto congestion = mCongestion.DurationOf(late.service, aNow);
    // In a congestion that is older than the caller's patience, late requests
    // have waited in vain from its beginning on.
    if (congestion > info.AnswerTimeout() ||
        deadline < aNow + kMinServiceTime) {
      mPolicies.admission->OnShed(late.worthPerEngineSecond);
      Refuse(late.requestId, RefusalReason::kDeadline, congestion);
      continue;
    }
    late.isLate = true;
    late.firstTokenDeadline = deadline;
    RefuseEvicted(mPolicies.queue->Push(std::move(late)));
  }
}

void
RequestRouter::Refuse(const RequestId& aId,
                      RefusalReason aReason,
                      Duration aRetryAfter)
{
  constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
  mCounters.refused++;
  mSink.Refuse(
    aId,
    { .reason = aReason, .retryAfter = std::max(aRetryAfter, kMinRetryAfter) });
  RemoveRequest(aId);
}

void
RequestRouter::Fail(const RequestId& aId, FailureReason aReason)
{
  mCounters.failed++;
  mSink.Fail(aId, aReason);
  RemoveRequest(aId);
}

void
RequestRouter::RemoveRequest(const RequestId& aId)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  mPolicies.queue->Remove(aId);
  std::erase(mDelayedStarts, aId);
  mPolicies.limits->Finish(it->second.permit);
  mRequests.erase(it);
}

} // namespace firefly::policy
