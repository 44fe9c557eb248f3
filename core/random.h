#pragma once

// A small seeded generator with the same numbers on every platform; the
// standard library's distributions differ between implementations.

#include <cstdint>

namespace firefly {

// SplitMix64.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  // A number from the whole 64-bit range.
  std::uint64_t Next();

  // A number in [0, aBound); zero if the bound is zero.
  std::uint64_t Below(std::uint64_t aBound);

  // A number in [0, 1).
  double Uniform();

  // A draw from the exponential distribution with that mean.
  double Exponential(double aMean);

  // True with that probability.
  bool Chance(double aProbability) { return Uniform() < aProbability; }

private:
  std::uint64_t mState;
};

} // namespace firefly
