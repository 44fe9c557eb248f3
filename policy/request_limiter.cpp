#include "policy/request_limiter.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace firefly::policy {

namespace {

// Time constant of the demand average: demand of this age counts for 1/e.
constexpr double kDemandDecaySeconds = 3.0;
// Added to each entry's demand, so that an idle entry keeps a small share.
constexpr double kIdleDemandPerSecond = 0.05;
// Maximum burst, in seconds of the row's rate.
constexpr double kBurstSeconds = 1.0;
// The Retry-After time when a row's concurrency limit is reached.
constexpr Duration kConcurrencyRetryAfter = std::chrono::seconds(1);

// Prevents rounding from reducing a wait to zero.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);
// The minimum interval between two updates of a row's share.
constexpr Duration kShareRefreshInterval = std::chrono::milliseconds(50);
// Smaller differences between shares are rounding errors.
constexpr double kShareEpsilon = 1e-9;

const std::string kAnyValue = "*";

double
DecayedDemand(double aDemand, Duration aAge)
{
  return aDemand * std::exp(-ToSeconds(aAge) / kDemandDecaySeconds);
}

} // namespace

std::uint64_t
RequestLimiter::RowKey(const ServiceId& aService,
                       const RequestType& aType,
                       const CustomerId& aCustomer)
{
  return StableHash(aService.Value() + '\n' + aType.Value() + '\n' +
                    aCustomer.Value());
}

SharedRequestLimiter::SharedRequestLimiter(Options aOptions)
  : mOptions(std::move(aOptions))
  , mEntries{ mOptions.self }
{
}

void
SharedRequestLimiter::Configure(const std::vector<LimitRow>& aRows)
{
  for (auto& [key, state] : mRows) {
    state.isConfigured = false;
  }
  for (const auto& row : aRows) {
    auto& state = mRows[RowKey(row.service, row.requestType, row.customer)];
    state.row = row;
    state.isConfigured = true;
  }
  std::erase_if(mRows, [](const auto& aItem) {
    return !aItem.second.isConfigured && aItem.second.running == 0;
  });
}

void
SharedRequestLimiter::SetEntries(const std::vector<HostId>& aEntries)
{
  mEntries = aEntries;
  const auto self = std::find(mEntries.begin(), mEntries.end(), mOptions.self);
  if (self == mEntries.end()) {
    mEntries.push_back(mOptions.self);
  }
  std::erase_if(mPeers, [this](const auto& aPeer) {
    return std::find(mEntries.begin(), mEntries.end(), aPeer.first) ==
           mEntries.end();
  });
}

tl::expected<LimitPermit, LimitExceeded>
SharedRequestLimiter::TryStart(const RequestInfo& aRequest, Instant aNow)
{
  const auto rows = MatchingRows(aRequest);
  for (auto* const state : rows) {
    CountDemand(*state, aNow);
  }
  LimitPermit permit;
  for (auto* const state : rows) {
    const auto& row = state->row;
    const auto key = RowKey(row.service, row.requestType, row.customer);
    const bool isCustomerRow = row.customer.Value() != kAnyValue;
    UpdateShare(key, *state, aNow);
    if (row.maxConcurrent > 0 && state->running >= state->slots.Value()) {
      return tl::make_unexpected(
        LimitExceeded{ isCustomerRow, kConcurrencyRetryAfter });
    }
    RefillRate(*state, aNow);
    if (row.ratePerSecond > 0 && state->rateCredit < 1) {
      const double rate = row.ratePerSecond * state->share.Value();
      const double wait = (1 - state->rateCredit) / std::max(rate, 0.01);
      return tl::make_unexpected(LimitExceeded{
        isCustomerRow, std::max(FromSeconds(wait), kMinRetryAfter) });
    }
    permit.rows.push_back(key);
  }
  for (auto* const state : rows) {
    state->running++;
    state->rateCredit -= state->row.ratePerSecond > 0 ? 1 : 0;
  }
  return permit;
}

void
SharedRequestLimiter::Finish(const LimitPermit& aPermit)
{
  for (const auto key : aPermit.rows) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.running > 0) {
      it->second.running--;
    }
  }
}

void
SharedRequestLimiter::FillDigest(Digest& aDigest, Instant aNow)
{
  for (auto& [key, state] : mRows) {
    const double demand =
      DecayedDemand(state.demand, aNow - state.demandUpdatedAt);
    if (demand < kIdleDemandPerSecond && state.running == 0) {
      continue;
    }
    aDigest.rows.push_back(
      { .row = key,
        .permillePerSecond = static_cast<std::uint32_t>(demand * 1000),
        .running = state.running });
  }
}

void
SharedRequestLimiter::OnPeerDigest(const Digest& aDigest, Instant aNow)
{
  if (aDigest.host == mOptions.self) {
    return;
  }
  auto& peer = mPeers[aDigest.host];
  peer.lastDigestAt = aNow;
  peer.demand.clear();
  for (const auto& it : aDigest.rows) {
    peer.demand[it.row] = it.permillePerSecond / 1000.0;
  }
}

const LimitRow*
SharedRequestLimiter::RowFor(const ServiceId& aService,
                             const RequestType& aType,
                             const CustomerId& aCustomer) const
{
  const RequestType anyType(kAnyValue);
  const CustomerId anyCustomer(kAnyValue);
  const std::array keys{ RowKey(aService, aType, aCustomer),
                         RowKey(aService, anyType, aCustomer),
                         RowKey(aService, aType, anyCustomer),
                         RowKey(aService, anyType, anyCustomer) };
  for (const auto key : keys) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.isConfigured) {
      return &it->second.row;
    }
  }
  return nullptr;
}

double
SharedRequestLimiter::ShareOf(std::uint64_t aRow, Instant aNow)
{
  const auto it = mRows.find(aRow);
  if (it == mRows.end()) {
    return 0;
  }
  UpdateShare(aRow, it->second, aNow);
  return it->second.share.Value();
}

std::vector<SharedRequestLimiter::RowState*>
SharedRequestLimiter::MatchingRows(const RequestInfo& aRequest)
{
  const RequestType anyType(kAnyValue);
  const CustomerId anyCustomer(kAnyValue);
  const auto& service = aRequest.service;
  const std::array keys{ RowKey(
                           service, aRequest.requestType, aRequest.customer),
                         RowKey(service, anyType, aRequest.customer),
                         RowKey(service, aRequest.requestType, anyCustomer),
                         RowKey(service, anyType, anyCustomer) };
  std::vector<RowState*> rows;
  for (const auto key : keys) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.isConfigured) {
      rows.push_back(&it->second);
    }
  }
  return rows;
}

void
SharedRequestLimiter::CountDemand(RowState& aRow, Instant aNow)
{
  aRow.demand = DecayedDemand(aRow.demand, aNow - aRow.demandUpdatedAt);
  aRow.demand += 1 / kDemandDecaySeconds;
  aRow.demandUpdatedAt = aNow;
}

double
SharedRequestLimiter::SlowRiseValue::Update(double aTarget,
                                            double aStart,
                                            Instant aNow,
                                            Duration aSettleTime)
{
  if (!mHasStarted) {
    mHasStarted = true;
    mStartedAt = aNow;
  }
  while (mRecentTargets.size() > 1 &&
         aNow - mRecentTargets[1].at >= aSettleTime) {
    mRecentTargets.pop_front();
  }
  while (!mRecentTargets.empty() && mRecentTargets.back().target >= aTarget) {
    mRecentTargets.pop_back();
  }
  mRecentTargets.push_back({ aNow, aTarget });
  const bool hasSettled = aNow - mStartedAt >= aSettleTime;
  mValue = mRecentTargets.front().target;
  if (!hasSettled) {
    mValue = std::min(mValue, aStart);
  }
  return mValue;
}

void
SharedRequestLimiter::UpdateShare(std::uint64_t aRow,
                                  RowState& aState,
                                  Instant aNow)
{
  if (aState.hasShare && aNow - aState.shareUpdatedAt < kShareRefreshInterval) {
    return;
  }
  aState.hasShare = true;
  aState.shareUpdatedAt = aNow;
  const auto shares = ComputeShares(aRow, aState, aNow);
  auto even = shares;
  for (auto& hostShare : even) {
    hostShare.share = 1 / static_cast<double>(even.size());
  }
  const auto settleTime = mOptions.settleTime;
  const auto limit = aState.row.maxConcurrent;
  aState.share.Update(
    shares.front().share, even.front().share, aNow, settleTime);
  aState.slots.Update(
    OwnSlots(shares, limit), OwnSlots(even, limit), aNow, settleTime);
}

std::vector<SharedRequestLimiter::HostShare>
SharedRequestLimiter::ComputeShares(std::uint64_t aRow,
                                    const RowState& aState,
                                    Instant aNow) const
{
  const double even = 1 / static_cast<double>(mEntries.size());
  const double ownDemand =
    DecayedDemand(aState.demand, aNow - aState.demandUpdatedAt);
  std::vector<HostShare> shares{ { &mOptions.self,
                                   ownDemand + kIdleDemandPerSecond } };
  std::vector<HostShare> silent;
  double demand = shares.front().share;
  for (const auto& host : mEntries) {
    if (host == mOptions.self) {
      continue;
    }
    const auto it = mPeers.find(host);
    if (it == mPeers.end() ||
        aNow - it->second.lastDigestAt > mOptions.peerTimeout) {
      silent.push_back({ &host, even });
      continue;
    }
    const auto row = it->second.demand.find(aRow);
    const double peerDemand = row == it->second.demand.end() ? 0 : row->second;
    shares.push_back({ &host, peerDemand + kIdleDemandPerSecond });
    demand += shares.back().share;
  }
  const double scale = even * static_cast<double>(shares.size()) / demand;
  for (auto& hostShare : shares) {
    hostShare.share *= scale;
  }
  shares.insert(shares.end(), silent.begin(), silent.end());
  return shares;
}

double
SharedRequestLimiter::OwnSlots(const std::vector<HostShare>& aShares,
                               std::uint32_t aLimit) const
{
  double wholeSlots = 0;
  std::vector<std::pair<double, const std::string*>> remainders;
  for (const auto& hostShare : aShares) {
    const double slots = hostShare.share * aLimit;
    wholeSlots += std::floor(slots + kShareEpsilon);
    const double remainder = slots - std::floor(slots + kShareEpsilon);
    // Rounded, so that all entries with the same digests sort the remainders in
    // the same order.
    remainders.emplace_back(-std::round(remainder / kShareEpsilon),
                            &hostShare.host->Value());
  }
  std::sort(
    remainders.begin(), remainders.end(), [](const auto& aL, const auto& aR) {
      return aL.first != aR.first ? aL.first < aR.first
                                  : *aL.second < *aR.second;
    });
  const auto extraSlots =
    std::min(static_cast<std::ptrdiff_t>(std::max(0.0, aLimit - wholeSlots)),
             std::ssize(remainders));
  const double ownSlots =
    std::floor(aShares.front().share * aLimit + kShareEpsilon);
  const auto end = remainders.begin() + extraSlots;
  const bool hasExtraSlot =
    std::any_of(remainders.begin(), end, [this](const auto& aRemainder) {
      return *aRemainder.second == mOptions.self.Value();
    });
  return ownSlots + (hasExtraSlot ? 1 : 0);
}

void
SharedRequestLimiter::RefillRate(RowState& aState, Instant aNow)
{
  const double rate = aState.row.ratePerSecond * aState.share.Value();
  const double maxCredit = std::max(1.0, rate * kBurstSeconds);
  if (!aState.hasRateCredit) {
    aState.hasRateCredit = true;
    aState.rateCredit = maxCredit;
  } else {
    aState.rateCredit += rate * ToSeconds(aNow - aState.creditUpdatedAt);
    aState.rateCredit = std::min(aState.rateCredit, maxCredit);
  }
  aState.creditUpdatedAt = aNow;
}

} // namespace firefly::policy
