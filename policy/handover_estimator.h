#pragma once

// Estimates how long engines take to hand over the KV cache of a prefilled
// prompt: from the call to the engine that decodes until its first token.

#include <cstdint>
#include <vector>

#include "policy/fleet_view.h"

namespace firefly::policy {

// Learns from this process's own handovers. An engine fetches one KV cache
// after the other, so that many short prompts can keep it busy although it
// decodes little. What was learned of one engine fades to the average over all,
// because an engine that is avoided gives no samples that could correct it.
class HandoverEstimator
{
public:
  struct Options
  {
    // Time that a handover is assumed to take until the first one has ended.
    Duration initialTime = std::chrono::milliseconds(20);
    // Weight of a new handover in the average over all engines and over one.
    double fleetWeight = 0.05;
    double engineWeight = 0.3;
    // Time in which what was learned of an engine fades to 1/e.
    Duration memory = std::chrono::seconds(1);
  };

  // Identifies a handover to its engine.
  using Ticket = StrongType<struct HandoverTag, std::uint64_t>;

  HandoverEstimator() = default;
  explicit HandoverEstimator(Options aOptions);

  Ticket OnStart(BackendSlot aSlot, Instant aNow);

  // The first token has arrived.
  void OnFirstToken(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The attempt ended without a token.
  void OnCancel(BackendSlot aSlot, Ticket aTicket);

  // The time that a handover to the engine is expected to take: not less than
  // the age of the oldest one that waits there.
  [[nodiscard]] Duration ExpectedTime(BackendSlot aSlot, Instant aNow) const;

private:
  struct Handover
  {
    Ticket ticket;
    Instant startedAt{};
  };
  struct Engine
  {
    // In the order of their starts.
    std::vector<Handover> waiting;
    double seconds = 0;
    Instant updatedAt{};
  };

  Engine& At(BackendSlot aSlot);
  [[nodiscard]] double Estimate(const Engine& aEngine, Instant aNow) const;

  Options mOptions;
  std::vector<Engine> mEngines;
  double mFleetSeconds = ToSeconds(mOptions.initialTime);
  std::uint64_t mLastTicket = 0;
};

} // namespace firefly::policy
