#pragma once

// Admission: whether a request may run, decided before anything is dispatched,
// so that a refusal truly means "not run".

#include <cstdint>
#include <string_view>

#include "policy/request_info.h"

namespace firefly::policy {

enum class RefusalReason : std::uint8_t
{
  kNone,
  // The customer's own limit is used up.
  kCustomerLimit,
  // The limit of the service or request type is used up.
  kTypeLimit,
  // The answer could not be in time any more.
  kDeadline,
  // The fleet is full of work that is worth more.
  kOverload,
  // The entry's queue is full.
  kQueueFull,
  // No open backend server has the model or the service.
  kNoBackend,
  // The request crashed backend servers before.
  kQuarantined,
  // The retry budget is used up and the request is another attempt.
  kRetryBudget,
};

// The reason as a word for problem+json and metrics, such as "deadline".
std::string_view
ToString(RefusalReason aReason);

enum class AdmissionAction : std::uint8_t
{
  kAdmit,
  // Wait in the RequestQueue for room.
  kQueue,
  kRefuse,
};

struct AdmissionDecision
{
  AdmissionAction action = AdmissionAction::kAdmit;
  RefusalReason reason = RefusalReason::kNone;
  // For the Retry-After header; only with a refusal.
  Duration retryAfter{};
};

// What admission knows of the load when it decides.
struct LoadSummary
{
  // The best wait before the first token that any candidate promises.
  Duration expectedWait{};
  // Whether a backend server has room right now.
  bool hasRoom = true;
  // Requests waiting in the queue, and its bound.
  std::size_t queued = 0;
  std::size_t queueBound = 0;
  // Expected seconds of a whole engine that the request takes.
  double engineSeconds = 0;
};

class Admission
{
public:
  virtual ~Admission() = default;

  // Decides over one request. Limits are counted apart, by the LimitKeeper.
  virtual AdmissionDecision Decide(const RequestInfo& aRequest,
                                   const LoadSummary& aLoad,
                                   Instant aNow) = 0;

  // Whether an answer whose first token is expected after the wait is likely
  // to be in time.
  [[nodiscard]] virtual bool CanBeInTime(const RequestInfo& aRequest,
                                         Duration aExpectedWait,
                                         Instant aNow) const = 0;

  // A request that was admitted had to be refused after all: it would have
  // been late, or the queue was full of others worth more.
  virtual void OnShed(double aWorthPerSecond) = 0;
};

// Sets a price on an engine second that rises while requests can't be in time
// and falls while all can, and refuses what is worth less; so that what the
// fleet can't carry is refused at once, the least worthy first.
class WorthAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  [[nodiscard]] bool CanBeInTime(const RequestInfo& aRequest,
                                 Duration aExpectedWait,
                                 Instant aNow) const override;
  void OnShed(double aWorthPerSecond) override;

  // The worth that an engine second must bring at the moment.
  [[nodiscard]] double Price() const { return mPrice; }

private:
  void Raise();
  void Lower();

  double mPrice = 0;
  // The usual worth of an engine second, which bounds the price.
  double mUsual = 0;
};

// Admits all; queues while there is no room and refuses when the queue is full.
class PlainAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  [[nodiscard]] bool CanBeInTime(const RequestInfo& aRequest,
                                 Duration aExpectedWait,
                                 Instant aNow) const override;
  void OnShed(double aWorthPerSecond) override;
};

} // namespace firefly::policy
