#pragma once

// When a running attempt is slow enough for a second one: one hedge before the
// first token of idempotent work, one resume when the tokens stall.

#include <cstdint>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

class Hedger
{
public:
  virtual ~Hedger() = default;

  // How long to wait for the first token before a hedge, given the wait that
  // the backend choice expected.
  [[nodiscard]] virtual Duration HedgeAfter(Duration aExpectedWait) const = 0;

  // How long the tokens may stall before the answer is resumed elsewhere.
  [[nodiscard]] virtual Duration ResumeAfter() const = 0;

  // An attempt's first token came after that wait.
  virtual void OnFirstToken(Duration aExpectedWait, Duration aWait) = 0;

  // The largest gap between an attempt's tokens so far.
  virtual void OnTokenGap(Duration aGap) = 0;
};

// Learns how far first tokens lag behind what was expected and hedges beyond a
// high quantile of it.
class QuantileHedger : public Hedger
{
public:
  struct Options
  {
    // The part of attempts that should need no hedge.
    double quantile = 0.95;
    Duration shortest = std::chrono::milliseconds(150);
    Duration longest = std::chrono::seconds(10);
    // Tokens stall when no token came for this many usual gaps ...
    double stallGaps = 20;
    // ... but not before this.
    Duration shortestStall = std::chrono::milliseconds(600);
  };

  QuantileHedger() = default;
  explicit QuantileHedger(Options aOptions);

  [[nodiscard]] Duration HedgeAfter(Duration aExpectedWait) const override;
  [[nodiscard]] Duration ResumeAfter() const override;
  void OnFirstToken(Duration aExpectedWait, Duration aWait) override;
  void OnTokenGap(Duration aGap) override;

private:
  Options mOptions;
  // The wait beyond the expected one that the quantile stays below, tracked by
  // steps that balance at the quantile.
  double mExcessSeconds = 0.3;
  double mGapSeconds = 0.03;
};

// Never hedges and never resumes.
class NoHedger : public Hedger
{
public:
  [[nodiscard]] Duration HedgeAfter(Duration aExpectedWait) const override;
  [[nodiscard]] Duration ResumeAfter() const override;
  void OnFirstToken(Duration aExpectedWait, Duration aWait) override;
  void OnTokenGap(Duration aGap) override;
};

} // namespace firefly::policy
