#include "policy/stage_load_tracker.h"

#include <algorithm>
#include <cmath>

namespace firefly::policy {

namespace {

// Time constant of the exponential decay. It spans several bursts, because a
// change of roles takes longer than most of them.
constexpr double kTimeConstantSeconds = 10.0;
// Rates over less time than this say little and are not given.
constexpr double kMinSpanSeconds = 2.0;
// A peer's loads are ignored when its last digest is older than this.
constexpr Duration kPeerTimeout = std::chrono::seconds(5);
// Time in which the typical time can change by the factor e. It is longer than
// a burst, which must not look typical, but shorter at first.
constexpr double kTypicalTimeConstantSeconds = 10.0;
constexpr double kMinTypicalTimeConstantSeconds = 1.0;
constexpr double kPermille = 1000;

std::uint32_t
ToPermille(double aLoad)
{
  return static_cast<std::uint32_t>(std::lround(aLoad * kPermille));
}

} // namespace

StageLoads&
StageLoads::operator+=(const StageLoads& aOther)
{
  prefill.work += aOther.prefill.work;
  prefill.waiting += aOther.prefill.waiting;
  decode.work += aOther.decode.work;
  decode.waiting += aOther.decode.waiting;
  return *this;
}

void
StageLoadTracker::OnPassed(const ModelId& aModel,
                           Stage aStage,
                           double aPrefillSeconds,
                           Duration aTook,
                           Instant aNow)
{
  auto& model = TallyOf(aModel, aNow);
  auto& tally = aStage == Stage::kPrefill ? model.prefill : model.decode;
  const double rest = std::max(0.0, ToSeconds(aTook) - aPrefillSeconds);
  if (tally.typical < 0) {
    tally.typical = rest;
    tally.lastAt = aNow;
  }
  const double passed = ToSeconds(aNow - tally.lastAt);
  tally.lastAt = aNow;
  const double timeConstant = std::clamp(ToSeconds(aNow - model.firstAt),
                                         kMinTypicalTimeConstantSeconds,
                                         kTypicalTimeConstantSeconds);
  tally.typical *=
    std::exp((rest < tally.typical ? -passed : passed) / timeConstant);
  tally.waiting += std::max(0.0, rest - tally.typical);
  tally.work += aPrefillSeconds;
}

void
StageLoadTracker::OnDecoded(const ModelId& aModel,
                            Duration aTook,
                            std::uint32_t aSlots,
                            Instant aNow)
{
  TallyOf(aModel, aNow).decode.work +=
    ToSeconds(aTook) / std::max<std::uint32_t>(1, aSlots);
}

StageLoadTracker::ModelTally&
StageLoadTracker::TallyOf(const ModelId& aModel, Instant aNow)
{
  const auto [it, isNew] = mOwn.try_emplace(StableHash(aModel.Value()));
  auto& model = it->second;
  if (isNew) {
    model.firstAt = aNow;
    model.decayedAt = aNow;
  }
  const double decay =
    std::exp(-ToSeconds(aNow - model.decayedAt) / kTimeConstantSeconds);
  for (auto* tally : { &model.prefill, &model.decode }) {
    tally->work *= decay;
    tally->waiting *= decay;
  }
  model.decayedAt = aNow;
  return model;
}

void
StageLoadTracker::OnPeerDigest(const Digest& aDigest, Instant aNow)
{
  auto& peer = mPeers[aDigest.host];
  peer.receivedAt = aNow;
  peer.loads.clear();
  for (const auto& it : aDigest.stages) {
    peer.loads[it.model] = {
      .prefill = { .work = it.prefillWork / kPermille,
                   .waiting = it.prefillWaiting / kPermille },
      .decode = { .work = it.decodeWork / kPermille,
                  .waiting = it.decodeWaiting / kPermille },
    };
  }
}

void
StageLoadTracker::FillDigest(Digest& aDigest, Instant aNow)
{
  for (const auto& [model, tally] : mOwn) {
    const auto loads = RateOf(tally, aNow);
    aDigest.stages.push_back(
      { .model = model,
        .prefillWork = ToPermille(loads.prefill.work),
        .prefillWaiting = ToPermille(loads.prefill.waiting),
        .decodeWork = ToPermille(loads.decode.work),
        .decodeWaiting = ToPermille(loads.decode.waiting) });
  }
}

StageLoads
StageLoadTracker::Sum(const ModelId& aModel, Instant aNow) const
{
  const auto hash = StableHash(aModel.Value());
  StageLoads sum;
  if (const auto own = mOwn.find(hash); own != mOwn.end()) {
    sum += RateOf(own->second, aNow);
  }
  for (const auto& [host, peer] : mPeers) {
    const auto it = peer.loads.find(hash);
    if (it != peer.loads.end() && aNow - peer.receivedAt <= kPeerTimeout) {
      sum += it->second;
    }
  }
  return sum;
}

StageLoads
StageLoadTracker::RateOf(const ModelTally& aTally, Instant aNow)
{
  // The sums cover the time since the first request, of which the decay leaves
  // this many seconds.
  const double span = ToSeconds(aNow - aTally.firstAt);
  if (span < kMinSpanSeconds) {
    return {};
  }
  const double seconds =
    kTimeConstantSeconds * -std::expm1(-span / kTimeConstantSeconds);
  const double decay =
    std::exp(-ToSeconds(aNow - aTally.decayedAt) / kTimeConstantSeconds);
  const auto rate = [&](const Tally& aStage) {
    return StageLoad{ .work = aStage.work * decay / seconds,
                      .waiting = aStage.waiting * decay / seconds };
  };
  return { .prefill = rate(aTally.prefill), .decode = rate(aTally.decode) };
}

} // namespace firefly::policy
