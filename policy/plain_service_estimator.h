#pragma once

// Estimates how long the backend servers of plain services take for a call, how
// many of their slots are taken and how often they fail.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

// Learns from the calls of this process alone. What it has learned of one
// backend server fades with time, because a backend server that is avoided
// gives no answers that could correct a bad estimate.
class PlainServiceEstimator
{
public:
  struct Options
  {
    // Time that a service is assumed to take until its first answer.
    Duration initialTime = std::chrono::milliseconds(50);
    // Weight of a new answer in the averages over a service and over one
    // backend server.
    double serviceWeight = 0.05;
    double backendWeight = 0.2;
    // A call is overdue after the usual time and this many mean deviations.
    double overdueDeviations = 6;
    // Time in which what was learned of a backend server fades to 1/e.
    Duration memory = std::chrono::seconds(3);
  };

  // Identifies a call at its backend server.
  using Ticket = StrongType<struct PlainCallTag, std::uint64_t>;

  PlainServiceEstimator() = default;
  explicit PlainServiceEstimator(Options aOptions);

  Ticket OnDispatch(BackendSlot aSlot, const ServiceId& aService, Instant aNow);

  // The backend server answered the call.
  void OnAnswer(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The call failed: its answer was an error or was lost.
  void OnFailure(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The backend server refused to run the call, so that it has no free slot.
  void OnRejection(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The call was ended by this process or was never sent.
  void OnCancel(BackendSlot aSlot, Ticket aTicket);

  // Calls of this process that occupy a slot. Overdue calls are not counted:
  // their answers are more likely lost than late.
  [[nodiscard]] std::uint32_t Occupied(BackendSlot aSlot, Instant aNow);

  // Whether the backend server has just rejected a call and none of its slots
  // is likely to be free yet.
  [[nodiscard]] bool IsFull(BackendSlot aSlot, Instant aNow) const;

  // The time from sending a call to its answer if a slot is free.
  [[nodiscard]] Duration ExpectedTime(BackendSlot aSlot,
                                      const ServiceId& aService,
                                      Instant aNow) const;

  // The time after which a call of the service counts as overdue.
  [[nodiscard]] Duration OverdueAfter(const ServiceId& aService) const;

  // The fraction of the recent calls that failed.
  [[nodiscard]] double FailureRate(BackendSlot aSlot, Instant aNow) const;

private:
  struct ServiceTime
  {
    double mean = 0;      // seconds
    double deviation = 0; // mean absolute deviation, seconds
  };
  struct Call
  {
    Ticket ticket;
    ServiceId service;
    Instant sentAt{};
    bool overdue = false;
  };
  struct BackendEstimate
  {
    std::vector<Call> calls;
    // Time of a call as a multiple of the service's usual time.
    double slowdown = 1;
    double failureRate = 0;
    Instant updatedAt{};
    Instant fullUntil{};
  };

  BackendEstimate& At(BackendSlot aSlot);
  [[nodiscard]] const BackendEstimate* Find(BackendSlot aSlot) const;
  [[nodiscard]] ServiceTime TimeOf(const ServiceId& aService) const;
  [[nodiscard]] double Fading(const BackendEstimate& aBackend,
                              Instant aNow) const;
  void Fade(BackendEstimate& aBackend, Instant aNow) const;
  void AddOutcome(BackendEstimate& aBackend, bool aFailed, Instant aNow) const;
  // Removes the call and returns it; without a service if it is unknown.
  Call Take(BackendEstimate& aBackend, Ticket aTicket);

  Options mOptions;
  std::vector<BackendEstimate> mBackends;
  std::unordered_map<ServiceId, ServiceTime> mServices;
  std::uint64_t mLastTicket = 0;
};

} // namespace firefly::policy
