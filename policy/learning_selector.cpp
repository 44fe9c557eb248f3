#include "policy/learning_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "policy/rate_limit/rate_limited_selection.h"

namespace firefly::policy {

namespace {

// A sample below this fraction of the current speed estimate is slow and lowers
// the estimate.
constexpr double kSlowSampleRatio = 0.6;
// Fraction of the gap to a slow sample by which the estimate drops.
constexpr double kSlowdownStep = 0.5;
// Fraction of the gap to a faster sample by which the estimate recovers.
constexpr double kRecoveryStep = 0.08;
constexpr double kMinSpeed = 0.05;
// A first token that is late by less than this does not lower the speed
// estimate.
constexpr double kWaitNoiseSeconds = 0.1;
// Gap between tokens with one request running, as a fraction of the gap with
// all slots taken.
constexpr double kIdleGapRatio = 0.5;
// Time in which an estimate of the speed fades to 1/e.
constexpr Duration kSpeedMemory = std::chrono::seconds(10);
// Minimum time between checks for stale peer digests.
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(200);

// The value of having a shared prefix cached at its home, as a fraction of the
// prefix's prefill time.
constexpr double kHomePreferenceWeight = 0.5;
// Weight of the capacity that a request uses relative to its own completion
// time.
constexpr double kCostWeight = 1.0;
// If copying would save fewer tokens than this, they are prefilled instead.
constexpr std::uint32_t kMinCopyTokens = 256;
// Copies between failure domains take longer by this factor.
constexpr double kCrossDomainCopyFactor = 2.0;
// Urgencies of prompts: three for each of the operators' ranks up to kMaxRank,
// which higher ranks share, by the length of the prefill, and a last one for
// requests that are already late, so that they do not delay requests that can
// still be in time.
constexpr std::uint32_t kUrgenciesPerRank = 3;
constexpr std::uint32_t kMaxRank = 2;
constexpr double kShortPrefillSeconds = 0.06; // the median of usual prompts
constexpr double kLongPrefillSeconds = 0.2;   // exceeded by one in ten of them
constexpr EngineUrgency kLateUrgency{ 9 };
// Time from the end of the prefill to the first output token, which another
// engine decodes.
constexpr Duration kHandoverTime = std::chrono::milliseconds(80);
// Scales the upper 53 bits of a hash to a number in (0, 1).
constexpr double kHashUnit = 1.0 / 9007199254740994.0; // 2^53 + 2

// The capacity that a request uses, as seconds of the whole backend server.
double
CostAt(const RequestInfo& aRequest,
       const SelectQuery& aQuery,
       const BackendCapacity& aCapacity,
       std::uint32_t aCached)
{
  if (!aRequest.NeedsEngine()) {
    return 1.0 / std::max(1U, aCapacity.slots);
  }
  const auto prompt = aRequest.promptTokens.Value();
  const auto cached = std::min(prompt, aCached);
  const Tokens output =
    aQuery.phase == WorkPhase::kPrefill ? Tokens(0) : aQuery.size.median;
  return aCapacity.SecondsOf(Tokens(prompt - cached + 1), output);
}

// Calls aVisit for each depth, in blocks, at which the hash of a prefix is
// recorded: the powers of two and the whole prefix.
template<typename Visit>
void
ForRecordedDepths(std::size_t aBlocks, Visit aVisit)
{
  for (std::size_t depth = 1; depth < aBlocks; depth *= 2) {
    aVisit(depth);
  }
  if (aBlocks > 0) {
    aVisit(aBlocks);
  }
}

EngineUrgency
UrgencyFor(const RequestInfo& aRequest, double aPrefillSeconds)
{
  const auto rank = std::min(aRequest.rank.value_or(0), kMaxRank);
  std::uint32_t step = aPrefillSeconds > kShortPrefillSeconds ? 1 : 0;
  step += aPrefillSeconds > kLongPrefillSeconds ? 1 : 0;
  return EngineUrgency(
    static_cast<std::uint8_t>(rank * kUrgenciesPerRank + step));
}

} // namespace

LearningSelector::LearningSelector(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

tl::expected<Choice, SelectError>
LearningSelector::Select(const RequestInfo& aRequest,
                         const SelectQuery& aQuery,
                         const FleetView& aFleet,
                         Instant aNow)
{
  DropStalePeers(aNow);
  FindCandidates(aRequest, aQuery, aFleet, aNow);
  if (mCandidates.empty()) {
    return tl::make_unexpected(SelectError{ SelectFailure::kNoBackend, {} });
  }
  Prediction best;
  best.score = std::numeric_limits<double>::max();
  bool found = false;
  bool isLimited = true;
  auto minWait = Duration::max();
  auto minStart = Duration::max();
  for (const auto slot : mCandidates) {
    auto prediction = Predict(aRequest, aQuery, aFleet, slot, aNow);
    AddLimitWait(prediction, aRequest, aQuery, aFleet.At(slot), aNow);
    minWait = std::min(minWait, prediction.choice.expectedWait);
    minStart = std::min(minStart, prediction.choice.startAfter);
    isLimited = isLimited && prediction.isLimited;
    const bool usable = !prediction.isLimited &&
                        (prediction.hasCapacity || aQuery.ignoreCapacity);
    if (usable && prediction.score < best.score) {
      best = prediction;
      found = true;
    }
  }
  if (!found) {
    return tl::make_unexpected(
      isLimited ? SelectError{ SelectFailure::kRateLimit, minStart }
                : SelectError{ SelectFailure::kNoCapacity, minWait });
  }
  return best.choice;
}

Tokens
LearningSelector::ExpectedCached(const RequestInfo& aRequest) const
{
  if (!mOptions.useAffinity || aRequest.prefixHashes.empty()) {
    return Tokens(0);
  }
  return Tokens(
    std::min(aRequest.promptTokens.Value(), FindPrefix(aRequest).tokens));
}

AttemptInfo
LearningSelector::OnDispatch(const RequestInfo& aRequest,
                             const Choice& aChoice,
                             Lane aLane,
                             Instant aNow)
{
  auto& load = LoadAt(aChoice.slot);
  const auto prompt = aRequest.promptTokens.Value();
  const auto cached = std::min(prompt, aChoice.cachedTokens.Value());
  load.requests++;
  load.stragglers += aLane == Lane::kStraggler ? 1 : 0;
  load.prefillTokens += prompt - cached;
  AttemptInfo attempt{ .slot = aChoice.slot,
                       .prefillTokens = Tokens(prompt - cached),
                       .expectedWait = aChoice.expectedWait,
                       .expectedGap = aChoice.expectedGap,
                       .lane = aLane,
                       .hadFirstToken = false };
  if (!aRequest.NeedsEngine()) {
    attempt.plainCall =
      mPlainServices.OnDispatch(aChoice.slot, aRequest.service, aNow);
    attempt.overdueAfter = mPlainServices.OverdueAfter(aRequest.service);
  }
  if (aChoice.phase == WorkPhase::kDecode) {
    attempt.handover = mHandovers.OnStart(aChoice.slot, aNow);
  }
  if (IsQueued(aRequest, aChoice.phase)) {
    attempt.prompt = mPromptQueues.AddOwnPrompt(
      aChoice.slot, aChoice.urgency, ToSeconds(aChoice.ratedPrefillTime), aNow);
  }
  if (mOptions.peersAnnouncePrompts) {
    attempt.prefixes = aRequest.prefixHashes;
    RecordHolder(
      attempt.prefixes, aChoice.slot, aNow + aChoice.expectedWait, aNow);
  }
  return attempt;
}

void
LearningSelector::OnFirstToken(AttemptInfo& aAttempt,
                               Duration aWait,
                               Instant aNow)
{
  if (aAttempt.hadFirstToken) {
    return;
  }
  aAttempt.hadFirstToken = true;
  LoadAt(aAttempt.slot).lastAnswer = aNow;
  if (aAttempt.plainCall) {
    mPlainServices.OnAnswer(aAttempt.slot, *aAttempt.plainCall, aNow);
    return;
  }
  if (aAttempt.handover) {
    mHandovers.OnFirstToken(aAttempt.slot, *aAttempt.handover, aNow);
  }
  if (aAttempt.prompt) {
    mPromptQueues.OnPrefilled(aAttempt.slot, *aAttempt.prompt, aNow);
  }
  LoadAt(aAttempt.slot).prefillTokens -= aAttempt.prefillTokens.Value();
  const double expected = ToSeconds(aAttempt.expectedWait) + kWaitNoiseSeconds;
  const double wait = ToSeconds(aWait);
  UpdateSpeed(aAttempt.slot,
              SpeedOf(aAttempt.slot, aNow) * expected /
                std::max(wait, expected),
              aNow);
}

void
LearningSelector::OnTokens(const AttemptInfo& aAttempt,
                           Duration aMeanGap,
                           Instant aNow)
{
  LoadAt(aAttempt.slot).lastAnswer = aNow;
  const double full = ToSeconds(aAttempt.expectedGap);
  const double gap = ToSeconds(aMeanGap);
  if (gap > 0 && full > 0) {
    UpdateSpeed(aAttempt.slot, std::min(1.0, full / gap), aNow);
  }
}

void
LearningSelector::OnFinish(const AttemptInfo& aAttempt, Instant aNow)
{
  auto& load = LoadAt(aAttempt.slot);
  load.requests--;
  load.stragglers -= aAttempt.lane == Lane::kStraggler ? 1 : 0;
  if (aAttempt.hadFirstToken) {
    return;
  }
  if (aAttempt.plainCall) {
    // Has no effect after an answer or a failure, which end the call.
    mPlainServices.OnCancel(aAttempt.slot, *aAttempt.plainCall);
  }
  load.prefillTokens -= aAttempt.prefillTokens.Value();
  if (aAttempt.handover) {
    mHandovers.OnCancel(aAttempt.slot, *aAttempt.handover);
  }
  if (aAttempt.prompt) {
    mPromptQueues.Cancel(aAttempt.slot, *aAttempt.prompt, aNow);
  }
}

void
LearningSelector::OnErrorAnswer(const AttemptInfo& aAttempt, Instant aNow)
{
  LoadAt(aAttempt.slot).lastAnswer = aNow;
  if (aAttempt.plainCall) {
    mPlainServices.OnFailure(aAttempt.slot, *aAttempt.plainCall, aNow);
  }
  OnFinish(aAttempt, aNow);
}

void
LearningSelector::OnError(const AttemptInfo& aAttempt, Instant aNow)
{
  if (aAttempt.plainCall) {
    mPlainServices.OnFailure(aAttempt.slot, *aAttempt.plainCall, aNow);
  } else {
    UpdateSpeed(aAttempt.slot, kMinSpeed, aNow);
  }
  OnFinish(aAttempt, aNow);
  RemoveHolder(aAttempt);
}

void
LearningSelector::OnRejection(const AttemptInfo& aAttempt, Instant aNow)
{
  const auto& limiter = mOptions.rateLimiter;
  if (!aAttempt.plainCall && limiter && limiter->IsLimited(aAttempt.slot)) {
    // It rejects what exceeds its limit and is not slow otherwise.
    OnFinish(aAttempt, aNow);
    RemoveHolder(aAttempt);
    return;
  }
  if (!aAttempt.plainCall) {
    OnError(aAttempt, aNow);
    return;
  }
  mPlainServices.OnRejection(aAttempt.slot, *aAttempt.plainCall, aNow);
  OnFinish(aAttempt, aNow);
}

void
LearningSelector::OnUnreachable(const AttemptInfo& aAttempt, Instant aNow)
{
  OnFinish(aAttempt, aNow);
  RemoveHolder(aAttempt);
  LoadAt(aAttempt.slot).unreachableUntil = aNow + mOptions.unreachableCooldown;
}

void
LearningSelector::OnFirstTokenOverdue(const AttemptInfo& aAttempt,
                                      Duration aWaited,
                                      Instant aNow)
{
  if (aAttempt.plainCall) {
    return; // counted by the estimator of plain services
  }
  const double expected = ToSeconds(aAttempt.expectedWait) + kWaitNoiseSeconds;
  const double waited = std::max(ToSeconds(aWaited), expected);
  UpdateSpeed(aAttempt.slot, expected / waited, aNow);
}

void
LearningSelector::OnPeerDigest(const Digest& aDigest,
                               const FleetView& aFleet,
                               Instant aNow)
{
  if (!mOptions.usePeers) {
    return;
  }
  auto& peer = mPeers[aDigest.host];
  DropPeerWork(peer);
  peer.digestReceivedAt = aNow;
  for (const auto& it : aDigest.work) {
    const auto slot = aFleet.SlotOfHash(it.backend);
    if (!slot) {
      continue;
    }
    auto& load = LoadAt(*slot);
    load.peers.requests += it.requests;
    load.peers.prefillTokens += it.prefillTokens;
    peer.work.emplace_back(*slot, PeerWork{ it.requests, it.prefillTokens });
  }
}

void
LearningSelector::OnPeerDispatched(BackendSlot aSlot,
                                   const BackendNotice& aNotice,
                                   const FleetView& aFleet,
                                   Instant aNow)
{
  if (!mOptions.peersAnnouncePrompts) {
    return;
  }
  const double rate = aFleet.At(aSlot).capacity.prefillTokensPerSecond;
  mPromptQueues.AddPeerPrompt(
    aSlot, aNotice.urgency, aNotice.uncached.Value() / rate, aNow);
  RecordHolder(aNotice.prefixes,
               aSlot,
               aNow + mPromptQueues.EstimateWait(aSlot, aNotice.urgency, aNow),
               aNow);
}

void
LearningSelector::OnPeerSilent(BackendSlot aSlot, Instant aNow)
{
  auto& load = LoadAt(aSlot);
  if (aNow - load.lastAnswer > mOptions.ownAnswerValidFor) {
    load.unreachableUntil = aNow + mOptions.unreachableCooldown;
  }
}

void
LearningSelector::FillDigest(Digest& aDigest,
                             const FleetView& aFleet,
                             Instant aNow)
{
  for (std::size_t i = 0; i < mLoads.size(); ++i) {
    const auto& load = mLoads[i];
    if (load.requests == 0) {
      continue;
    }
    const BackendSlot slot(static_cast<std::uint32_t>(i));
    const bool isPlain = aFleet.At(slot).kind == BackendKind::kPlain;
    const auto requests =
      isPlain ? mPlainServices.Occupied(slot, aNow) : load.requests;
    if (requests == 0) {
      continue;
    }
    const double speed = SpeedOf(slot, aNow);
    aDigest.work.push_back(
      { .backend = aFleet.HashAt(slot),
        .requests = requests,
        .prefillTokens = load.prefillTokens,
        .speedPermille = static_cast<std::uint32_t>(speed * 1000) });
  }
}

double
LearningSelector::SpeedOf(BackendSlot aSlot, Instant aNow) const
{
  if (aSlot.Value() >= mLoads.size()) {
    return 1.0;
  }
  const auto& load = mLoads[aSlot.Value()];
  const double fading =
    std::exp(-ToSeconds(aNow - load.speedUpdatedAt) / ToSeconds(kSpeedMemory));
  return 1 - (1 - load.speed) * fading;
}

LearningSelector::Load&
LearningSelector::LoadAt(BackendSlot aSlot)
{
  if (mLoads.size() <= aSlot.Value()) {
    mLoads.resize(aSlot.Value() + 1);
  }
  return mLoads[aSlot.Value()];
}

void
LearningSelector::UpdateSpeed(BackendSlot aSlot, double aSpeed, Instant aNow)
{
  if (!mOptions.useSpeed) {
    return;
  }
  double speed = SpeedOf(aSlot, aNow);
  if (aSpeed < speed * kSlowSampleRatio) {
    speed += kSlowdownStep * (aSpeed - speed);
  } else if (aSpeed > speed) {
    speed += kRecoveryStep * (aSpeed - speed);
  }
  auto& load = LoadAt(aSlot);
  load.speed = std::clamp(speed, kMinSpeed, 1.0);
  load.speedUpdatedAt = aNow;
}

void
LearningSelector::DropPeerWork(Peer& aPeer)
{
  for (const auto& [slot, work] : aPeer.work) {
    auto& load = LoadAt(slot);
    load.peers.requests -= work.requests;
    load.peers.prefillTokens -= work.prefillTokens;
  }
  aPeer.work.clear();
}

void
LearningSelector::DropStalePeers(Instant aNow)
{
  if (aNow - mPeersCheckedAt < kPeerCheckInterval) {
    return;
  }
  mPeersCheckedAt = aNow;
  for (auto& [host, peer] : mPeers) {
    if (aNow - peer.digestReceivedAt > mOptions.peerDigestTimeout) {
      DropPeerWork(peer);
    }
  }
}

void
LearningSelector::FindCandidates(const RequestInfo& aRequest,
                                 const SelectQuery& aQuery,
                                 const FleetView& aFleet,
                                 Instant aNow)
{
  mOpen.clear();
  mCandidates.clear();
  mHomes.clear();
  mPrefix = {};
  const auto& all = aFleet.All();
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    const BackendSlot slot(i);
    if (IsOpenFor(aRequest, aQuery, all[i]) &&
        !Contains(aQuery.excluded, slot)) {
      mOpen.push_back(slot);
    }
  }
  while (mSlotHashes.size() < all.size()) {
    const BackendSlot slot(static_cast<std::uint32_t>(mSlotHashes.size()));
    mSlotHashes.push_back(aFleet.HashAt(slot));
  }
  const auto reachable = [&](BackendSlot aSlot) {
    return aNow >= LoadAt(aSlot).unreachableUntil;
  };
  if (std::ranges::any_of(mOpen, reachable)) {
    std::erase_if(mOpen, [&](auto aSlot) { return !reachable(aSlot); });
  }
  if (mOpen.empty()) {
    return;
  }
  if (mOptions.rateLimiter) {
    KeepLeastLimited(mOpen, *mOptions.rateLimiter, aFleet, aNow);
  }
  AddRandomCandidates(mOpen);
  if (aQuery.kvCacheDomain) {
    std::vector<BackendSlot> near;
    std::ranges::copy_if(mOpen, std::back_inserter(near), [&](auto aSlot) {
      return aFleet.At(aSlot).domain == *aQuery.kvCacheDomain;
    });
    AddRandomCandidates(near);
  }
  if (mOptions.useAffinity && !aRequest.prefixHashes.empty()) {
    AddHomes(aRequest, aQuery, aFleet, aNow);
  }
}

// Draws distinct ones by the first steps of a Fisher-Yates shuffle.
void
LearningSelector::AddRandomCandidates(std::vector<BackendSlot>& aSlots)
{
  const auto wanted =
    std::min<std::size_t>(mOptions.randomCandidates, aSlots.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(aSlots[i], aSlots[i + mRandom.Below(aSlots.size() - i)]);
    AddCandidate(aSlots[i]);
  }
}

void
LearningSelector::AddHomes(const RequestInfo& aRequest,
                           const SelectQuery& aQuery,
                           const FleetView& aFleet,
                           Instant aNow)
{
  mPrefix = FindPrefix(aRequest);
  // Weighted rendezvous hashing: backend servers that suit the request better
  // are the home of more prefixes of such requests.
  mRanked.clear();
  for (const auto slot : mOpen) {
    const auto hash = MixHash(mPrefix.hash, mSlotHashes[slot.Value()]);
    const double uniform = (static_cast<double>(hash >> 11) + 1) * kHashUnit;
    const double cost =
      CostAt(aRequest, aQuery, aFleet.At(slot).capacity, mPrefix.length);
    mRanked.emplace_back(1 / (cost * cost * -std::log(uniform)), slot);
  }
  const auto n = std::min<std::size_t>(mOptions.homesPerPrefix, mRanked.size());
  std::partial_sort(mRanked.begin(),
                    mRanked.begin() + static_cast<std::ptrdiff_t>(n),
                    mRanked.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < n; ++i) {
    AddCandidate(mRanked[i].second);
    mHomes.push_back(mRanked[i].second);
  }
  for (const auto& it : mPrefixCaches.HoldersOf(mPrefix.hash, aNow)) {
    if (Contains(mOpen, it.slot)) {
      AddCandidate(it.slot);
    }
  }
}

void
LearningSelector::AddCandidate(BackendSlot aSlot)
{
  if (!Contains(mCandidates, aSlot)) {
    mCandidates.push_back(aSlot);
  }
}

LearningSelector::Prediction
LearningSelector::Predict(const RequestInfo& aRequest,
                          const SelectQuery& aQuery,
                          const FleetView& aFleet,
                          BackendSlot aSlot,
                          Instant aNow)
{
  const auto& backend = aFleet.At(aSlot);
  if (!aRequest.NeedsEngine()) {
    return PredictPlain(aRequest, backend, aSlot, aNow);
  }
  const auto& capacity = backend.capacity;
  const auto& load = LoadAt(aSlot);
  const double speed = SpeedOf(aSlot, aNow);
  const auto prompt = aRequest.promptTokens.Value();
  const auto heldTokens = CachedAt(aRequest, aQuery, aSlot, aNow);
  const auto source =
    CopySource(aRequest, aQuery, aFleet, aSlot, heldTokens, aNow);
  const auto cached = source ? source->tokens : heldTokens;
  // Engines that only prefill prompts decode no output.
  const auto output =
    aQuery.phase == WorkPhase::kPrefill ? 0 : aQuery.size.median.Value();
  const double requests =
    static_cast<double>(load.requests) + load.peers.requests;
  const double rate = capacity.prefillTokensPerSecond * speed;
  const double fullness =
    requests / std::max(1.0, static_cast<double>(capacity.slots));
  const double gap =
    capacity.tokenGapSeconds *
    (kIdleGapRatio + (1 - kIdleGapRatio) * std::min(1.0, fullness)) / speed;
  // Each request in excess of the slots waits until a slot is free.
  const double excessRequests = std::max(0.0, requests + 1 - capacity.slots);
  const double slotWait =
    excessRequests * output * gap / std::max<std::uint32_t>(1, capacity.slots);
  const bool queued = IsQueued(aRequest, aQuery.phase);
  const double ratedPrefill =
    (prompt - cached) / capacity.prefillTokensPerSecond;
  const double prefill =
    queued ? ratedPrefill * mPromptQueues.SlowdownOf(aSlot, aNow)
           : ratedPrefill / speed;
  const double copySeconds = source ? source->seconds : 0;
  // The time of a handover includes that of the first token.
  const double ownTime =
    aQuery.phase == WorkPhase::kDecode
      ? std::max(gap, ToSeconds(mHandovers.ExpectedTime(aSlot, aNow)))
      : prefill + gap + copySeconds;
  double queuedPrefill = 0;
  auto urgency = UrgencyOf(aQuery.lane);
  if (queued) {
    urgency = UrgencyFor(aRequest, prefill);
    queuedPrefill = ToSeconds(mPromptQueues.EstimateWait(aSlot, urgency, aNow));
    if (aNow + FromSeconds(queuedPrefill + slotWait + ownTime) >
        aRequest.FirstTokenDeadline() - kHandoverTime) {
      urgency = kLateUrgency;
      queuedPrefill =
        ToSeconds(mPromptQueues.EstimateWait(aSlot, urgency, aNow));
    }
  } else if (!mOptions.peersAnnouncePrompts) {
    queuedPrefill =
      (static_cast<double>(load.prefillTokens) + load.peers.prefillTokens) /
      rate;
  } else {
    urgency = UrgencyFor(aRequest, 0);
  }
  const double queueing = queuedPrefill + slotWait;
  const double wait = queueing + ownTime;
  Prediction prediction;
  prediction.choice = { .slot = aSlot,
                        .backend = backend.id,
                        .expectedWait = FromSeconds(wait),
                        .expectedGap = FromSeconds(capacity.tokenGapSeconds),
                        .cachedTokens = Tokens(cached),
                        .ratedPrefillTime = FromSeconds(ratedPrefill),
                        .urgency = urgency,
                        .phase = aQuery.phase };
  if (source) {
    prediction.choice.copyFrom = source->backend;
  }
  prediction.score = wait + output * gap +
                     kCostWeight * CostAt(aRequest, aQuery, capacity, cached);
  const bool unknown =
    queued && !mHomes.empty() && !mPrefixCaches.HasSeen(mPrefix.hash);
  if (unknown && !Contains(mHomes, aSlot)) {
    // Later requests find the prefix, which no engine has yet, at its home.
    prediction.score += kHomePreferenceWeight * mPrefix.length / rate;
  }
  if (aQuery.kvCacheDomain) {
    AddDistance(prediction, backend, *aQuery.kvCacheDomain);
  } else {
    AddDistance(prediction, backend, mOptions.domain);
  }
  double slots = capacity.slots * speed;
  if (mOptions.useLanes && aQuery.lane != Lane::kShort) {
    slots *= 1 - mOptions.shortReserve;
  }
  const bool stragglerFull =
    mOptions.useLanes && aQuery.lane == Lane::kStraggler &&
    load.stragglers + 1 > std::max(1.0, slots * mOptions.stragglerSlots);
  prediction.hasCapacity = FromSeconds(queueing) < mOptions.maxQueueingTime &&
                           requests < std::max(1.0, slots) && !stragglerFull;
  return prediction;
}

LearningSelector::Prediction
LearningSelector::PredictPlain(const RequestInfo& aRequest,
                               const Backend& aBackend,
                               BackendSlot aSlot,
                               Instant aNow)
{
  const double slots = std::max(1U, aBackend.capacity.slots);
  const double occupied =
    static_cast<double>(mPlainServices.Occupied(aSlot, aNow)) +
    LoadAt(aSlot).peers.requests;
  const double time =
    ToSeconds(mPlainServices.ExpectedTime(aSlot, aRequest.service, aNow));
  // Each call in excess of the slots waits until a slot is free.
  const double wait = time * (1 + std::max(0.0, occupied + 1 - slots) / slots);
  // A failed call costs its caller the time in which it can still be repeated,
  // or the whole answer if it must not be.
  const auto lost =
    aRequest.idempotent ? aRequest.lateAfter : aRequest.AnswerTimeout();
  Prediction prediction;
  prediction.choice = { .slot = aSlot,
                        .backend = aBackend.id,
                        .expectedWait = FromSeconds(wait),
                        .expectedGap = {},
                        .cachedTokens = {} };
  prediction.score =
    wait + mPlainServices.FailureRate(aSlot, aNow) * ToSeconds(lost);
  AddDistance(prediction, aBackend, mOptions.domain);
  prediction.hasCapacity =
    occupied < slots && !mPlainServices.IsFull(aSlot, aNow);
  return prediction;
}

void
LearningSelector::AddLimitWait(Prediction& aPrediction,
                               const RequestInfo& aRequest,
                               const SelectQuery& aQuery,
                               const Backend& aBackend,
                               Instant aNow) const
{
  if (!mOptions.rateLimiter || !mOptions.rateLimiter->HasLimits()) {
    return;
  }
  auto& choice = aPrediction.choice;
  choice.startAfter =
    mOptions.rateLimiter->WaitAt(choice.slot, aBackend.startedAt, aNow);
  choice.expectedWait += choice.startAfter;
  aPrediction.score += ToSeconds(choice.startAfter);
  aPrediction.isLimited =
    choice.startAfter > Duration::zero() &&
    !MayWaitForPlace(aRequest, aQuery, choice.expectedWait, aNow);
}

void
LearningSelector::AddDistance(Prediction& aPrediction,
                              const Backend& aBackend,
                              const DomainId& aFrom) const
{
  if (!aFrom.Value().empty() && aBackend.domain != aFrom) {
    aPrediction.score += ToSeconds(mOptions.crossDomainPenalty);
  }
}

bool
LearningSelector::IsQueued(const RequestInfo& aRequest, WorkPhase aPhase) const
{
  return mOptions.peersAnnouncePrompts && aRequest.NeedsEngine() &&
         aPhase != WorkPhase::kDecode;
}

std::uint32_t
LearningSelector::CachedAt(const RequestInfo& aRequest,
                           const SelectQuery& aQuery,
                           BackendSlot aSlot,
                           Instant aNow) const
{
  const auto prompt = aRequest.promptTokens.Value();
  if (aQuery.phase == WorkPhase::kDecode) {
    return prompt; // the KV cache of the whole prompt is handed over
  }
  if (mOptions.peersAnnouncePrompts) {
    for (auto depth = aRequest.prefixHashes.size(); depth > 0; --depth) {
      if (mPrefixCaches.Holds(aRequest.prefixHashes[depth - 1], aSlot, aNow)) {
        return std::min(prompt, aRequest.PrefixTokens(depth).Value());
      }
    }
    return 0;
  }
  return Contains(mHomes, aSlot) ? std::min(prompt, mPrefix.tokens) : 0;
}

std::optional<LearningSelector::Copy>
LearningSelector::CopySource(const RequestInfo& aRequest,
                             const SelectQuery& aQuery,
                             const FleetView& aFleet,
                             BackendSlot aSlot,
                             std::uint32_t aHeldTokens,
                             Instant aNow) const
{
  const auto& backend = aFleet.At(aSlot);
  const double rate = backend.capacity.copyTokensPerSecond;
  if (rate <= 0 || aQuery.phase == WorkPhase::kDecode ||
      aRequest.prefixHashes.empty()) {
    return std::nullopt;
  }
  const auto whole =
    std::min(aRequest.promptTokens.Value(),
             aRequest.PrefixTokens(aRequest.prefixHashes.size()).Value());
  if (whole < aHeldTokens + kMinCopyTokens) {
    return std::nullopt;
  }
  std::optional<Copy> best;
  for (const auto& it :
       mPrefixCaches.HoldersOf(aRequest.prefixHashes.back(), aNow)) {
    const auto& holder = aFleet.At(it.slot);
    const bool isRequired = aRequest.requiredVersion.value_or(
                              holder.softwareVersion) == holder.softwareVersion;
    if (it.slot == aSlot || aNow < it.readyAt ||
        holder.state != BackendState::kOpen || !isRequired) {
      continue;
    }
    const double distance =
      holder.domain == backend.domain ? 1.0 : kCrossDomainCopyFactor;
    const double seconds = distance * (whole - aHeldTokens) / rate;
    if (!best || seconds < best->seconds) {
      best = Copy{ .backend = holder.id, .tokens = whole, .seconds = seconds };
    }
  }
  return best;
}

void
LearningSelector::RecordHolder(const std::vector<std::uint64_t>& aPrefixes,
                               BackendSlot aSlot,
                               Instant aReadyAt,
                               Instant aNow)
{
  for (const auto prefix : aPrefixes) {
    mPrefixCaches.RecordPrompt(prefix, aSlot, aReadyAt, aNow);
  }
}

void
LearningSelector::RemoveHolder(const AttemptInfo& aAttempt)
{
  for (const auto prefix : aAttempt.prefixes) {
    mPrefixCaches.Remove(prefix, aAttempt.slot);
  }
}

LearningSelector::KnownPrefix
LearningSelector::FindPrefix(const RequestInfo& aRequest) const
{
  // Until a shorter prefix has been seen, the whole prefix may be the shared
  // part.
  const auto whole =
    aRequest.PrefixTokens(aRequest.prefixHashes.size()).Value();
  KnownPrefix known{ .hash = aRequest.prefixHashes.back(),
                     .length = whole,
                     .tokens = 0 };
  ForRecordedDepths(aRequest.prefixHashes.size(), [&](std::size_t aDepth) {
    const auto hash = aRequest.prefixHashes[aDepth - 1];
    if (mSeenPrefixes.Find(hash) != nullptr) {
      const auto tokens = aRequest.PrefixTokens(aDepth).Value();
      known = { hash, tokens, tokens };
    }
  });
  if (!aRequest.prefixEnds.empty()) {
    // The whole prefix is known to be shared. Its home does not depend on what
    // this process has seen, and is likely to hold it since the first request
    // for it at any entry.
    known = { aRequest.prefixHashes.back(), whole, whole };
  }
  return known;
}

void
LearningSelector::OnArrival(const RequestInfo& aRequest)
{
  ForRecordedDepths(aRequest.prefixHashes.size(), [&](std::size_t aDepth) {
    mSeenPrefixes.GetOrInsert(aRequest.prefixHashes[aDepth - 1]);
  });
}

} // namespace firefly::policy
