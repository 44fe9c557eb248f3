#include "policy/poison_quarantine.h"

#include <algorithm>

namespace firefly::policy {

SuspectPoisonQuarantine::SuspectPoisonQuarantine(Options aOptions)
  : mOptions(aOptions)
{
}

PoisonVerdict
SuspectPoisonQuarantine::VerdictOf(Fingerprint aRequest, Instant aNow) const
{
  const auto quarantined = mQuarantined.find(aRequest.Value());
  if (quarantined != mQuarantined.end() &&
      aNow - quarantined->second.recordedAt < mOptions.quarantineTime) {
    return PoisonVerdict::kQuarantined;
  }
  const auto suspect = mSuspects.find(aRequest.Value());
  if (suspect != mSuspects.end() &&
      aNow - suspect->second.recordedAt < mOptions.suspicionTime) {
    return PoisonVerdict::kSuspect;
  }
  return PoisonVerdict::kClear;
}

void
SuspectPoisonQuarantine::OnCrash(Fingerprint aRequest,
                                 Tokens aProgress,
                                 Instant aStarted,
                                 Instant aNow)
{
  const Record record{ .recordedAt = aNow,
                       .progress = aProgress,
                       .isOwn = true };
  const auto suspect = mSuspects.find(aRequest.Value());
  if (suspect == mSuspects.end() ||
      VerdictOf(aRequest, aNow) == PoisonVerdict::kClear) {
    Add(mSuspects, aRequest.Value(), record);
    return;
  }
  if (suspect->second.isOwn && aStarted < suspect->second.recordedAt) {
    return;
  }
  mSuspects.erase(aRequest.Value());
  Add(mQuarantined, aRequest.Value(), record);
}

void
SuspectPoisonQuarantine::OnProgress(Fingerprint aRequest, Tokens aProgress)
{
  const auto it = mSuspects.find(aRequest.Value());
  if (it == mSuspects.end()) {
    return;
  }
  const auto clearedAt =
    it->second.progress.Value() + mOptions.clearanceTokens.Value();
  if (aProgress.Value() >= clearedAt) {
    mSuspects.erase(it);
  }
}

void
SuspectPoisonQuarantine::OnFinish(Fingerprint aRequest)
{
  mSuspects.erase(aRequest.Value());
}

void
SuspectPoisonQuarantine::OnPeerReport(
  const std::vector<std::uint64_t>& aQuarantined,
  const std::vector<std::uint64_t>& aSuspects,
  Instant aNow)
{
  const Record reported{ .recordedAt = aNow,
                         .progress = Tokens(0),
                         .isOwn = false };
  for (const auto request : aQuarantined) {
    if (!mQuarantined.contains(request)) {
      Add(mQuarantined, request, reported);
    }
  }
  for (const auto request : aSuspects) {
    if (!mSuspects.contains(request) && !mQuarantined.contains(request)) {
      Add(mSuspects, request, reported);
    }
  }
}

std::vector<std::uint64_t>
SuspectPoisonQuarantine::Quarantined(Instant aNow) const
{
  return ActiveRequests(mQuarantined, mOptions.quarantineTime, false, aNow);
}

std::vector<std::uint64_t>
SuspectPoisonQuarantine::Suspects(Instant aNow) const
{
  return ActiveRequests(mSuspects, mOptions.suspicionTime, true, aNow);
}

void
SuspectPoisonQuarantine::Add(Records& aRecords,
                             std::uint64_t aRequest,
                             Record aRecord) const
{
  if (aRecords.size() >= mOptions.maxRecords) {
    const auto older = [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.recordedAt < aRight.second.recordedAt;
    };
    aRecords.erase(std::min_element(aRecords.begin(), aRecords.end(), older));
  }
  aRecords[aRequest] = aRecord;
}

std::vector<std::uint64_t>
SuspectPoisonQuarantine::ActiveRequests(const Records& aRecords,
                                        Duration aLifetime,
                                        bool aOwnOnly,
                                        Instant aNow)
{
  std::vector<std::uint64_t> requests;
  for (const auto& [request, record] : aRecords) {
    const bool isIncluded = record.isOwn || !aOwnOnly;
    if (isIncluded && aNow - record.recordedAt < aLifetime) {
      requests.push_back(request);
    }
  }
  std::sort(requests.begin(), requests.end());
  return requests;
}

PoisonVerdict
NoPoisonQuarantine::VerdictOf(Fingerprint /*aRequest*/, Instant /*aNow*/) const
{
  return PoisonVerdict::kClear;
}

void
NoPoisonQuarantine::OnCrash(Fingerprint /*aRequest*/,
                            Tokens /*aProgress*/,
                            Instant /*aStarted*/,
                            Instant /*aNow*/)
{
}

void
NoPoisonQuarantine::OnProgress(Fingerprint /*aRequest*/, Tokens /*aProgress*/)
{
}

void
NoPoisonQuarantine::OnFinish(Fingerprint /*aRequest*/)
{
}

void
NoPoisonQuarantine::OnPeerReport(
  const std::vector<std::uint64_t>& /*aQuarantined*/,
  const std::vector<std::uint64_t>& /*aSuspects*/,
  Instant /*aNow*/)
{
}

std::vector<std::uint64_t>
NoPoisonQuarantine::Quarantined(Instant /*aNow*/) const
{
  return {};
}

std::vector<std::uint64_t>
NoPoisonQuarantine::Suspects(Instant /*aNow*/) const
{
  return {};
}

} // namespace firefly::policy
