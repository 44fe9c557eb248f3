#pragma once

// A small seeded random number generator that returns the same numbers on every
// platform. The distributions of the standard library are not used because
// they differ between implementations.

#include <cstdint>

namespace firefly {

// The SplitMix64 generator.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  // A uniform number from the whole 64-bit range.
  std::uint64_t Next();

  // A number in [0, aBound), nearly uniform for bounds far below 2^64; zero if
  // the bound is zero.
  std::uint64_t Below(std::uint64_t aBound);

  // A uniform number in [0, 1).
  double Uniform();

  // A number from the exponential distribution with the given mean.
  double Exponential(double aMean);

  // True with the given probability.
  bool Chance(double aProbability) { return Uniform() < aProbability; }

private:
  std::uint64_t mState;
};

} // namespace firefly
