#include "policy/limits.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace firefly::policy {

namespace {

// Demand of about this long ago weighs a third.
constexpr double kDemandMemorySeconds = 3.0;
// Added to each entry's demand, so that an idle one keeps a little share.
constexpr double kIdleDemand = 0.05;
// Credit for a burst, in seconds of the row's rate.
constexpr double kBurstSeconds = 1.0;
// How soon to come back when all of a row's concurrency is taken.
constexpr Duration kConcurrencyRetryAfter = std::chrono::seconds(1);

// Arithmetic must not round a wait down to nothing.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(1);
// How often shares are worked out anew.
constexpr Duration kShareRefresh = std::chrono::milliseconds(50);
// Differences of shares below this are noise of the arithmetic.
constexpr double kRounding = 1e-9;

const std::string kAny = "*";

double
Faded(double aDemand, Duration aAge)
{
  return aDemand * std::exp(-ToSeconds(aAge) / kDemandMemorySeconds);
}

} // namespace

std::uint64_t
LimitKeeper::RowKey(const ServiceId& aService,
                    const RequestType& aType,
                    const CustomerId& aCustomer)
{
  return StableHash(aService.Value() + '\n' + aType.Value() + '\n' +
                    aCustomer.Value());
}

SharedLimitKeeper::SharedLimitKeeper(Options aOptions)
  : mOptions(std::move(aOptions))
  , mEntries{ mOptions.self }
{
}

void
SharedLimitKeeper::Configure(const std::vector<LimitRow>& aRows)
{
  for (auto& [key, state] : mRows) {
    state.configured = false;
  }
  for (const auto& row : aRows) {
    auto& state = mRows[RowKey(row.service, row.requestType, row.customer)];
    state.row = row;
    state.configured = true;
  }
  std::erase_if(mRows, [](const auto& aItem) {
    return !aItem.second.configured && aItem.second.running == 0;
  });
}

void
SharedLimitKeeper::SetEntries(const std::vector<HostId>& aEntries)
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
SharedLimitKeeper::TryStart(const RequestInfo& aRequest, Instant aNow)
{
  const auto rows = RowsOf(aRequest);
  for (auto* const state : rows) {
    CountDemand(*state, aNow);
  }
  LimitPermit permit;
  for (auto* const state : rows) {
    const auto& row = state->row;
    const auto key = RowKey(row.service, row.requestType, row.customer);
    const bool own = row.customer.Value() != kAny;
    UpdateShare(key, *state, aNow);
    if (row.maxConcurrent > 0 && state->running >= state->slots.Value()) {
      return tl::make_unexpected(LimitExceeded{ own, kConcurrencyRetryAfter });
    }
    RefillRate(*state, aNow);
    if (row.ratePerSecond > 0 && state->rateCredit < 1) {
      const double rate = row.ratePerSecond * state->share.Value();
      const double wait = (1 - state->rateCredit) / std::max(rate, 0.01);
      return tl::make_unexpected(
        LimitExceeded{ own, std::max(FromSeconds(wait), kShortestRetryAfter) });
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
SharedLimitKeeper::Finish(const LimitPermit& aPermit)
{
  for (const auto key : aPermit.rows) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.running > 0) {
      it->second.running--;
    }
  }
}

void
SharedLimitKeeper::FillDigest(Digest& aDigest, Instant aNow)
{
  for (auto& [key, state] : mRows) {
    const double demand = Faded(state.demand, aNow - state.demandAt);
    if (demand < kIdleDemand && state.running == 0) {
      continue;
    }
    aDigest.rows.push_back(
      { .row = key,
        .permillePerSecond = static_cast<std::uint32_t>(demand * 1000),
        .running = state.running });
  }
}

void
SharedLimitKeeper::OnPeerDigest(const Digest& aDigest, Instant aNow)
{
  if (aDigest.host == mOptions.self) {
    return;
  }
  auto& peer = mPeers[aDigest.host];
  peer.heard = aNow;
  peer.demand.clear();
  for (const auto& it : aDigest.rows) {
    peer.demand[it.row] = it.permillePerSecond / 1000.0;
  }
}

const LimitRow*
SharedLimitKeeper::RowFor(const ServiceId& aService,
                          const RequestType& aType,
                          const CustomerId& aCustomer) const
{
  const RequestType anyType(kAny);
  const CustomerId anyCustomer(kAny);
  const std::array keys{ RowKey(aService, aType, aCustomer),
                         RowKey(aService, anyType, aCustomer),
                         RowKey(aService, aType, anyCustomer),
                         RowKey(aService, anyType, anyCustomer) };
  for (const auto key : keys) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.configured) {
      return &it->second.row;
    }
  }
  return nullptr;
}

double
SharedLimitKeeper::ShareOf(std::uint64_t aRow, Instant aNow)
{
  const auto it = mRows.find(aRow);
  if (it == mRows.end()) {
    return 0;
  }
  UpdateShare(aRow, it->second, aNow);
  return it->second.share.Value();
}

std::vector<SharedLimitKeeper::RowState*>
SharedLimitKeeper::RowsOf(const RequestInfo& aRequest)
{
  const RequestType anyType(kAny);
  const CustomerId anyCustomer(kAny);
  const auto& service = aRequest.service;
  const std::array keys{ RowKey(
                           service, aRequest.requestType, aRequest.customer),
                         RowKey(service, anyType, aRequest.customer),
                         RowKey(service, aRequest.requestType, anyCustomer),
                         RowKey(service, anyType, anyCustomer) };
  std::vector<RowState*> rows;
  for (const auto key : keys) {
    const auto it = mRows.find(key);
    if (it != mRows.end() && it->second.configured) {
      rows.push_back(&it->second);
    }
  }
  return rows;
}

void
SharedLimitKeeper::CountDemand(RowState& aRow, Instant aNow)
{
  aRow.demand = Faded(aRow.demand, aNow - aRow.demandAt);
  aRow.demand += 1 / kDemandMemorySeconds;
  aRow.demandAt = aNow;
}

double
SharedLimitKeeper::SettledValue::Update(double aTarget,
                                        double aStart,
                                        Instant aNow,
                                        Duration aSettle)
{
  if (!mStarted) {
    mStarted = true;
    mSince = aNow;
  }
  while (mPast.size() > 1 && aNow - mPast[1].at >= aSettle) {
    mPast.pop_front();
  }
  while (!mPast.empty() && mPast.back().target >= aTarget) {
    mPast.pop_back();
  }
  mPast.push_back({ aNow, aTarget });
  const bool settled = aNow - mSince >= aSettle;
  mValue = mPast.front().target;
  if (!settled) {
    mValue = std::min(mValue, aStart);
  }
  return mValue;
}

void
SharedLimitKeeper::UpdateShare(std::uint64_t aRow,
                               RowState& aState,
                               Instant aNow)
{
  if (aState.shared && aNow - aState.sharedAt < kShareRefresh) {
    return;
  }
  aState.shared = true;
  aState.sharedAt = aNow;
  const auto parts = Parts(aRow, aState, aNow);
  auto even = parts;
  for (auto& part : even) {
    part.share = 1 / static_cast<double>(even.size());
  }
  const auto settle = mOptions.settle;
  const auto limit = aState.row.maxConcurrent;
  aState.share.Update(parts.front().share, even.front().share, aNow, settle);
  aState.slots.Update(
    SlotsOf(parts, limit), SlotsOf(even, limit), aNow, settle);
}

std::vector<SharedLimitKeeper::Part>
SharedLimitKeeper::Parts(std::uint64_t aRow,
                         const RowState& aState,
                         Instant aNow) const
{
  const double even = 1 / static_cast<double>(mEntries.size());
  const double own = Faded(aState.demand, aNow - aState.demandAt);
  std::vector<Part> parts{ { &mOptions.self, own + kIdleDemand } };
  std::vector<Part> silent;
  double demand = parts.front().share;
  for (const auto& host : mEntries) {
    if (host == mOptions.self) {
      continue;
    }
    const auto it = mPeers.find(host);
    if (it == mPeers.end() || aNow - it->second.heard > mOptions.silentAfter) {
      silent.push_back({ &host, even });
      continue;
    }
    const auto row = it->second.demand.find(aRow);
    const double theirs = row == it->second.demand.end() ? 0 : row->second;
    parts.push_back({ &host, theirs + kIdleDemand });
    demand += parts.back().share;
  }
  const double scale = even * static_cast<double>(parts.size()) / demand;
  for (auto& part : parts) {
    part.share *= scale;
  }
  parts.insert(parts.end(), silent.begin(), silent.end());
  return parts;
}

double
SharedLimitKeeper::SlotsOf(const std::vector<Part>& aParts,
                           std::uint32_t aLimit) const
{
  double whole = 0;
  std::vector<std::pair<double, const std::string*>> rests;
  for (const auto& part : aParts) {
    const double slots = part.share * aLimit;
    whole += std::floor(slots + kRounding);
    const double rest = slots - std::floor(slots + kRounding);
    // Rounded, so that entries with the same digests order them alike.
    rests.emplace_back(-std::round(rest / kRounding), &part.host->Value());
  }
  std::sort(rests.begin(), rests.end(), [](const auto& aL, const auto& aR) {
    return aL.first != aR.first ? aL.first < aR.first : *aL.second < *aR.second;
  });
  const auto left =
    std::min(static_cast<std::ptrdiff_t>(std::max(0.0, aLimit - whole)),
             std::ssize(rests));
  const double own = std::floor(aParts.front().share * aLimit + kRounding);
  const auto end = rests.begin() + left;
  const bool extra = std::any_of(rests.begin(), end, [this](const auto& aRest) {
    return *aRest.second == mOptions.self.Value();
  });
  return own + (extra ? 1 : 0);
}

void
SharedLimitKeeper::RefillRate(RowState& aState, Instant aNow)
{
  const double rate = aState.row.ratePerSecond * aState.share.Value();
  const double most = std::max(1.0, rate * kBurstSeconds);
  if (!aState.credited) {
    aState.credited = true;
    aState.rateCredit = most;
  } else {
    aState.rateCredit += rate * ToSeconds(aNow - aState.creditAt);
    aState.rateCredit = std::min(aState.rateCredit, most);
  }
  aState.creditAt = aNow;
}

} // namespace firefly::policy
