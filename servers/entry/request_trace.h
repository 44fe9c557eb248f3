#pragma once

// Traces of recent requests, with which operators find out why a request ended
// as it did.

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace firefly {

// One step of a request.
struct TraceStep
{
  Duration at{}; // since the request's arrival
  std::string step;
  std::string backend; // empty if none was involved
  std::string detail;
};

// The steps of one request since its arrival.
struct RequestTrace
{
  std::string requestId;
  std::string service;
  std::string requestType;
  std::string outcome = "running";
  Instant arrival{};
  std::vector<TraceStep> steps;

  // Adds a step. Steps beyond kMaxSteps are dropped.
  void Add(TraceStep aStep);

  static constexpr std::size_t kMaxSteps = 32;
};

using RequestTracePtr = std::shared_ptr<RequestTrace>;

// Keeps the newest traces.
class TraceRegistry
{
public:
  explicit TraceRegistry(std::size_t aMaxTraces)
    : mMaxTraces(aMaxTraces)
  {
  }

  // Adds a trace, and drops the oldest one if there are aMaxTraces.
  void Add(const RequestTracePtr& aTrace);

  // Returns the newest trace with that request id as JSON text, or an empty
  // string if there is none.
  [[nodiscard]] std::string ToJsonText(const std::string& aRequestId) const;

private:
  std::size_t mMaxTraces;
  std::deque<RequestTracePtr> mTraces;
  std::unordered_map<std::string, std::weak_ptr<RequestTrace>> mById;
};

} // namespace firefly
