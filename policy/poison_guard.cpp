#include "policy/poison_guard.h"

#include <algorithm>

namespace firefly::policy {

SuspectPoisonGuard::SuspectPoisonGuard(Options aOptions)
  : mOptions(aOptions)
{
}

PoisonVerdict
SuspectPoisonGuard::VerdictOf(Fingerprint aRequest, Instant aNow) const
{
  const auto quarantined = mQuarantined.find(aRequest.Value());
  if (quarantined != mQuarantined.end() &&
      aNow - quarantined->second.since < mOptions.quarantine) {
    return PoisonVerdict::kQuarantined;
  }
  const auto suspect = mSuspects.find(aRequest.Value());
  if (suspect != mSuspects.end() &&
      aNow - suspect->second.since < mOptions.suspicion) {
    return PoisonVerdict::kSuspect;
  }
  return PoisonVerdict::kClear;
}

void
SuspectPoisonGuard::OnCrash(Fingerprint aRequest,
                            Tokens aProgress,
                            Instant aStarted,
                            Instant aNow)
{
  const Record record{ .since = aNow, .progress = aProgress, .own = true };
  const auto suspect = mSuspects.find(aRequest.Value());
  if (suspect == mSuspects.end() ||
      VerdictOf(aRequest, aNow) == PoisonVerdict::kClear) {
    Add(mSuspects, aRequest.Value(), record);
    return;
  }
  if (suspect->second.own && aStarted < suspect->second.since) {
    return;
  }
  mSuspects.erase(aRequest.Value());
  Add(mQuarantined, aRequest.Value(), record);
}

void
SuspectPoisonGuard::OnProgress(Fingerprint aRequest, Tokens aProgress)
{
  const auto it = mSuspects.find(aRequest.Value());
  if (it == mSuspects.end()) {
    return;
  }
  const auto point = it->second.progress.Value() + mOptions.margin.Value();
  if (aProgress.Value() >= point) {
    mSuspects.erase(it);
  }
}

void
SuspectPoisonGuard::OnFinish(Fingerprint aRequest)
{
  mSuspects.erase(aRequest.Value());
}

void
SuspectPoisonGuard::OnPeer(const std::vector<std::uint64_t>& aQuarantined,
                           const std::vector<std::uint64_t>& aSuspects,
                           Instant aNow)
{
  const Record told{ .since = aNow, .progress = Tokens(0), .own = false };
  for (const auto request : aQuarantined) {
    if (!mQuarantined.contains(request)) {
      Add(mQuarantined, request, told);
    }
  }
  for (const auto request : aSuspects) {
    if (!mSuspects.contains(request) && !mQuarantined.contains(request)) {
      Add(mSuspects, request, told);
    }
  }
}

std::vector<std::uint64_t>
SuspectPoisonGuard::Quarantined(Instant aNow) const
{
  return Listed(mQuarantined, mOptions.quarantine, false, aNow);
}

std::vector<std::uint64_t>
SuspectPoisonGuard::Suspects(Instant aNow) const
{
  return Listed(mSuspects, mOptions.suspicion, true, aNow);
}

void
SuspectPoisonGuard::Add(Records& aRecords,
                        std::uint64_t aRequest,
                        Record aRecord) const
{
  if (aRecords.size() >= mOptions.bound) {
    const auto older = [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.since < aRight.second.since;
    };
    aRecords.erase(std::min_element(aRecords.begin(), aRecords.end(), older));
  }
  aRecords[aRequest] = aRecord;
}

std::vector<std::uint64_t>
SuspectPoisonGuard::Listed(const Records& aRecords,
                           Duration aLifetime,
                           bool aOwnOnly,
                           Instant aNow)
{
  std::vector<std::uint64_t> requests;
  for (const auto& [request, record] : aRecords) {
    const bool wanted = record.own || !aOwnOnly;
    if (wanted && aNow - record.since < aLifetime) {
      requests.push_back(request);
    }
  }
  std::sort(requests.begin(), requests.end());
  return requests;
}

PoisonVerdict
NoPoisonGuard::VerdictOf(Fingerprint /*aRequest*/, Instant /*aNow*/) const
{
  return PoisonVerdict::kClear;
}

void
NoPoisonGuard::OnCrash(Fingerprint /*aRequest*/,
                       Tokens /*aProgress*/,
                       Instant /*aStarted*/,
                       Instant /*aNow*/)
{
}

void
NoPoisonGuard::OnProgress(Fingerprint /*aRequest*/, Tokens /*aProgress*/)
{
}

void
NoPoisonGuard::OnFinish(Fingerprint /*aRequest*/)
{
}

void
NoPoisonGuard::OnPeer(const std::vector<std::uint64_t>& /*aQuarantined*/,
                      const std::vector<std::uint64_t>& /*aSuspects*/,
                      Instant /*aNow*/)
{
}

std::vector<std::uint64_t>
NoPoisonGuard::Quarantined(Instant /*aNow*/) const
{
  return {};
}

std::vector<std::uint64_t>
NoPoisonGuard::Suspects(Instant /*aNow*/) const
{
  return {};
}

} // namespace firefly::policy
