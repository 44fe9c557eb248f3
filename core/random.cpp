#include "core/random.h"

#include <cmath>

namespace firefly {

std::uint64_t
Random::Next()
{
  mState += 0x9E3779B97F4A7C15ULL;
  std::uint64_t n = mState;
  n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ULL;
  n = (n ^ (n >> 27)) * 0x94D049BB133111EBULL;
  return n ^ (n >> 31);
}

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return Next() % aBound;
}

double
Random::Uniform()
{
  constexpr double kStep = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Next() >> 11) * kStep;
}

double
Random::Exponential(double aMean)
{
  return -aMean * std::log1p(-Uniform());
}

} // namespace firefly
