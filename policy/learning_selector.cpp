#include "policy/learning_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace firefly::policy {

namespace {

// A sample below this part of the known speed counts as slow at once.
constexpr double kSlowSample = 0.6;
// What one slow sample closes of the gap to it.
constexpr double kSlowStep = 0.5;
// What one good sample gives back.
constexpr double kGoodStep = 0.08;
constexpr double kLeastSpeed = 0.05;
// First tokens sooner than this beyond what was expected say nothing.
constexpr double kWaitNoiseSeconds = 0.1;
// The gap between tokens with one request running, as a part of the full one.
constexpr double kIdleGap = 0.5;
// Checks for silent peers are this far apart.
constexpr Duration kPeerCheck = std::chrono::milliseconds(200);

// The part of a shared prefix's reading that it is worth to have the prefix
// cached at its home.
constexpr double kKeptPrefixWeight = 0.5;
// The weight of a request's use of a backend server beside its own time.
constexpr double kCostWeight = 1.0;
// A prefix shorter than this is read again rather than copied.
constexpr std::uint32_t kLeastCopy = 256; // tokens
// Copies between failure domains take so many times as long.
constexpr double kFarCopyFactor = 2.0;
// Urgencies of prompts: three for each of the operators' ranks, by how long the
// reading takes, and a last one for what is late already, so that it delays
// nothing that can still be in time.
constexpr std::uint32_t kRankSteps = 3;
constexpr std::uint32_t kLastRank = 2;
constexpr double kShortReading = 0.06; // seconds; half of the usual prompts
constexpr double kLongReading = 0.2;   // seconds; one in ten of them
constexpr EngineUrgency kLateUrgency{ 9 };
// From the end of reading to the first output, at another engine.
constexpr Duration kAfterPrompt = std::chrono::milliseconds(80);
// Turns the upper bits of a hash into a number in (0, 1).
constexpr double kHashUnit = 1.0 / 9007199254740994.0; // 2^53 + 2

// What a request takes of a backend server, as seconds of all of it.
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
    aQuery.phase == WorkPhase::kPrompt ? Tokens(0) : aQuery.size.usual;
  return aCapacity.SecondsOf(Tokens(prompt - cached + 1), output);
}

// Depths at which prefixes are remembered: powers of two, and the whole.
template<typename Visit>
void
ForRememberedDepths(std::size_t aBlocks, Visit aVisit)
{
  for (std::size_t depth = 1; depth < aBlocks; depth *= 2) {
    aVisit(depth);
  }
  if (aBlocks > 0) {
    aVisit(aBlocks);
  }
}

EngineUrgency
UrgencyFor(const RequestInfo& aRequest, double aReadingSeconds)
{
  const auto rank = std::min(aRequest.rank.value_or(0), kLastRank);
  std::uint32_t step = aReadingSeconds > kShortReading ? 1 : 0;
  step += aReadingSeconds > kLongReading ? 1 : 0;
  return EngineUrgency(static_cast<std::uint8_t>(rank * kRankSteps + step));
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
  ForgetSilentPeers(aNow);
  FindCandidates(aRequest, aQuery, aFleet, aNow);
  if (mCandidates.empty()) {
    return tl::make_unexpected(SelectError{ SelectFailure::kNoBackend, {} });
  }
  Prediction best;
  best.score = std::numeric_limits<double>::max();
  bool found = false;
  auto leastWait = Duration::max();
  for (const auto slot : mCandidates) {
    const auto prediction = Predict(aRequest, aQuery, aFleet, slot, aNow);
    leastWait = std::min(leastWait, prediction.choice.expectedWait);
    const bool usable = prediction.hasRoom || aQuery.ignoreRoom;
    if (usable && prediction.score < best.score) {
      best = prediction;
      found = true;
    }
  }
  if (!found) {
    return tl::make_unexpected(
      SelectError{ SelectFailure::kNoRoom, leastWait });
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
  if (IsQueued(aRequest, aChoice.phase)) {
    attempt.prompt = mQueues.Add(
      aChoice.slot, aChoice.urgency, ToSeconds(aChoice.promptTime), aNow);
  }
  if (mOptions.hearsPlaced) {
    attempt.prefixes = aRequest.prefixHashes;
    NoteHolder(
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
  LoadAt(aAttempt.slot).heard = aNow;
  if (aAttempt.prompt) {
    mQueues.OnRead(aAttempt.slot, *aAttempt.prompt, aNow);
  }
  LoadAt(aAttempt.slot).prefillTokens -= aAttempt.prefillTokens.Value();
  const double expected = ToSeconds(aAttempt.expectedWait) + kWaitNoiseSeconds;
  const double wait = ToSeconds(aWait);
  TakeSample(aAttempt.slot,
             SpeedOf(aAttempt.slot) * expected / std::max(wait, expected));
}

void
LearningSelector::OnTokens(const AttemptInfo& aAttempt,
                           Duration aMeanGap,
                           Instant aNow)
{
  LoadAt(aAttempt.slot).heard = aNow;
  const double full = ToSeconds(aAttempt.expectedGap);
  const double gap = ToSeconds(aMeanGap);
  if (gap > 0 && full > 0) {
    TakeSample(aAttempt.slot, std::min(1.0, full / gap));
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
  load.prefillTokens -= aAttempt.prefillTokens.Value();
  if (aAttempt.prompt) {
    mQueues.Remove(aAttempt.slot, *aAttempt.prompt, aNow);
  }
}

void
LearningSelector::OnError(const AttemptInfo& aAttempt, Instant aNow)
{
  OnFinish(aAttempt, aNow);
  ForgetHolder(aAttempt);
  TakeSample(aAttempt.slot, kLeastSpeed);
}

void
LearningSelector::OnUnreachable(const AttemptInfo& aAttempt, Instant aNow)
{
  OnFinish(aAttempt, aNow);
  ForgetHolder(aAttempt);
  LoadAt(aAttempt.slot).notBefore = aNow + mOptions.unreachableFor;
}

void
LearningSelector::OnOverdue(const AttemptInfo& aAttempt,
                            Duration aWaited,
                            Instant /*aNow*/)
{
  const double expected = ToSeconds(aAttempt.expectedWait) + kWaitNoiseSeconds;
  const double waited = std::max(ToSeconds(aWaited), expected);
  TakeSample(aAttempt.slot, expected / waited);
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
  Forget(peer);
  peer.heard = aNow;
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
LearningSelector::OnPeerPlaced(BackendSlot aSlot,
                               const BackendNotice& aNotice,
                               const FleetView& aFleet,
                               Instant aNow)
{
  if (!mOptions.hearsPlaced) {
    return;
  }
  const double rate = aFleet.At(aSlot).capacity.prefillTokensPerSecond;
  mQueues.AddOfPeer(
    aSlot, aNotice.urgency, aNotice.uncached.Value() / rate, aNow);
  NoteHolder(aNotice.prefixes,
             aSlot,
             aNow + mQueues.WaitAt(aSlot, aNotice.urgency, aNow),
             aNow);
}

void
LearningSelector::OnPeerSilent(BackendSlot aSlot, Instant aNow)
{
  auto& load = LoadAt(aSlot);
  if (aNow - load.heard > mOptions.trustOwn) {
    load.notBefore = aNow + mOptions.unreachableFor;
  }
}

void
LearningSelector::FillDigest(Digest& aDigest,
                             const FleetView& aFleet,
                             Instant /*aNow*/) const
{
  for (std::size_t i = 0; i < mLoads.size(); ++i) {
    const auto& load = mLoads[i];
    if (load.requests == 0) {
      continue;
    }
    const BackendSlot slot(static_cast<std::uint32_t>(i));
    aDigest.work.push_back(
      { .backend = aFleet.HashAt(slot),
        .requests = load.requests,
        .prefillTokens = load.prefillTokens,
        .speedPermille = static_cast<std::uint32_t>(load.speed * 1000) });
  }
}

double
LearningSelector::SpeedOf(BackendSlot aSlot) const
{
  return aSlot.Value() < mLoads.size() ? mLoads[aSlot.Value()].speed : 1.0;
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
LearningSelector::TakeSample(BackendSlot aSlot, double aSpeed)
{
  if (!mOptions.useSpeed) {
    return;
  }
  auto& speed = LoadAt(aSlot).speed;
  if (aSpeed < speed * kSlowSample) {
    speed += kSlowStep * (aSpeed - speed);
  } else if (aSpeed > speed) {
    speed += kGoodStep * (aSpeed - speed);
  }
  speed = std::clamp(speed, kLeastSpeed, 1.0);
}

void
LearningSelector::Forget(Peer& aPeer)
{
  for (const auto& [slot, work] : aPeer.work) {
    auto& load = LoadAt(slot);
    load.peers.requests -= work.requests;
    load.peers.prefillTokens -= work.prefillTokens;
  }
  aPeer.work.clear();
}

void
LearningSelector::ForgetSilentPeers(Instant aNow)
{
  if (aNow - mPeersChecked < kPeerCheck) {
    return;
  }
  mPeersChecked = aNow;
  for (auto& [host, peer] : mPeers) {
    if (aNow - peer.heard > mOptions.peerMemory) {
      Forget(peer);
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
    return aNow >= LoadAt(aSlot).notBefore;
  };
  if (std::ranges::any_of(mOpen, reachable)) {
    std::erase_if(mOpen, [&](auto aSlot) { return !reachable(aSlot); });
  }
  if (mOpen.empty()) {
    return;
  }
  // The first steps of a shuffle: candidates that differ from each other.
  const auto wanted =
    std::min<std::size_t>(mOptions.randomCandidates, mOpen.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(mOpen[i], mOpen[i + mRandom.Below(mOpen.size() - i)]);
    AddCandidate(mOpen[i]);
  }
  if (mOptions.useAffinity && !aRequest.prefixHashes.empty()) {
    AddHomes(aRequest, aQuery, aFleet, aNow);
  }
}

void
LearningSelector::AddHomes(const RequestInfo& aRequest,
                           const SelectQuery& aQuery,
                           const FleetView& aFleet,
                           Instant aNow)
{
  mPrefix = FindPrefix(aRequest);
  // Rendezvous hashing with weights: backend servers that suit the request
  // better hold more of its kind.
  mRanked.clear();
  for (const auto slot : mOpen) {
    const auto hash = MixHash(mPrefix.hash, mSlotHashes[slot.Value()]);
    const double draw = (static_cast<double>(hash >> 11) + 1) * kHashUnit;
    const double cost =
      CostAt(aRequest, aQuery, aFleet.At(slot).capacity, mPrefix.length);
    mRanked.emplace_back(1 / (cost * cost * -std::log(draw)), slot);
  }
  const auto n = std::min<std::size_t>(mOptions.homes, mRanked.size());
  std::partial_sort(mRanked.begin(),
                    mRanked.begin() + static_cast<std::ptrdiff_t>(n),
                    mRanked.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < n; ++i) {
    AddCandidate(mRanked[i].second);
    mHomes.push_back(mRanked[i].second);
  }
  for (const auto& it : mHolders.HoldersOf(mPrefix.hash, aNow)) {
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
  const auto& capacity = backend.capacity;
  const auto& load = LoadAt(aSlot);
  const double speed = load.speed;
  const auto prompt = aRequest.promptTokens.Value();
  const auto held = CachedAt(aRequest, aQuery, aSlot, aNow);
  const auto source = CopySource(aRequest, aQuery, aFleet, aSlot, held, aNow);
  const auto cached = source ? source->tokens : held;
  // Engines that only read prompts make no output.
  const auto output =
    aQuery.phase == WorkPhase::kPrompt ? 0 : aQuery.size.usual.Value();
  const double requests =
    static_cast<double>(load.requests) + load.peers.requests;
  const double rate = capacity.prefillTokensPerSecond * speed;
  const double fullness =
    requests / std::max(1.0, static_cast<double>(capacity.slots));
  const double gap = capacity.tokenGapSeconds *
                     (kIdleGap + (1 - kIdleGap) * std::min(1.0, fullness)) /
                     speed;
  // Beyond the slots each request waits until one of them is free.
  const double beyond = std::max(0.0, requests + 1 - capacity.slots);
  const double slotWait =
    beyond * output * gap / std::max<std::uint32_t>(1, capacity.slots);
  const bool queued = IsQueued(aRequest, aQuery.phase);
  const double rated = (prompt - cached) / capacity.prefillTokensPerSecond;
  const double reading = queued ? rated * mQueues.PaceOf(aSlot) : rated / speed;
  const double copy = source ? source->seconds : 0;
  const double own = reading + gap + copy;
  double before = 0;
  auto urgency = UrgencyOf(aQuery.lane);
  if (queued) {
    urgency = UrgencyFor(aRequest, reading);
    before = ToSeconds(mQueues.WaitAt(aSlot, urgency, aNow));
    if (aNow + FromSeconds(before + slotWait + own) >
        aRequest.FirstTokenDeadline() - kAfterPrompt) {
      urgency = kLateUrgency;
      before = ToSeconds(mQueues.WaitAt(aSlot, urgency, aNow));
    }
  } else if (!mOptions.hearsPlaced) {
    before =
      (static_cast<double>(load.prefillTokens) + load.peers.prefillTokens) /
      rate;
  } else if (aRequest.NeedsEngine()) {
    urgency = UrgencyFor(aRequest, 0);
  }
  const double queueing = before + slotWait;
  const double wait = queueing + own;
  Prediction prediction;
  prediction.choice = { .slot = aSlot,
                        .backend = backend.id,
                        .expectedWait = FromSeconds(wait),
                        .expectedGap = FromSeconds(capacity.tokenGapSeconds),
                        .cachedTokens = Tokens(cached),
                        .promptTime = FromSeconds(rated),
                        .urgency = urgency,
                        .phase = aQuery.phase };
  if (source) {
    prediction.choice.copyFrom = source->backend;
  }
  prediction.score = wait + output * gap +
                     kCostWeight * CostAt(aRequest, aQuery, capacity, cached);
  const bool unknown =
    queued && !mHomes.empty() && !mHolders.Knows(mPrefix.hash);
  if ((aQuery.phase == WorkPhase::kOutput || unknown) &&
      !Contains(mHomes, aSlot)) {
    // The memory that is handed over stays cached; at its home, later requests
    // find it.
    prediction.score += kKeptPrefixWeight * mPrefix.length / rate;
  }
  if (!mOptions.domain.Value().empty() && backend.domain != mOptions.domain) {
    prediction.score += ToSeconds(mOptions.farCost);
  }
  double slots = capacity.slots * speed;
  if (mOptions.useLanes && aQuery.lane != Lane::kShort) {
    slots *= 1 - mOptions.shortReserve;
  }
  const bool stragglerFull =
    mOptions.useLanes && aQuery.lane == Lane::kStraggler &&
    load.stragglers + 1 > std::max(1.0, slots * mOptions.stragglerSlots);
  prediction.hasRoom = FromSeconds(queueing) < mOptions.fullAt &&
                       requests < std::max(1.0, slots) && !stragglerFull;
  return prediction;
}

bool
LearningSelector::IsQueued(const RequestInfo& aRequest, WorkPhase aPhase) const
{
  return mOptions.hearsPlaced && aRequest.NeedsEngine() &&
         aPhase != WorkPhase::kOutput;
}

std::uint32_t
LearningSelector::CachedAt(const RequestInfo& aRequest,
                           const SelectQuery& aQuery,
                           BackendSlot aSlot,
                           Instant aNow) const
{
  const auto prompt = aRequest.promptTokens.Value();
  if (aQuery.phase == WorkPhase::kOutput) {
    return prompt; // it comes with the memory that is handed over
  }
  if (mOptions.hearsPlaced) {
    for (auto depth = aRequest.prefixHashes.size(); depth > 0; --depth) {
      if (mHolders.Holds(aRequest.prefixHashes[depth - 1], aSlot, aNow)) {
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
                             std::uint32_t aHeld,
                             Instant aNow) const
{
  const auto& backend = aFleet.At(aSlot);
  const double rate = backend.capacity.copyTokensPerSecond;
  if (rate <= 0 || aQuery.phase == WorkPhase::kOutput ||
      aRequest.prefixHashes.empty()) {
    return std::nullopt;
  }
  const auto whole =
    std::min(aRequest.promptTokens.Value(),
             aRequest.PrefixTokens(aRequest.prefixHashes.size()).Value());
  if (whole < aHeld + kLeastCopy) {
    return std::nullopt;
  }
  std::optional<Copy> best;
  for (const auto& it :
       mHolders.HoldersOf(aRequest.prefixHashes.back(), aNow)) {
    const auto& holder = aFleet.At(it.slot);
    if (it.slot == aSlot || aNow < it.readyAt ||
        holder.state != BackendState::kOpen) {
      continue;
    }
    const double distance =
      holder.domain == backend.domain ? 1.0 : kFarCopyFactor;
    const double seconds = distance * (whole - aHeld) / rate;
    if (!best || seconds < best->seconds) {
      best = Copy{ .backend = holder.id, .tokens = whole, .seconds = seconds };
    }
  }
  return best;
}

void
LearningSelector::NoteHolder(const std::vector<std::uint64_t>& aPrefixes,
                             BackendSlot aSlot,
                             Instant aReadyAt,
                             Instant aNow)
{
  for (const auto prefix : aPrefixes) {
    mHolders.Note(prefix, aSlot, aReadyAt, aNow);
  }
}

void
LearningSelector::ForgetHolder(const AttemptInfo& aAttempt)
{
  for (const auto prefix : aAttempt.prefixes) {
    mHolders.Forget(prefix, aAttempt.slot);
  }
}

LearningSelector::KnownPrefix
LearningSelector::FindPrefix(const RequestInfo& aRequest) const
{
  // Until a part of it was seen, all of it may be what others share.
  const auto whole =
    aRequest.PrefixTokens(aRequest.prefixHashes.size()).Value();
  KnownPrefix known{ .hash = aRequest.prefixHashes.back(),
                     .length = whole,
                     .tokens = 0 };
  ForRememberedDepths(aRequest.prefixHashes.size(), [&](std::size_t aDepth) {
    const auto hash = aRequest.prefixHashes[aDepth - 1];
    if (mPrefixes.Find(hash) != nullptr) {
      const auto tokens = aRequest.PrefixTokens(aDepth).Value();
      known = { hash, tokens, tokens };
    }
  });
  if (!aRequest.prefixEnds.empty()) {
    // All of it is shared: its home depends on nothing that was seen here, and
    // is likely to hold it since some entry's first request for it.
    known = { aRequest.prefixHashes.back(), whole, whole };
  }
  return known;
}

void
LearningSelector::OnArrival(const RequestInfo& aRequest)
{
  ForRememberedDepths(aRequest.prefixHashes.size(), [&](std::size_t aDepth) {
    mPrefixes.Use(aRequest.prefixHashes[aDepth - 1]);
  });
}

} // namespace firefly::policy
