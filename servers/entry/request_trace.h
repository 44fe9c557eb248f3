#pragma once

// What became of recent requests, for operators who ask why.

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
  std::string backend; // empty if none took part
  std::string detail;
};

// One request, from its arrival on.
struct RequestTrace
{
  std::string requestId;
  std::string service;
  std::string requestType;
  std::string outcome = "running";
  Instant arrival{};
  std::vector<TraceStep> steps;

  // Adds a step unless there are kMaxSteps already.
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

  // Keeps the trace; the oldest one gives way.
  void Add(const RequestTracePtr& aTrace);

  // The newest trace of that id as JSON; empty if it is not known.
  [[nodiscard]] std::string ToJsonText(const std::string& aRequestId) const;

private:
  std::size_t mMaxTraces;
  std::deque<RequestTracePtr> mTraces;
  std::unordered_map<std::string, std::weak_ptr<RequestTrace>> mById;
};

} // namespace firefly
