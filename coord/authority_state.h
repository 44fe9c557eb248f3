#pragma once

// The state of the "authority" stream: who leads the fleet, the wanted state
// of each backend server, and the orders under way. One stream holds them all,
// so that one total order settles who may write orders.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coord/stream_fold.h"
#include "core/ids.h"
#include "core/state_chart.h"

namespace firefly::coord {

// What an engine is used for; a plain service's instance has kPlain.
enum class BackendRole : std::uint8_t
{
  kPlain = 0,
  kMixed = 1,
  kPrefill = 2,
  kDecode = 3,
};

// The role's name, such as "prefill", and back.
[[nodiscard]] std::string
ToString(BackendRole aRole);
[[nodiscard]] std::optional<BackendRole>
ParseBackendRole(const std::string& aName);

// An absolute order: the whole state that a backend server is to have.
struct WantedState
{
  BackendRole role = BackendRole::kMixed;
  ModelId model{};
  std::string modelVersion{};
  std::string adapter{};

  bool operator==(const WantedState&) const = default;
};

// Grows with each order of one authority; starts at one for each.
using OrderId = StrongType<struct OrderIdTag, std::uint64_t>;

// An order as it stands in the log.
struct Order
{
  BackendId backend{};
  FencingNumber fence{}; // of the authority that gave it
  OrderId id{};
  WantedState wanted{};

  bool operator==(const Order&) const = default;
};

// How an order ended.
enum class OrderResult : std::uint8_t
{
  kApplied = 0, // the backend server has the wanted state
  kFailed = 1,  // it hasn't, and the order is over
};

// A backend server in the plan. One without an entry is open, as its
// configuration says.
struct PlanEntry
{
  // A state of charts/backend.toml: open, closing, draining, ordering,
  // settling or out. Only an open one gets new work.
  std::string state{};
  // What it serves, or null until the first order was applied.
  std::optional<WantedState> serving{};
  // The order under way; its outcome is not known yet.
  std::optional<Order> open{};
  // The newest order that the plan accepted for this backend server.
  FencingNumber lastFence{};
  OrderId lastOrder{};
  // The offset of the newest record that changed this entry.
  LogOffset version{};
};

// The claim that counts.
struct LeaseView
{
  FencingNumber fence{}; // the claim's offset
  HostId holder{};
  Incarnation incarnation{};
  LogOffset renewed{}; // the offset of the claim or its newest renewal
  bool released = false;
  // Only the claim's writer writes under its fence, in its own order: what
  // comes late, or as a copy of an earlier record, is rejected.
  RecordId newest{};
};

// The fold of the stream.
class AuthorityState : public Fold
{
public:
  // The chart (charts/backend.toml) must outlive the state.
  explicit AuthorityState(const StateChart& aBackendChart);

  void Reset() override;
  bool Apply(LogOffset aOffset, const Envelope& aRecord) override;
  [[nodiscard]] std::string Save() const override;
  bool Load(std::string_view aState) override;

  // The claim that counts, or nothing before the first.
  [[nodiscard]] const std::optional<LeaseView>& Lease() const { return mLease; }

  [[nodiscard]] const std::map<BackendId, PlanEntry>& Plan() const
  {
    return mPlan;
  }
  // The backend server's entry, or null.
  [[nodiscard]] const PlanEntry* Find(const BackendId& aBackend) const;

  // The orders whose outcome is not known yet.
  [[nodiscard]] std::vector<Order> OpenIntents() const;

  // Grows with each change of the plan: the offset of the newest one.
  [[nodiscard]] LogOffset PlanVersion() const { return mPlanVersion; }

  // The bodies of the stream's records.
  static std::string ClaimBody(const std::optional<LeaseView>& aExpects,
                               const HostId& aHolder,
                               Incarnation aIncarnation);
  static std::string RenewalBody(FencingNumber aFence);
  static std::string ReleaseBody(FencingNumber aFence);
  static std::string IntentBody(const Order& aOrder);
  static std::string OutcomeBody(FencingNumber aFence,
                                 const Order& aOrder,
                                 OrderResult aResult);
  static std::string PlanEventBody(FencingNumber aFence,
                                   const BackendId& aBackend,
                                   const std::string& aEvent);

private:
  bool ApplyClaim(LogOffset aOffset, const Envelope& aRecord);
  bool ApplyUnderFence(LogOffset aOffset, const Envelope& aRecord);
  bool ApplyRenewal(LogOffset aOffset);
  bool ApplyRelease(LogOffset aOffset);
  bool ApplyIntent(LogOffset aOffset, const std::string& aBody);
  bool ApplyOutcome(LogOffset aOffset, const std::string& aBody);
  bool ApplyPlanEvent(LogOffset aOffset, const std::string& aBody);
  const std::string* NextState(const BackendId& aBackend,
                               const std::string& aEvent) const;
  PlanEntry& Touch(const BackendId& aBackend, LogOffset aOffset);

  const StateChart* mChart;
  std::optional<LeaseView> mLease;
  std::map<BackendId, PlanEntry> mPlan;
  LogOffset mPlanVersion;
};

} // namespace firefly::coord
