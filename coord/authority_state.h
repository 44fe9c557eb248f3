#pragma once

// The state of the "authority" stream: the lease holder, the wanted state of
// each backend server, and the open orders. A single stream holds all of them,
// so that its total order decides which writer may issue orders.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coord/stream_fold.h"
#include "core/ids.h"
#include "core/state_chart.h"

namespace firefly::coord {

// The kind of work that an engine is used for. An instance of a plain service
// has kPlain.
enum class BackendRole : std::uint8_t
{
  kPlain = 0,
  kMixed = 1,
  kPrefill = 2,
  kDecode = 3,
};

// Converts a role to its name, such as "prefill", and back.
[[nodiscard]] std::string
ToString(BackendRole aRole);
[[nodiscard]] std::optional<BackendRole>
ParseBackendRole(const std::string& aName);

// The complete state that an order asks a backend server to reach. It is
// absolute, not a difference to the present state.
struct WantedState
{
  BackendRole role = BackendRole::kMixed;
  ModelId model{};
  std::string modelVersion{};
  std::string adapter{};

  bool operator==(const WantedState&) const = default;
};

// Numbers the orders of one fencing number, starting at one.
using OrderId = StrongType<struct OrderIdTag, std::uint64_t>;

// An order as recorded in the log.
struct Order
{
  BackendId backend{};
  FencingNumber fence{}; // of the authority that issued the order
  OrderId id{};
  WantedState wanted{};

  bool operator==(const Order&) const = default;
};

// How an order ended.
enum class OrderResult : std::uint8_t
{
  kApplied = 0, // the backend server has the wanted state
  kFailed = 1,  // the order ended without reaching the wanted state
};

// A backend server's entry in the plan. A backend server without an entry is
// in the state "open" and serves what its configuration says.
struct PlanEntry
{
  // A state of charts/backend.toml: open, closing, draining, ordering,
  // settling or out. Only an open backend server receives new requests.
  std::string state{};
  // The state that the backend server serves; empty until the first order has
  // been applied.
  std::optional<WantedState> serving{};
  // The order whose outcome is not known yet, if any.
  std::optional<Order> open{};
  // The fencing number and id of the newest order that the plan accepted for
  // this backend server.
  FencingNumber lastFence{};
  OrderId lastOrder{};
  // The offset of the newest record that changed this entry.
  LogOffset version{};
};

// The newest valid claim and its newest renewal.
struct LeaseView
{
  FencingNumber fence{}; // the claim's offset
  HostId holder{};
  Incarnation incarnation{};
  LogOffset renewed{}; // of the claim, its newest renewal or its release
  bool released = false;
  // The newest record written under this fence. Only the claim's writer may
  // write under it, with increasing sequence numbers: late records and
  // duplicates are rejected.
  RecordId newest{};
};

// The part of a stream in which a candidate has found no claim, renewal or
// release, and for which it has waited until each lease that was renewed before
// it has expired. A claim that names it needs no older record.
struct SilentSpan
{
  LogOffset from{};
  LogOffset to{};
};

// Folds the records of the "authority" stream.
class AuthorityState : public Fold
{
public:
  // The chart (charts/backend.toml) must outlive the state.
  explicit AuthorityState(const StateChart& aBackendChart);

  void Reset() override;
  bool Apply(LogOffset aOffset, const Envelope& aRecord) override;
  [[nodiscard]] std::string Save() const override;
  bool Load(std::string_view aState) override;
  // A claim that names a silent span begins the history if no record after the
  // span's beginning can contradict it.
  [[nodiscard]] bool BeginsWith(
    const Envelope& aRecord,
    LogOffset aFirst,
    const std::vector<UndecidedRecord>& aEarlier) const override;

  // Whether records of this kind state who holds the lease.
  [[nodiscard]] static bool ConcernsLease(RecordKind aKind);

  // The newest valid claim, or nothing before the first one.
  [[nodiscard]] const std::optional<LeaseView>& Lease() const { return mLease; }

  [[nodiscard]] const std::map<BackendId, PlanEntry>& Plan() const
  {
    return mPlan;
  }
  // The backend server's entry, or null.
  [[nodiscard]] const PlanEntry* Find(const BackendId& aBackend) const;

  // The orders whose outcome is not known yet.
  [[nodiscard]] std::vector<Order> OpenOrders() const;

  // The offset of the newest record that changed the plan.
  [[nodiscard]] LogOffset PlanVersion() const { return mPlanVersion; }

  // Encode the bodies of the stream's records.
  static std::string ClaimBody(const std::optional<LeaseView>& aExpects,
                               const HostId& aHolder,
                               Incarnation aIncarnation,
                               const SilentSpan& aSilent = {});
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
