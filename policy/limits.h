#pragma once

// Limits of customers and of request types that hold across all entries.

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "policy/digest.h"
#include "policy/request_info.h"

namespace firefly::policy {

// One row of the operators' table. "*" in requestType or customer stands for
// all of them together; all rows that match a request bind it.
struct LimitRow
{
  ServiceId service;
  RequestType requestType{ "*" };
  CustomerId customer{ "*" };
  double weight = 1.0;
  // Requests that run at once over all entries; 0 means no limit.
  std::uint32_t maxConcurrent = 0;
  // Requests a second over all entries; 0 means no limit.
  double ratePerSecond = 0;
  Worth worth{ 1.0 };
  Duration lateAfter = std::chrono::seconds(1);
};

// Proof that a request counts against its rows; give it back to Finish.
struct LimitPermit
{
  std::vector<std::uint64_t> rows;
};

// Why a request can't start now.
struct LimitExceeded
{
  // The customer's own row rather than a row for all customers.
  bool customersOwn = false;
  Duration retryAfter{};
};

class LimitKeeper
{
public:
  virtual ~LimitKeeper() = default;

  // Takes over a new table; running requests stay counted.
  virtual void Configure(const std::vector<LimitRow>& aRows) = 0;

  // The entries that share the limits, this one included. An entry not listed
  // any more frees its share.
  virtual void SetEntries(const std::vector<HostId>& aEntries) = 0;

  // Counts the request against all its rows, or against none of them.
  virtual tl::expected<LimitPermit, LimitExceeded> TryStart(
    const RequestInfo& aRequest,
    Instant aNow) = 0;

  // The request ended, however it ended.
  virtual void Finish(const LimitPermit& aPermit) = 0;

  // Adds this entry's demand to its digest.
  virtual void FillDigest(Digest& aDigest, Instant aNow) = 0;

  // Learns a peer's demand.
  virtual void OnPeerDigest(const Digest& aDigest, Instant aNow) = 0;

  // The row that sets the request's weight, worth and lateness: the most
  // specific one, the customer before the type. Null if no row matches.
  [[nodiscard]] virtual const LimitRow* RowFor(
    const ServiceId& aService,
    const RequestType& aType,
    const CustomerId& aCustomer) const = 0;

  // The key of a row, the same in all processes.
  static std::uint64_t RowKey(const ServiceId& aService,
                              const RequestType& aType,
                              const CustomerId& aCustomer);
};

// Splits each limit over the entries by their recent demand. A share falls at
// once and rises only after the settle time, so that the sum holds while the
// peers hear of the change. An entry that is silent keeps an even share, and
// so does this one when it hears of nobody.
class SharedLimitKeeper : public LimitKeeper
{
public:
  struct Options
  {
    HostId self;
    // A peer whose digest is older counts as silent.
    Duration silentAfter = std::chrono::seconds(2);
    // A share may rise after its target stayed up this long; longer than
    // a digest's way to all entries.
    Duration settle = std::chrono::seconds(2);
  };

  explicit SharedLimitKeeper(Options aOptions);

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

  // This entry's share of a row's limit, in [0, 1].
  [[nodiscard]] double ShareOf(std::uint64_t aRow, Instant aNow);

private:
  // A value that falls at once and rises only when it stayed up for a time.
  class SettledValue
  {
  public:
    // Takes a new target and returns the value now; a start value binds it
    // until the first targets have settled.
    double Update(double aTarget,
                  double aStart,
                  Instant aNow,
                  Duration aSettle);

    [[nodiscard]] double Value() const { return mValue; }

  private:
    struct Past
    {
      Instant at;
      double target;
    };
    // Minima over the settle time, the oldest and lowest first.
    std::deque<Past> mPast;
    Instant mSince{};
    bool mStarted = false;
    double mValue = 0;
  };
  struct RowState
  {
    LimitRow row;
    bool configured = false;
    std::uint32_t running = 0;
    // Requests a second, exponentially averaged.
    double demand = 0;
    Instant demandAt{};
    double rateCredit = 0;
    Instant creditAt{};
    bool credited = false;
    SettledValue share;
    SettledValue slots;
    Instant sharedAt{};
    bool shared = false;
  };
  struct Peer
  {
    Instant heard{};
    std::unordered_map<std::uint64_t, double> demand;
  };
  // One entry's part in a row.
  struct Part
  {
    const HostId* host;
    double share;
  };

  std::vector<RowState*> RowsOf(const RequestInfo& aRequest);
  static void CountDemand(RowState& aRow, Instant aNow);
  // Brings the row's share and slots up to date, now and then.
  void UpdateShare(std::uint64_t aRow, RowState& aState, Instant aNow);
  [[nodiscard]] std::vector<Part> Parts(std::uint64_t aRow,
                                        const RowState& aState,
                                        Instant aNow) const;
  // This entry's whole slots: the parts rounded so that they sum up to the
  // limit, the same way in all entries.
  [[nodiscard]] double SlotsOf(const std::vector<Part>& aParts,
                               std::uint32_t aLimit) const;
  static void RefillRate(RowState& aState, Instant aNow);

  Options mOptions;
  std::unordered_map<std::uint64_t, RowState> mRows;
  std::unordered_map<HostId, Peer> mPeers;
  std::vector<HostId> mEntries;
};

} // namespace firefly::policy
