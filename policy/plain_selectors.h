#pragma once

// Choices that learn nothing, to compare with.

#include <cstdint>
#include <vector>

#include "policy/backend_selector.h"

namespace firefly::policy {

// Takes open backend servers in turn, whatever their load.
class RoundRobinSelector : public BackendSelector
{
public:
  tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet,
                                           Instant aNow) override;
  AttemptInfo OnDispatch(const RequestInfo& aRequest,
                         const Choice& aChoice,
                         Lane aLane,
                         Instant aNow) override;
  void OnFirstToken(AttemptInfo& aAttempt,
                    Duration aWait,
                    Instant aNow) override;

protected:
  // One of the slots, of which there is at least one.
  virtual BackendSlot Pick(const std::vector<BackendSlot>& aSlots);

private:
  std::uint64_t mTurn = 0;
};

// Takes the backend server with the least load in its last report.
class LeastReportedLoadSelector : public RoundRobinSelector
{
public:
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
                Instant aNow) override;

protected:
  BackendSlot Pick(const std::vector<BackendSlot>& aSlots) override;

private:
  std::vector<double> mReported;
};

} // namespace firefly::policy
