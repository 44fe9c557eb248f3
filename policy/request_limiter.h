#pragma once

// Concurrency and rate limits of customers and request types, enforced across
// all entries.

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "policy/digest.h"
#include "policy/request_info.h"

namespace firefly::policy {

// One row of the operators' table. "*" in requestType or customer covers all
// request types or customers together. Every row that matches a request applies
// to it.
struct LimitRow
{
  ServiceId service;
  RequestType requestType{ "*" };
  CustomerId customer{ "*" };
  double weight = 1.0;
  // Maximum number of concurrent requests over all entries; 0 means no limit.
  std::uint32_t maxConcurrent = 0;
  // Maximum number of requests per second over all entries; 0 means no limit.
  double ratePerSecond = 0;
  Worth worth{ 1.0 };
  Duration lateAfter = std::chrono::seconds(1);
};

// The rows against which a started request counts; pass it to Finish when the
// request ends.
struct LimitPermit
{
  std::vector<std::uint64_t> rows;
};

// Why a request cannot start now.
struct LimitExceeded
{
  // Whether the exhausted row belongs to one customer rather than to all
  // customers.
  bool isCustomerRow = false;
  Duration retryAfter{};
};

class RequestLimiter
{
public:
  virtual ~RequestLimiter() = default;

  // Replaces the table. Running requests stay counted.
  virtual void Configure(const std::vector<LimitRow>& aRows) = 0;

  // Sets the entries that share the limits, including this one. The share of an
  // entry that is no longer listed becomes available to the others.
  virtual void SetEntries(const std::vector<HostId>& aEntries) = 0;

  // Counts the request against all matching rows if each of them allows it,
  // otherwise against none.
  virtual tl::expected<LimitPermit, LimitExceeded> TryStart(
    const RequestInfo& aRequest,
    Instant aNow) = 0;

  // Called when a started request ends for any reason.
  virtual void Finish(const LimitPermit& aPermit) = 0;

  // Adds this entry's demand for each row to its digest.
  virtual void FillDigest(Digest& aDigest, Instant aNow) = 0;

  // Updates the demand of a peer from its digest.
  virtual void OnPeerDigest(const Digest& aDigest, Instant aNow) = 0;

  // The row that determines the request's weight, worth and lateness: the most
  // specific match, where a matching customer takes precedence over a matching
  // type. Null if no row matches.
  [[nodiscard]] virtual const LimitRow* RowFor(
    const ServiceId& aService,
    const RequestType& aType,
    const CustomerId& aCustomer) const = 0;

  // The key of a row, which is the same in all processes.
  static std::uint64_t RowKey(const ServiceId& aService,
                              const RequestType& aType,
                              const CustomerId& aCustomer);
};

// Divides each limit between the entries by their recent demand. A share
// decreases immediately and increases only after the settle time, so that the
// sum of the shares stays within the limit while a change is on its way to the
// peers. An entry whose digests are missing keeps an even share. If no peer
// sends digests, this entry keeps an even share too.
class SharedRequestLimiter : public RequestLimiter
{
public:
  struct Options
  {
    HostId self;
    // A peer whose last digest is older than this counts as silent.
    Duration peerTimeout = std::chrono::seconds(2);
    // A share increases only after its target was higher for this long. Must be
    // longer than a digest takes to reach all entries.
    Duration settleTime = std::chrono::seconds(2);
  };

  explicit SharedRequestLimiter(Options aOptions);

  void Configure(const std::vector<LimitRow>& aRows) override;
  void SetEntries(const std::vector<HostId>& aEntries) override;
  tl::expected<LimitPermit, LimitExceeded> TryStart(const RequestInfo& aRequest,
                                                    Instant aNow) override;
  void Finish(const LimitPermit& aPermit) override;
  void FillDigest(Digest& aDigest, Instant aNow) override;
  void OnPeerDigest(const Digest& aDigest, Instant aNow) override;
  [[nodiscard]] const LimitRow* RowFor(
    const ServiceId& aService,
    const RequestType& aType,
    const CustomerId& aCustomer) const override;

  // This entry's share of the row's limit, in [0, 1]; 0 if the row is unknown.
  [[nodiscard]] double ShareOf(std::uint64_t aRow, Instant aNow);

private:
  // A value that decreases immediately and increases only after its target was
  // higher for the settle time.
  class SlowRiseValue
  {
  public:
    // Sets a new target and returns the current value. Until the first targets
    // have settled, aStart is an upper bound.
    double Update(double aTarget,
                  double aStart,
                  Instant aNow,
                  Duration aSettleTime);

    [[nodiscard]] double Value() const { return mValue; }

  private:
    struct TimedTarget
    {
      Instant at;
      double target;
    };
    // Targets within the settle time that no later target undercuts, in
    // increasing order; the first one is the minimum.
    std::deque<TimedTarget> mRecentTargets;
    Instant mStartedAt{};
    bool mHasStarted = false;
    double mValue = 0;
  };
  struct RowState
  {
    LimitRow row;
    bool isConfigured = false;
    std::uint32_t running = 0;
    // Requests per second, as an exponential moving average.
    double demand = 0;
    Instant demandUpdatedAt{};
    double rateCredit = 0;
    Instant creditUpdatedAt{};
    bool hasRateCredit = false;
    SlowRiseValue share;
    SlowRiseValue slots;
    Instant shareUpdatedAt{};
    bool hasShare = false;
  };
  struct Peer
  {
    Instant lastDigestAt{};
    std::unordered_map<std::uint64_t, double> demand;
  };
  // One entry's share of a row's limit.
  struct HostShare
  {
    const HostId* host;
    double share;
  };

  std::vector<RowState*> MatchingRows(const RequestInfo& aRequest);
  static void CountDemand(RowState& aRow, Instant aNow);
  // Recomputes the row's share and slots if the last update is older than the
  // refresh interval.
  void UpdateShare(std::uint64_t aRow, RowState& aState, Instant aNow);
  [[nodiscard]] std::vector<HostShare> ComputeShares(std::uint64_t aRow,
                                                     const RowState& aState,
                                                     Instant aNow) const;
  // This entry's number of concurrent requests. The shares are rounded so that
  // the sum over all entries is the limit; entries with the same data round
  // alike.
  [[nodiscard]] double OwnSlots(const std::vector<HostShare>& aShares,
                                std::uint32_t aLimit) const;
  static void RefillRate(RowState& aState, Instant aNow);

  Options mOptions;
  std::unordered_map<std::uint64_t, RowState> mRows;
  std::unordered_map<HostId, Peer> mPeers;
  std::vector<HostId> mEntries;
};

} // namespace firefly::policy
