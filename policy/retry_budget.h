#pragma once

// Limits retries and hedges to a fraction of the traffic, so that retries do
// not add to an overload.

namespace firefly::policy {

class RetryBudget
{
public:
  virtual ~RetryBudget() = default;

  // Called when the first attempt of a request is dispatched.
  virtual void OnFirstAttempt() = 0;

  // Takes one retry from the budget; returns false if none is left.
  virtual bool TrySpend() = 0;
};

// Each first attempt adds a fraction of a retry to the budget, up to a maximum.
class ProportionalRetryBudget : public RetryBudget
{
public:
  struct Options
  {
    // Retries earned by each first attempt.
    double retriesPerFirstAttempt = 0.1;
    // Maximum number of saved retries, which is also the initial value.
    double maxCredit = 10;
  };

  ProportionalRetryBudget() = default;
  explicit ProportionalRetryBudget(Options aOptions);

  void OnFirstAttempt() override;
  bool TrySpend() override;

private:
  Options mOptions;
  double mCredit = mOptions.maxCredit;
};

// Allows every retry, for baseline policies.
class UnboundedRetryBudget : public RetryBudget
{
public:
  void OnFirstAttempt() override;
  bool TrySpend() override;
};

} // namespace firefly::policy
