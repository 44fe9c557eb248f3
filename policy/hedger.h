#pragma once

// Decides when an attempt is slow enough to start another one: a hedge while an
// idempotent request waits for its first token, or a resume on another engine
// when the tokens stall.

#include <cstdint>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

class Hedger
{
public:
  virtual ~Hedger() = default;

  // How long to wait for the first token before a hedge, given the wait that
  // was expected when the backend server was chosen.
  [[nodiscard]] virtual Duration HedgeAfter(Duration aExpectedWait) const = 0;

  // How long the tokens may stall before the answer is resumed on another
  // backend server.
  [[nodiscard]] virtual Duration ResumeAfter() const = 0;

  // Called when an attempt's first token arrives after aWait.
  virtual void OnFirstToken(Duration aExpectedWait, Duration aWait) = 0;

  // Called with the mean gap between the tokens that an attempt has just
  // produced.
  virtual void OnTokenGap(Duration aMeanGap) = 0;
};

// Estimates how much later than expected first tokens arrive, and hedges when
// an attempt exceeds a high quantile of that delay.
class QuantileHedger : public Hedger
{
public:
  struct Options
  {
    // The fraction of attempts that should not need a hedge.
    double quantile = 0.95;
    Duration minHedgeDelay = std::chrono::milliseconds(150);
    Duration maxHedgeDelay = std::chrono::seconds(10);
    // Tokens have stalled when none arrived for this many average gaps ...
    double stallGapFactor = 20;
    // ... and for at least this long.
    Duration minStall = std::chrono::milliseconds(600);
  };

  QuantileHedger() = default;
  explicit QuantileHedger(Options aOptions);

  [[nodiscard]] Duration HedgeAfter(Duration aExpectedWait) const override;
  [[nodiscard]] Duration ResumeAfter() const override;
  void OnFirstToken(Duration aExpectedWait, Duration aWait) override;
  void OnTokenGap(Duration aMeanGap) override;

private:
  Options mOptions;
  // The estimated quantile of the first token's delay beyond the expected wait.
  // Each sample moves it by a step up or down; the step sizes balance at the
  // configured quantile.
  double mExcessSeconds = 0.3;
  double mAverageGapSeconds = 0.03;
};

// Never hedges or resumes.
class NoHedger : public Hedger
{
public:
  [[nodiscard]] Duration HedgeAfter(Duration aExpectedWait) const override;
  [[nodiscard]] Duration ResumeAfter() const override;
  void OnFirstToken(Duration aExpectedWait, Duration aWait) override;
  void OnTokenGap(Duration aMeanGap) override;
};

} // namespace firefly::policy
