#include "policy/request_router.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace firefly::policy {

namespace {

// Between two notes to the selector on the same overdue attempt.
constexpr Duration kOverdueStep = std::chrono::milliseconds(250);
// A queued request is given up when less than this is left for its answer.
constexpr Duration kLeastServiceTime = std::chrono::milliseconds(40);
constexpr std::size_t kRoles = 3;
// Prompts that are read apart for one request; after that it runs whole.
constexpr std::uint32_t kMostPromptReads = 1;
// A prompt read between the tokens of running streams stalls all of them: what
// is beyond a harmless part of it counts so many times more.
constexpr double kHarmlessPrompt = 300; // tokens
constexpr double kStallWeight = 20.0;
// What handing a prompt's memory over takes: a call more and the transfer.
constexpr Duration kHandoverTime = std::chrono::milliseconds(15);

} // namespace

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
  const auto verdict = mPolicies.poison->VerdictOf(info.fingerprint, aNow);
  if (verdict == PoisonVerdict::kQuarantined) {
    Refuse(id, RefusalReason::kQuarantined, {});
    return;
  }
  if (info.NeedsEngine()) {
    request.size = mPolicies.estimator->Estimate(info);
    const auto cached = mPolicies.selector->ExpectedCached(info);
    const Tokens rest(info.promptTokens.Value() - cached.Value());
    request.lane = LaneOf(rest, request.size);
  }
  auto permit = mPolicies.limits->TryStart(info, aNow);
  if (!permit) {
    const auto reason = permit.error().customersOwn
                          ? RefusalReason::kCustomerLimit
                          : RefusalReason::kTypeLimit;
    Refuse(id, reason, permit.error().retryAfter);
    return;
  }
  request.permit = std::move(*permit);
  if (verdict == PoisonVerdict::kSuspect) {
    AddSuspect(id, aNow);
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
    Refuse(id, RefusalReason::kNoBackend, {});
    return;
  }
  const auto cached = mPolicies.selector->ExpectedCached(aRequest.info);
  aRequest.engineSeconds = EngineSeconds(aRequest, cached);
  mPolicies.selector->OnArrival(aRequest.info);
  if (aRequest.info.NeedsEngine()) {
    const Tokens uncached(aRequest.info.promptTokens.Value() - cached.Value());
    mDemand.Count(aRequest.info.model, uncached, aRequest.size.usual, aNow);
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
    Pump(aNow);
    return;
  }
  mPolicies.retries->OnFirstAttempt();
  mPolicies.hedges->OnFirstAttempt();
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
  const bool taken = request.answering.Value() != 0;
  if (taken && request.answering != aAttempt) {
    CancelAttempt(request, aAttempt, aNow);
    return false;
  }
  auto& running = attempt->second;
  const auto wait = aNow - running.dispatched;
  mPolicies.selector->OnFirstToken(running.info, wait, aNow);
  mPolicies.hedger->OnFirstToken(running.info.expectedWait, wait);
  running.lastTokens = aNow;
  request.answering = aAttempt;
  request.mayHaveRun = true;
  CancelOthers(request, aAttempt, aNow);
  Pump(aNow);
  return true;
}

void
RequestRouter::OnPromptRead(const RequestId& aId,
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
  auto& info = attempt->second.info;
  mPolicies.selector->OnFirstToken(
    info, aNow - attempt->second.dispatched, aNow);
  mPolicies.selector->OnFinish(info, aNow);
  request.attempts.erase(attempt);
  request.hasMemory = true;
  const auto choice = Choose(request, QueryFor(request), aNow);
  if (choice) {
    Start(request, *choice, false, aNow);
  } else {
    GiveUp(aId, RefusalReason::kNoBackend);
  }
  Pump(aNow);
}

void
RequestRouter::OnTokens(const RequestId& aId,
                        AttemptNumber aAttempt,
                        Tokens aCount,
                        Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end() || it->second.answering != aAttempt) {
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
  request.delivered = Tokens(request.delivered.Value() + aCount.Value());
  const auto fingerprint = request.info.fingerprint;
  mPolicies.poison->OnProgress(fingerprint, request.delivered);
  if (mSuspectRunning == aId &&
      mPolicies.poison->VerdictOf(fingerprint, aNow) == PoisonVerdict::kClear) {
    ReleaseSuspect(aId, aNow);
  }
}

void
RequestRouter::OnHeld(const RequestId& aId,
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
  request.attempts.erase(attempt);
  CancelOthers(request, aAttempt, aNow);
  if (request.info.NeedsEngine()) {
    mPolicies.estimator->OnFinish(request.info, request.delivered);
  }
  mPolicies.poison->OnFinish(request.info.fingerprint);
  Drop(aId);
  ReleaseSuspect(aId, aNow);
  Pump(aNow);
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
  // Before the retry, which may make it the running suspect again.
  if (mSuspectRunning == aId) {
    mSuspectRunning = {};
  }
  if (it->second.attempts.empty()) {
    Retry(aId, aError, aNow);
  }
  PumpSuspects(aNow);
  Pump(aNow);
}

void
RequestRouter::EndAttempt(Request& aRequest,
                          AttemptNumber aAttempt,
                          AttemptError aError,
                          Instant aNow)
{
  const auto attempt = aRequest.attempts.at(aAttempt);
  aRequest.attempts.erase(aAttempt);
  aRequest.failedAt.push_back(attempt.info.slot);
  if (aRequest.answering == aAttempt) {
    aRequest.answering = {};
  }
  if (aError == AttemptError::kFailed) {
    // An answer, even if it is a failure, says nothing of its speed.
    mPolicies.selector->OnFinish(attempt.info, aNow);
  } else if (aError == AttemptError::kNotSent ||
             aError == AttemptError::kSilent) {
    mPolicies.selector->OnUnreachable(attempt.info, aNow);
    mSink.Announce({ .kind = BackendNotice::Kind::kSilent,
                     .backend = mFleet.HashAt(attempt.info.slot) });
  } else {
    mPolicies.selector->OnError(attempt.info, aNow);
  }
  if (attempt.phase == WorkPhase::kPrompt) {
    return; // reading a prompt doesn't run the request
  }
  if (aError == AttemptError::kNotSent) {
    // Nothing was reached: the request went to no backend server, and the
    // memory of its prompt was not taken.
    aRequest.runsMade--;
    aRequest.hasMemory = attempt.phase == WorkPhase::kOutput;
  }
  aRequest.mayHaveRun = aRequest.mayHaveRun || !MeansNotRun(aError);
  if (aError != AttemptError::kBroken) {
    return;
  }
  // Its other attempt could crash a second backend server beside suspects of
  // other entries; it is run again apart.
  CancelOthers(aRequest, aAttempt, aNow);
  mPolicies.poison->OnCrash(
    aRequest.info.fingerprint, aRequest.delivered, attempt.dispatched, aNow);
}

void
RequestRouter::Retry(const RequestId& aId, AttemptError aError, Instant aNow)
{
  auto& request = mRequests.at(aId);
  const bool broken = aError == AttemptError::kBroken;
  if (!request.info.idempotent && request.mayHaveRun) {
    Fail(aId, FailureReason::kOutcomeUnknown);
    return;
  }
  if (request.runsMade >= MaxAttempts(request)) {
    GiveUp(aId, RefusalReason::kNoBackend);
    return;
  }
  const auto verdict =
    mPolicies.poison->VerdictOf(request.info.fingerprint, aNow);
  if (verdict == PoisonVerdict::kQuarantined) {
    Fail(aId, FailureReason::kQuarantined);
    return;
  }
  // What a crash cut off is run again at once; other retries are rationed.
  if (!broken && !mPolicies.retries->TrySpend()) {
    GiveUp(aId, RefusalReason::kRetryBudget);
    return;
  }
  mCounters.retries++;
  if (verdict == PoisonVerdict::kSuspect) {
    AddSuspect(aId, aNow);
    return;
  }
  auto query = QueryFor(request);
  query.ignoreRoom = true;
  auto choice = Choose(request, query, aNow);
  if (!choice) {
    query.excluded.clear();
    choice = Choose(request, query, aNow);
  }
  if (choice) {
    Start(request, *choice, false, aNow);
  } else {
    GiveUp(aId, RefusalReason::kNoBackend);
  }
}

void
RequestRouter::GiveUp(const RequestId& aId, RefusalReason aReason)
{
  // Only what no backend server can have run may be called refused.
  if (mRequests.at(aId).mayHaveRun) {
    Fail(aId, FailureReason::kAttemptsExhausted);
  } else {
    Refuse(aId, aReason, {});
  }
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
  Drop(aId);
  ReleaseSuspect(aId, aNow);
  Pump(aNow);
}

void
RequestRouter::Tick(Instant aNow)
{
  ExpireQueue(aNow);
  for (auto& [id, request] : mRequests) {
    if (!request.attempts.empty()) {
      Watch(request, aNow);
    }
  }
  PumpSuspects(aNow);
  Pump(aNow);
}

void
RequestRouter::Configure(const std::vector<LimitRow>& aRows)
{
  mPolicies.limits->Configure(aRows);
}

void
RequestRouter::SetEntries(const std::vector<HostId>& aEntries)
{
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
  if (aDigest.host == mOptions.self || !mDemand.TakePeer(aDigest, aNow)) {
    return;
  }
  mPolicies.limits->OnPeerDigest(aDigest, aNow);
  mPolicies.selector->OnPeerDigest(aDigest, mFleet, aNow);
  mPolicies.poison->OnPeer(aDigest.quarantined, aDigest.suspects, aNow);
}

void
RequestRouter::OnPeerNotice(const BackendNotice& aNotice, Instant aNow)
{
  const auto slot = mFleet.SlotOfHash(aNotice.backend);
  if (!slot) {
    return;
  }
  switch (aNotice.kind) {
    case BackendNotice::Kind::kPlaced:
      mPolicies.selector->OnPeerPlaced(*slot, aNotice, mFleet, aNow);
      break;
    case BackendNotice::Kind::kSilent:
      mPolicies.selector->OnPeerSilent(*slot, aNow);
      break;
  }
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
  digest.quarantined = mPolicies.poison->Quarantined(aNow);
  digest.suspects = mPolicies.poison->Suspects(aNow);
  return digest;
}

FleetDemand
RequestRouter::Demand(Instant aNow) const
{
  return mDemand.Sum(aNow);
}

LoadSummary
RequestRouter::Summarize(const Request& aRequest,
                         const tl::expected<Choice, SelectError>& aChoice) const
{
  return { .expectedWait =
             aChoice ? aChoice->expectedWait : aChoice.error().expectedWait,
           .hasRoom = aChoice.has_value(),
           .queued = mPolicies.queue->Size(),
           .queueBound = mPolicies.queue->Bound(),
           .engineSeconds = aRequest.engineSeconds };
}

SelectQuery
RequestRouter::QueryFor(const Request& aRequest) const
{
  return { .size = aRequest.size,
           .lane = aRequest.lane,
           .excluded = aRequest.failedAt,
           .ignoreRoom = false };
}

tl::expected<Choice, SelectError>
RequestRouter::Choose(const Request& aRequest,
                      const SelectQuery& aQuery,
                      Instant aNow) const
{
  auto& selector = *mPolicies.selector;
  if (aRequest.hasMemory) {
    auto query = aQuery;
    query.phase = WorkPhase::kOutput;
    // The prompt has been read: waiting for room would only hold its memory.
    query.ignoreRoom = true;
    return selector.Select(aRequest.info, query, mFleet, aNow);
  }
  auto whole = selector.Select(aRequest.info, aQuery, mFleet, aNow);
  if (!aRequest.info.NeedsEngine() ||
      aRequest.promptReads >= kMostPromptReads ||
      aRequest.delivered.Value() > 0) {
    return whole;
  }
  auto query = aQuery;
  query.phase = WorkPhase::kPrompt;
  auto apart = selector.Select(aRequest.info, query, mFleet, aNow);
  if (!apart) {
    const bool harmless =
      whole && StallOf(aRequest, *whole) <= Duration::zero();
    const bool full = apart.error().failure == SelectFailure::kNoRoom;
    return full && !harmless ? apart : whole;
  }
  query.phase = WorkPhase::kOutput;
  query.ignoreRoom = true;
  const auto output = selector.Select(aRequest.info, query, mFleet, aNow);
  if (!output) {
    return whole;
  }
  apart->expectedGap = output->expectedGap;
  const auto apartWait = apart->expectedWait + output->expectedWait;
  if (whole && whole->expectedWait + StallOf(aRequest, *whole) <=
                 apartWait + kHandoverTime) {
    return whole;
  }
  return apart;
}

Duration
RequestRouter::StallOf(const Request& aRequest, const Choice& aChoice) const
{
  const auto& capacity = mFleet.At(aChoice.slot).capacity;
  const double uncached =
    aRequest.info.promptTokens.Value() -
    std::min(aRequest.info.promptTokens.Value(), aChoice.cachedTokens.Value());
  return FromSeconds(kStallWeight * std::max(0.0, uncached - kHarmlessPrompt) /
                     capacity.prefillTokensPerSecond);
}

double
RequestRouter::EngineSeconds(const Request& aRequest, Tokens aCached) const
{
  const auto& info = aRequest.info;
  const Tokens prompt(info.promptTokens.Value() - aCached.Value());
  std::optional<double> least;
  // One engine of each role is enough, as those of a role are alike.
  std::array<bool, kRoles> seen{};
  for (const auto& backend : mFleet.All()) {
    const auto role = static_cast<std::size_t>(backend.role);
    if (seen.at(role) || backend.state != BackendState::kOpen ||
        !backend.Serves(info)) {
      continue;
    }
    seen.at(role) = true;
    const auto& capacity = backend.capacity;
    const double seconds = info.NeedsEngine()
                             ? capacity.SecondsOf(prompt, aRequest.size.usual)
                             : 1.0 / std::max<std::uint32_t>(1, capacity.slots);
    least = std::min(seconds, least.value_or(seconds));
  }
  return least.value_or(1);
}

double
RequestRouter::Density(const Request& aRequest) const
{
  constexpr double kLeastSeconds = 1e-6;
  return aRequest.info.worth.Value() * aRequest.info.weight /
         std::max(kLeastSeconds, aRequest.engineSeconds);
}

void
RequestRouter::Enqueue(Request& aRequest)
{
  mCounters.queued++;
  const auto evicted = mPolicies.queue->Push(
    { .requestId = aRequest.info.requestId,
      .lane = aRequest.lane,
      .worthPerSecond = Density(aRequest),
      .firstTokenDeadline = aRequest.info.FirstTokenDeadline() });
  if (evicted) {
    mPolicies.admission->OnShed(evicted->worthPerSecond);
    Refuse(evicted->requestId, RefusalReason::kOverload, {});
  }
}

void
RequestRouter::Start(Request& aRequest,
                     const Choice& aChoice,
                     bool aIsHedge,
                     Instant aNow)
{
  const AttemptNumber number(++aRequest.attemptsMade);
  if (aChoice.phase == WorkPhase::kPrompt) {
    aRequest.promptReads++;
  } else {
    aRequest.runsMade++;
  }
  aRequest.hasMemory =
    aRequest.hasMemory && aChoice.phase != WorkPhase::kOutput;
  auto& attempt = aRequest.attempts[number];
  attempt.info =
    mPolicies.selector->OnDispatch(aRequest.info, aChoice, aRequest.lane, aNow);
  attempt.dispatched = aNow;
  attempt.lastTokens = aNow;
  attempt.isHedge = aIsHedge;
  attempt.phase = aChoice.phase;
  if (number.Value() == 1) {
    aRequest.dispatchedFirst = aNow;
  }
  if (attempt.info.prompt) {
    mSink.Announce({ .kind = BackendNotice::Kind::kPlaced,
                     .backend = mFleet.HashAt(aChoice.slot),
                     .uncached = attempt.info.prefillTokens,
                     .urgency = aChoice.urgency,
                     .prefixes = aRequest.info.prefixHashes });
  }
  mSink.Dispatch({ .requestId = aRequest.info.requestId,
                   .attempt = number,
                   .backend = aChoice.backend,
                   .urgency = aChoice.urgency,
                   .resumeFrom = aRequest.delivered,
                   .isHedge = aIsHedge,
                   .phase = aChoice.phase,
                   .copyFrom = aChoice.copyFrom,
                   .expectedWait = aChoice.expectedWait,
                   .cachedTokens = aChoice.cachedTokens });
}

void
RequestRouter::AddSuspect(const RequestId& aId, Instant aNow)
{
  if (mSuspects.empty()) {
    mSuspectsSince = aNow;
  }
  mSuspects.push_back(aId);
  PumpSuspects(aNow);
}

void
RequestRouter::ReleaseSuspect(const RequestId& aId, Instant aNow)
{
  if (mSuspectRunning == aId) {
    mSuspectRunning = {};
    PumpSuspects(aNow);
  }
}

std::vector<BackendSlot>
RequestRouter::SuspectPlaces(const Request& aRequest) const
{
  std::vector<BackendSlot> places;
  const auto& failed = aRequest.failedAt;
  const auto& all = mFleet.All();
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    const BackendSlot slot(i);
    if (all[i].state == BackendState::kOpen && all[i].Serves(aRequest.info) &&
        std::find(failed.begin(), failed.end(), slot) == failed.end()) {
      places.push_back(slot);
    }
  }
  // The same order in all entries, whatever their slots.
  std::sort(places.begin(), places.end(), [this](auto aLeft, auto aRight) {
    return mFleet.HashAt(aLeft) < mFleet.HashAt(aRight);
  });
  return places;
}

void
RequestRouter::PumpSuspects(Instant aNow)
{
  if (mSuspects.empty() || !mSuspectRunning.Value().empty()) {
    return;
  }
  const auto id = mSuspects.front();
  const auto it = mRequests.find(id);
  if (it == mRequests.end()) {
    mSuspects.erase(mSuspects.begin());
    PumpSuspects(aNow);
    return;
  }
  auto& request = it->second;
  const auto places = SuspectPlaces(request);
  if (places.empty()) {
    mSuspects.erase(mSuspects.begin());
    Fail(id, FailureReason::kAttemptsExhausted);
    PumpSuspects(aNow);
    return;
  }
  // Each entry tries its suspects on a backend server of its own; where there
  // are fewer of them than entries, one after the other.
  const auto self = std::find(mEntries.begin(), mEntries.end(), mOptions.self);
  const auto rank = static_cast<std::size_t>(self - mEntries.begin());
  const auto turn = static_cast<std::int64_t>(rank / places.size());
  if (aNow < mSuspectsSince + turn * mOptions.suspectTurn) {
    return;
  }
  mSuspects.erase(mSuspects.begin());
  mSuspectRunning = id;
  const auto slot = places[rank % places.size()];
  Start(request,
        { .slot = slot,
          .backend = mFleet.At(slot).id,
          .expectedWait = {},
          .expectedGap = {},
          .cachedTokens = {} },
        false,
        aNow);
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
  if (!choice || !mPolicies.hedges->TrySpend()) {
    return;
  }
  aRequest.hedged = true;
  mCounters.hedges++;
  Start(aRequest, *choice, true, aNow);
}

void
RequestRouter::Resume(Request& aRequest, AttemptNumber aAttempt, Instant aNow)
{
  auto query = QueryFor(aRequest);
  query.excluded.push_back(aRequest.attempts.at(aAttempt).info.slot);
  const auto choice =
    mPolicies.selector->Select(aRequest.info, query, mFleet, aNow);
  if (!choice || !mPolicies.hedges->TrySpend()) {
    return;
  }
  aRequest.answering = {};
  CancelAttempt(aRequest, aAttempt, aNow);
  mCounters.resumes++;
  Start(aRequest, *choice, false, aNow);
}

void
RequestRouter::Watch(Request& aRequest, Instant aNow)
{
  if (mSuspectRunning == aRequest.info.requestId) {
    return;
  }
  const auto [number, attempt] = *aRequest.attempts.begin();
  if (attempt.phase == WorkPhase::kPrompt) {
    return;
  }
  const bool answering = aRequest.answering.Value() != 0;
  const bool may = aRequest.info.idempotent && aRequest.info.NeedsEngine() &&
                   aRequest.runsMade < MaxAttempts(aRequest);
  const auto& hedger = *mPolicies.hedger;
  if (!answering) {
    const auto waited = aNow - attempt.dispatched;
    if (waited < hedger.HedgeAfter(attempt.info.expectedWait)) {
      return;
    }
    if (aNow >= attempt.overdueAt) {
      aRequest.attempts.begin()->second.overdueAt = aNow + kOverdueStep;
      mPolicies.selector->OnOverdue(attempt.info, waited, aNow);
    }
    if (may && !aRequest.hedged && aRequest.attempts.size() == 1) {
      Hedge(aRequest, aNow);
    }
    return;
  }
  const auto stalled =
    aNow - aRequest.attempts.at(aRequest.answering).lastTokens;
  if (may && stalled > hedger.ResumeAfter()) {
    Resume(aRequest, aRequest.answering, aNow);
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
RequestRouter::Pump(Instant aNow)
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
    // Work that would be late anyway takes no engine's time.
    const auto& info = mRequests.at(next->requestId).info;
    if (!mPolicies.admission->CanBeInTime(info, chosen->expectedWait, aNow)) {
      mPolicies.admission->OnShed(next->worthPerSecond);
      Refuse(next->requestId, RefusalReason::kDeadline, {});
      continue;
    }
    mPolicies.retries->OnFirstAttempt();
    mPolicies.hedges->OnFirstAttempt();
    Start(mRequests.at(next->requestId), *chosen, false, aNow);
  }
}

void
RequestRouter::ExpireQueue(Instant aNow)
{
  for (const auto& late : mPolicies.queue->Expire(aNow + kLeastServiceTime)) {
    mPolicies.admission->OnShed(late.worthPerSecond);
    Refuse(late.requestId, RefusalReason::kDeadline, {});
  }
}

void
RequestRouter::Refuse(const RequestId& aId,
                      RefusalReason aReason,
                      Duration aRetryAfter)
{
  constexpr Duration kShortest = std::chrono::seconds(1);
  mCounters.refused++;
  mSink.Refuse(
    aId, { .reason = aReason, .retryAfter = std::max(aRetryAfter, kShortest) });
  Drop(aId);
}

void
RequestRouter::Fail(const RequestId& aId, FailureReason aReason)
{
  mCounters.failed++;
  mSink.Fail(aId, aReason);
  Drop(aId);
}

void
RequestRouter::Drop(const RequestId& aId)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  mPolicies.queue->Remove(aId);
  mPolicies.limits->Finish(it->second.permit);
  mRequests.erase(it);
}

} // namespace firefly::policy
