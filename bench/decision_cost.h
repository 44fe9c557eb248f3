#pragma once

// How long decisions take and how much memory they need, at a given size.

#include <cstddef>
#include <cstdint>
#include <string>

namespace firefly::bench {

struct CostOptions
{
  std::uint32_t backends = 600;
  std::uint32_t entries = 370;
  std::uint32_t decisions = 20000;
};

struct CostResult
{
  // Wall time of one arrival (all its decisions) and of its feedback.
  double arrivalMicroseconds = 0;
  double feedbackMicroseconds = 0;
  // Wall time to take in one peer's digest, and a digest's bytes.
  double digestMicroseconds = 0;
  std::size_t digestBytes = 0;
  // Memory that the router holds once all peers are known.
  std::size_t residentKilobytes = 0;

  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;
};

// Measures one entry's router with all peers' digests in place.
CostResult
MeasureCost(const CostOptions& aOptions);

} // namespace firefly::bench
