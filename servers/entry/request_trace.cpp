#include "servers/entry/request_trace.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

constexpr double kMillisPerSecond = 1000;

Json
ToJson(const TraceStep& aStep)
{
  Json step{ { "at_ms", ToSeconds(aStep.at) * kMillisPerSecond },
             { "step", aStep.step } };
  if (!aStep.backend.empty()) {
    step["backend"] = aStep.backend;
  }
  if (!aStep.detail.empty()) {
    step["detail"] = aStep.detail;
  }
  return step;
}

} // namespace

void
RequestTrace::Add(TraceStep aStep)
{
  if (steps.size() < kMaxSteps) {
    steps.push_back(std::move(aStep));
  }
}

void
TraceRegistry::Add(const RequestTracePtr& aTrace)
{
  if (mTraces.size() >= mMaxTraces) {
    const auto oldest = mById.find(mTraces.front()->requestId);
    if (oldest != mById.end() && oldest->second.lock() == mTraces.front()) {
      mById.erase(oldest);
    }
    mTraces.pop_front();
  }
  mTraces.push_back(aTrace);
  mById[aTrace->requestId] = aTrace;
}

std::string
TraceRegistry::ToJsonText(const std::string& aRequestId) const
{
  const auto it = mById.find(aRequestId);
  const auto trace = it == mById.end() ? nullptr : it->second.lock();
  if (!trace) {
    return {};
  }
  Json body{ { "request_id", trace->requestId },
             { "service", trace->service },
             { "request_type", trace->requestType },
             { "outcome", trace->outcome },
             { "steps", Json::array() } };
  for (const auto& step : trace->steps) {
    body["steps"].push_back(ToJson(step));
  }
  return body.dump();
}

} // namespace firefly
