#pragma once

// Measures the time and memory that routing decisions take in a fleet of a
// given size.

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
  // Mean wall time to route one arrival, and to process the four feedback
  // events of its answer.
  double arrivalMicroseconds = 0;
  double feedbackMicroseconds = 0;
  // Mean wall time to decode and merge one peer's digest, and the size of an
  // encoded digest.
  double digestMicroseconds = 0;
  std::size_t digestBytes = 0;
  // Growth of the resident memory by the router and its fleet view after all
  // decisions, without the encoded digests.
  std::size_t residentKilobytes = 0;

  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;
};

// Measures the router of one entry that holds the digests of all its peers.
CostResult
MeasureCost(const CostOptions& aOptions);

} // namespace firefly::bench
