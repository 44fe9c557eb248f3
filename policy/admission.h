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

  // A request was shed for lack of room that would have been worth that much
  // for each engine second; raises the bar for those worth less.
  virtual void OnShed(double aWorthPerSecond, Instant aNow) = 0;
};

// Refuses what can't be in time and what is worth less than what is being
// shed, queues while there is no room.
class WorthAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  void OnShed(double aWorthPerSecond, Instant aNow) override;

  // The worth an engine second must bring at the moment.
  [[nodiscard]] double Bar(Instant aNow) const;

private:
  double mBar = 0;
  Instant mBarAt{};
};

// Admits all; queues while there is no room and refuses when the queue is full.
class PlainAdmission : public Admission
{
public:
  AdmissionDecision Decide(const RequestInfo& aRequest,
                           const LoadSummary& aLoad,
                           Instant aNow) override;
  void OnShed(double aWorthPerSecond, Instant aNow) override;
};

} // namespace firefly::policy
