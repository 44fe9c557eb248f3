#include "policy/crash_correlator.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "policy/fleet_view.h"

namespace firefly::policy {

namespace {

// A crash of a request that shares only some traits with the requests of
// earlier crashes confirms these, but says little by itself.
constexpr std::uint32_t kMaxInheritedCrashes = 1;
// Disproved suspicions are reported to peers for this long.
constexpr Duration kReportClearanceFor = std::chrono::seconds(10);

bool
Includes(const CrashTraits& aAll, const CrashTraits& aSome)
{
  return std::ranges::includes(aAll, aSome);
}

CrashTraits
Intersect(const CrashTraits& aLeft, const CrashTraits& aRight)
{
  CrashTraits common;
  std::ranges::set_intersection(aLeft, aRight, std::back_inserter(common));
  return common;
}

} // namespace

bool
CrashSuspicion::IsNewerThan(const CrashSuspicion& aOther) const
{
  return std::tie(clearances, crashes, trials) >
         std::tie(aOther.clearances, aOther.crashes, aOther.trials);
}

TraitCrashCorrelator::TraitCrashCorrelator(Options aOptions)
  : mOptions(aOptions)
{
}

bool
TraitCrashCorrelator::IsHeld(const Record& aRecord, Instant aNow) const
{
  const auto& suspicion = aRecord.suspicion;
  const auto needed = suspicion.clearances == 0 ? mOptions.crashesToHold
                                                : mOptions.crashesToHoldAgain;
  return suspicion.crashes >= needed && suspicion.isContrasted &&
         aRecord.lastProof < aNow - mOptions.proofValidFor &&
         aNow - aRecord.lastCrash < mOptions.holdTime;
}

const TraitCrashCorrelator::Record*
TraitCrashCorrelator::FindHolder(const CrashTraits& aTraits, Instant aNow) const
{
  const Record* holder = nullptr;
  for (const auto& [traits, record] : mRecords) {
    if (IsHeld(record, aNow) && Includes(aTraits, traits) &&
        (holder == nullptr ||
         holder->suspicion.crashes < record.suspicion.crashes)) {
      holder = &record;
    }
  }
  return holder;
}

Duration
TraitCrashCorrelator::TrialWait(const Record& aRecord, Instant aNow) const
{
  auto wait = mOptions.trialAfter;
  for (auto n = mOptions.crashesToHold;
       n < aRecord.suspicion.crashes && wait < mOptions.maxTrialAfter;
       ++n) {
    wait *= 2;
  }
  wait = std::min(wait, mOptions.maxTrialAfter);
  // The processes' waits differ, so that the first of them tells the others
  // before theirs end.
  const auto trait = aRecord.suspicion.traits.front().Value();
  constexpr std::uint64_t kSteps = 1024;
  const auto step = MixHash(mOptions.seed, trait) % kSteps;
  wait += wait * static_cast<Duration::rep>(step) /
          static_cast<Duration::rep>(kSteps);
  const auto since = std::max(aRecord.lastCrash, aRecord.lastTrial);
  return std::max(Duration::zero(), since + wait - aNow);
}

CrashDecision
TraitCrashCorrelator::Decide(const RequestInfo& aRequest, Instant aNow) const
{
  const auto* holder = FindHolder(aRequest.crashTraits, aNow);
  if (holder == nullptr) {
    return {};
  }
  const auto wait = TrialWait(*holder, aNow);
  if (wait > Duration::zero()) {
    return { .verdict = CrashVerdict::kHeld, .retryAfter = wait };
  }
  return { .verdict = CrashVerdict::kTrial, .retryAfter = {} };
}

bool
TraitCrashCorrelator::HoldsAny(Instant aNow) const
{
  return HeldCount(aNow) > 0;
}

std::size_t
TraitCrashCorrelator::HeldCount(Instant aNow) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRecords, [&](const auto& aEntry) { return IsHeld(aEntry.second, aNow); }));
}

void
TraitCrashCorrelator::OnTrial(const RequestInfo& aRequest, Instant aNow)
{
  for (auto& [traits, record] : mRecords) {
    if (IsHeld(record, aNow) && Includes(aRequest.crashTraits, traits)) {
      record.suspicion.trials++;
      record.lastTrial = aNow;
      record.changed = aNow;
      mChanged.insert(traits);
    }
  }
}

void
TraitCrashCorrelator::OnCrash(const RequestInfo& aRequest,
                              Instant aSent,
                              Instant aNow)
{
  if (aRequest.crashTraits.empty()) {
    return;
  }
  Forget(aNow);
  if (const auto* holder = FindHolder(aRequest.crashTraits, aNow)) {
    // Explains the crash, so nothing else is suspected of it.
    CountCrash(CrashTraits(holder->suspicion.traits), aSent, aNow);
    return;
  }
  std::set<CrashTraits> suspects{ aRequest.crashTraits };
  for (const auto& [traits, record] : mRecords) {
    if (record.suspicion.crashes > 0) {
      suspects.insert(Intersect(traits, aRequest.crashTraits));
    }
  }
  suspects.erase(CrashTraits{});
  for (const auto& it : suspects) {
    if (!WasHarmless(it, aNow - mOptions.proofValidFor)) {
      CountCrash(it, aSent, aNow);
    }
  }
}

bool
TraitCrashCorrelator::WasHarmless(const CrashTraits& aTraits,
                                  Instant aSince) const
{
  return std::ranges::any_of(mRecords, [&](const auto& aEntry) {
    return aEntry.second.lastProof > aSince && Includes(aEntry.first, aTraits);
  });
}

std::uint32_t
TraitCrashCorrelator::InheritedCrashes(const CrashTraits& aTraits,
                                       Instant aSent) const
{
  std::uint32_t crashes = 0;
  for (const auto& [traits, record] : mRecords) {
    if (record.lastCrash <= aSent && Includes(traits, aTraits) &&
        !WasHarmless(aTraits, record.firstCrash)) {
      crashes = std::max(crashes, record.suspicion.crashes);
    }
  }
  return std::min(crashes, kMaxInheritedCrashes);
}

void
TraitCrashCorrelator::CountCrash(const CrashTraits& aTraits,
                                 Instant aSent,
                                 Instant aNow)
{
  const bool isKnown = mRecords.contains(aTraits);
  const auto inherited = isKnown ? 0 : InheritedCrashes(aTraits, aSent);
  auto& record = Insert(aTraits, aNow);
  auto& suspicion = record.suspicion;
  if (suspicion.crashes > 0 && aSent < record.lastCrash) {
    return; // it was sent before the last crash was known
  }
  if (suspicion.crashes == 0) {
    record.firstCrash = aNow;
    suspicion.isContrasted = false;
  }
  suspicion.crashes += 1 + inherited;
  suspicion.trials = 0;
  record.lastCrash = aNow;
  mChanged.insert(aTraits);
}

void
TraitCrashCorrelator::OnHarmless(const RequestInfo& aRequest,
                                 Instant aBegun,
                                 Instant aNow)
{
  std::set<CrashTraits> shared;
  for (auto& [traits, record] : mRecords) {
    auto& suspicion = record.suspicion;
    if (suspicion.crashes == 0 || aBegun < record.firstCrash) {
      continue;
    }
    auto common = Intersect(traits, aRequest.crashTraits);
    if (common != traits) {
      const bool isContrast = !common.empty() || traits.size() == 1;
      if (isContrast && !suspicion.isContrasted) {
        suspicion.isContrasted = true;
        // Peers that serve few requests may see none of their own.
        if (suspicion.crashes > 1) {
          mChanged.insert(traits);
        }
      }
      shared.insert(std::move(common));
      continue;
    }
    suspicion.clearances++;
    suspicion.crashes = 0;
    suspicion.trials = 0;
    suspicion.isContrasted = false;
    record.lastProof = aNow;
    record.changed = aNow;
    mChanged.insert(traits);
  }
  // What these traits have in common with later crashes is not suspected again
  // without new evidence.
  shared.erase(CrashTraits{});
  for (const auto& it : shared) {
    Insert(it, aNow).lastProof = aNow;
  }
}

void
TraitCrashCorrelator::OnPeerReport(
  const std::vector<CrashSuspicion>& aSuspicions,
  Instant aNow)
{
  for (const auto& it : aSuspicions) {
    if (it.traits.empty() || it.traits.size() > kMaxCrashTraits ||
        !std::ranges::is_sorted(it.traits)) {
      continue;
    }
    const auto known = mRecords.find(it.traits);
    const auto old =
      known == mRecords.end() ? CrashSuspicion{} : known->second.suspicion;
    const bool isSameSeries =
      old.crashes > 0 && old.clearances == it.clearances;
    if (known != mRecords.end() && !it.IsNewerThan(old)) {
      known->second.suspicion.isContrasted =
        old.isContrasted || (isSameSeries && it.isContrasted);
      continue;
    }
    auto& record = Insert(it.traits, aNow);
    record.suspicion = it;
    record.suspicion.isContrasted =
      it.isContrasted || (isSameSeries && old.isContrasted);
    if (it.crashes == 0) {
      record.lastProof = aNow;
    } else if (!isSameSeries) {
      record.firstCrash = aNow;
      record.lastCrash = aNow;
    } else if (old.crashes != it.crashes) {
      record.lastCrash = aNow;
    }
    if (it.trials > 0) {
      record.lastTrial = aNow;
    }
  }
}

std::vector<CrashSuspicion>
TraitCrashCorrelator::TakeChanges()
{
  std::vector<CrashSuspicion> changes;
  for (const auto& it : mChanged) {
    const auto record = mRecords.find(it);
    if (record != mRecords.end()) {
      changes.push_back(record->second.suspicion);
    }
  }
  mChanged.clear();
  return changes;
}

std::vector<CrashSuspicion>
TraitCrashCorrelator::Strongest(Instant aNow) const
{
  std::vector<const Record*> records;
  for (const auto& [traits, record] : mRecords) {
    const auto& suspicion = record.suspicion;
    const bool isCleared = suspicion.crashes == 0 && suspicion.clearances > 0 &&
                           aNow - record.changed < kReportClearanceFor;
    if (suspicion.crashes > 1 || isCleared) {
      records.push_back(&record);
    }
  }
  std::ranges::stable_sort(records, [](const auto* aLeft, const auto* aRight) {
    return std::tie(aLeft->suspicion.crashes, aLeft->changed) >
           std::tie(aRight->suspicion.crashes, aRight->changed);
  });
  records.resize(std::min(records.size(), mOptions.maxReported));
  std::vector<CrashSuspicion> strongest;
  strongest.reserve(records.size());
  for (const auto* it : records) {
    strongest.push_back(it->suspicion);
  }
  return strongest;
}

TraitCrashCorrelator::Record&
TraitCrashCorrelator::Insert(const CrashTraits& aTraits, Instant aNow)
{
  const auto known = mRecords.find(aTraits);
  if (known == mRecords.end() && mRecords.size() >= mOptions.maxRecords) {
    const auto weaker = [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.second.suspicion.crashes, aLeft.second.changed) <
             std::tie(aRight.second.suspicion.crashes, aRight.second.changed);
    };
    mRecords.erase(std::ranges::min_element(mRecords, weaker));
  }
  auto& record = mRecords[aTraits];
  record.suspicion.traits = aTraits;
  record.changed = aNow;
  return record;
}

void
TraitCrashCorrelator::Forget(Instant aNow)
{
  std::erase_if(mRecords, [&](const auto& aEntry) {
    const auto& record = aEntry.second;
    return aNow - record.changed > mOptions.suspicionTime &&
           !IsHeld(record, aNow);
  });
}

CrashDecision
NoCrashCorrelator::Decide(const RequestInfo& /*aRequest*/,
                          Instant /*aNow*/) const
{
  return {};
}

bool
NoCrashCorrelator::HoldsAny(Instant /*aNow*/) const
{
  return false;
}

void
NoCrashCorrelator::OnTrial(const RequestInfo& /*aRequest*/, Instant /*aNow*/)
{
}

void
NoCrashCorrelator::OnCrash(const RequestInfo& /*aRequest*/,
                           Instant /*aSent*/,
                           Instant /*aNow*/)
{
}

void
NoCrashCorrelator::OnHarmless(const RequestInfo& /*aRequest*/,
                              Instant /*aBegun*/,
                              Instant /*aNow*/)
{
}

void
NoCrashCorrelator::OnPeerReport(
  const std::vector<CrashSuspicion>& /*aSuspicions*/,
  Instant /*aNow*/)
{
}

std::vector<CrashSuspicion>
NoCrashCorrelator::TakeChanges()
{
  return {};
}

std::vector<CrashSuspicion>
NoCrashCorrelator::Strongest(Instant /*aNow*/) const
{
  return {};
}

std::size_t
NoCrashCorrelator::HeldCount(Instant /*aNow*/) const
{
  return 0;
}

} // namespace firefly::policy
