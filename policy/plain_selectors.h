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
  void OnArrival(const RequestInfo& aRequest) override;
  [[nodiscard]] Tokens ExpectedCached(
    const RequestInfo& aRequest) const override;
  AttemptInfo OnDispatch(const RequestInfo& aRequest,
                         const Choice& aChoice,
                         Lane aLane,
                         Instant aNow) override;
  void OnFirstToken(AttemptInfo& aAttempt,
                    Duration aWait,
                    Instant aNow) override;
  void OnTokens(const AttemptInfo& aAttempt,
                Duration aMeanGap,
                Instant aNow) override;
  void OnFinish(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnError(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnUnreachable(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnOverdue(const AttemptInfo& aAttempt,
                 Duration aWaited,
                 Instant aNow) override;
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
                Instant aNow) override;
  void OnPeerDigest(const Digest& aDigest,
                    const FleetView& aFleet,
                    Instant aNow) override;
  void FillDigest(Digest& aDigest,
                  const FleetView& aFleet,
                  Instant aNow) const override;

protected:
  // The open backend servers that serve the request and aren't excluded; with
  // static roles, those whose role suits its shape, if there are any.
  static std::vector<BackendSlot> Eligible(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet);

private:
  std::uint64_t mTurn = 0;
};

// Takes the backend server with the least load in its last report.
class LeastReportedLoadSelector : public RoundRobinSelector
{
public:
  tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet,
                                           Instant aNow) override;
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
                Instant aNow) override;

private:
  std::vector<double> mReported;
  std::uint64_t mTurn = 0;
};

} // namespace firefly::policy
