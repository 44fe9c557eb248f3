#pragma once

// Baseline selectors that do not learn, for comparison with LearningSelector.

#include <cstdint>
#include <vector>

#include "policy/backend_selector.h"

namespace firefly::policy {

// Selects open backend servers in turn, regardless of their load; it never
// fails with kNoCapacity.
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
  // Returns one of aSlots, which must not be empty.
  virtual BackendSlot Pick(const std::vector<BackendSlot>& aSlots);

private:
  std::uint64_t mTurn = 0;
};

// Selects the backend server with the fewest requests in its last load report;
// one without a report counts as idle.
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
