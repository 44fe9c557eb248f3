#pragma once

// Admission control: decides whether a request may run before anything is
// dispatched, so that a refusal guarantees that it was not run.

#include <cstdint>
#include <string_view>

#include "policy/request_info.h"

namespace firefly::policy {

enum class RefusalReason : std::uint8_t
{
  kNone,
  // The customer's own limit is exhausted.
  kCustomerLimit,
  // The limit of the service or request type is exhausted.
  kTypeLimit,
  // The first token is not expected to arrive before its deadline.
  kDeadline,
  // The fleet is fully loaded with requests that are worth more.
  kOverload,
  kQueueFull,
  // No open backend server offers the model or the service, or backend servers
  // rejected all attempts that the request is allowed.
  kNoBackend,
  // The request has crashed backend servers before.
  kQuarantined,
  // The request needs another attempt and the retry budget is exhausted.
  kRetryBudget,
  // All backend servers that offer the model or the service limit the rate of
  // requests, and none takes this one soon enough.
  kRateLimit,
};

// The reason in text form for problem+json and metrics, such as "deadline".
std::string_view
ToString(RefusalReason aReason);

enum class AdmissionAction : std::uint8_t
{
  kAdmit,
  // The request waits in the RequestQueue for capacity.
  kQueue,
  kRefuse,
};

struct AdmissionDecision
{
  AdmissionAction action = AdmissionAction::kAdmit;
  RefusalReason reason = RefusalReason::kNone;
  // The value of the Retry-After header; only set for a refusal.
  Duration retryAfter{};
};

// The load at the time of an admission decision.
struct LoadSummary
{
  // The expected wait at the selected backend server; if none has capacity, the
  // shortest one among the candidates.
  Duration expectedWait{};
  // Whether a backend server has capacity for the request now.
  bool hasCapacity = true;
  // The number of requests for the same service in the queue, and the maximum
  // for all services.
  std::size_t queued = 0;
  std::size_t queueBound = 0;
  // Expected processing time of the request, in seconds of one whole engine.
  double engineSeconds = 0;
};

class Admission
{
public:
  virtual ~Admission() = default;

  // Decides whether to admit, queue or refuse a request. Limits are enforced
  // separately by the request limiter.
  virtual AdmissionDecision Decide(const RequestInfo& aRequest,
                                   const LoadSummary& aLoad,
                                   Instant aNow) = 0;

  // Whether the answer is likely to be in time if its first token arrives after
  // the expected wait.
  [[nodiscard]] virtual bool CanMeetDeadline(const RequestInfo& aRequest,
                                             Duration aExpectedWait,
                                             Instant aNow) const = 0;

  // Called when an admitted request was refused later, because it would have
  // been late or because the queue was full of requests worth more.
  virtual void OnShed(double aWorthPerEngineSecond) = 0;
};

// Sets a minimum price for an engine second and refuses requests that are worth
// less. The price rises with each request that cannot be in time or is evicted
// from the full queue, and falls by a smaller step at each other decision.
// Under overload this refuses excess requests immediately, those of the lowest
// worth first.
class WorthAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  [[nodiscard]] bool CanMeetDeadline(const RequestInfo& aRequest,
                                     Duration aExpectedWait,
                                     Instant aNow) const override;
  void OnShed(double aWorthPerEngineSecond) override;

  // The worth per engine second that a request needs at present.
  [[nodiscard]] double Price() const { return mPrice; }

private:
  void RaisePrice();
  void LowerPrice();

  double mPrice = 0;
  // Moving average of the worth per engine second; the price is bounded by
  // multiples of it.
  double mAverageWorth = 0;
};

// Admits all requests, queues them while there is no capacity, and refuses them
// when the queue is full.
class BaselineAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  [[nodiscard]] bool CanMeetDeadline(const RequestInfo& aRequest,
                                     Duration aExpectedWait,
                                     Instant aNow) const override;
  void OnShed(double aWorthPerEngineSecond) override;
};

} // namespace firefly::policy
