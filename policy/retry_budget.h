#pragma once

// Retries and hedges as a share of traffic, so that a crest isn't fed by its
// own retries.

namespace firefly::policy {

class RetryBudget
{
public:
  virtual ~RetryBudget() = default;

  // A first attempt was dispatched.
  virtual void OnFirstAttempt() = 0;

  // Takes one retry from the budget; false if there is none left.
  virtual bool TrySpend() = 0;
};

// Each first attempt earns a part of a retry, up to a bound.
class ShareRetryBudget : public RetryBudget
{
public:
  struct Options
  {
    // Retries for each first attempt.
    double share = 0.1;
    // Retries that may be saved up; also what a fresh process starts with.
    double most = 10;
  };

  ShareRetryBudget() = default;
  explicit ShareRetryBudget(Options aOptions);

  void OnFirstAttempt() override;
  bool TrySpend() override;

private:
  Options mOptions;
  double mCredit = mOptions.most;
};

// Plain retries: as many as are asked for.
class UnboundedRetryBudget : public RetryBudget
{
public:
  void OnFirstAttempt() override;
  bool TrySpend() override;
};

} // namespace firefly::policy
