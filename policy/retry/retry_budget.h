#pragma once

// Limits the attempts that repeat others - retries, hedges and resumptions - to
// a fraction of the traffic, so that they do not add to an overload.
//
// The load it answers: many servers of a service fail at the same time, and
// each of many hosts repeats what has failed there. The bound is one of the
// deployment, so each host keeps its part of it, separately for each service.

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::policy {

class RetryBudget
{
public:
  virtual ~RetryBudget() = default;

  // Called when the first attempt of a request is dispatched.
  virtual void OnFirstAttempt(const ServiceId& aService) = 0;

  // Takes one repeat from the service's budget; returns false if none is left.
  virtual bool TrySpend(const ServiceId& aService) = 0;

  // Sets the number of hosts of the deployment, this one included.
  virtual void SetHostCount(std::size_t /*aCount*/, Instant /*aNow*/) {}
};

// A budget of this host alone for all services. Each first attempt adds a
// fraction of a repeat, up to a maximum.
class ProportionalRetryBudget : public RetryBudget
{
public:
  struct Options
  {
    // Repeats earned by each first attempt.
    double retriesPerFirstAttempt = 0.1;
    // Maximum number of saved repeats, which is also the initial value.
    double maxCredit = 10;
  };

  explicit ProportionalRetryBudget(Options aOptions);

  void OnFirstAttempt(const ServiceId& aService) override;
  bool TrySpend(const ServiceId& aService) override;

private:
  Options mOptions;
  double mCredit = mOptions.maxCredit;
};

// What the repeats of all hosts together may add to a service's load, in any
// span of time.
struct RetryAllowance
{
  // Repeats for each request of the service.
  double ratio = 0.1;
  // Repeats beside these. Two engines that end may break 64 requests each.
  double burst = 200;
};

// This host's part of the deployment's budget: what its own requests earn, and
// an equal part of the burst.
class SharedRetryBudget : public RetryBudget
{
public:
  struct Options
  {
    RetryAllowance allowance;
    // The part of the allowance that is used. The rest covers repeats that
    // reach a server later than they are counted here, and hosts that start
    // again and have forgotten what they have spent.
    double usedPart = 0.8;
    // A host that hears of fewer others than before may be cut off from them
    // while they still send, so the largest number within this time counts.
    Duration hostMemory = std::chrono::seconds(60);
  };

  explicit SharedRetryBudget(Options aOptions);

  void OnFirstAttempt(const ServiceId& aService) override;
  bool TrySpend(const ServiceId& aService) override;
  void SetHostCount(std::size_t aCount, Instant aNow) override;

private:
  struct HostCount
  {
    // When the count was last valid.
    Instant at;
    std::size_t count = 1;
  };

  [[nodiscard]] double MaxCredit() const;
  double& CreditOf(const ServiceId& aService);

  Options mOptions;
  // The number of hosts now and the former ones that still count.
  std::vector<HostCount> mHostCounts;
  std::unordered_map<ServiceId, double> mCredits;
};

// Allows every repeat, for baseline policies.
class UnboundedRetryBudget : public RetryBudget
{
public:
  void OnFirstAttempt(const ServiceId& aService) override;
  bool TrySpend(const ServiceId& aService) override;
};

} // namespace firefly::policy
