#include "tests/soak/promise_checker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace firefly::soak {

namespace {

constexpr int kSuccess = 200;
constexpr int kSuccessEnd = 300;
constexpr int kNotFound = 404;
// With these statuses the system promises that the request has not run and
// never will.
constexpr std::array<int, 4> kNotRunStatuses{ 408, 421, 429, 503 };
constexpr std::uint32_t kMinEvents = 2;
constexpr std::uint32_t kEventSpread = 40;
// The minimum share of requests to be served after the recovery time.
constexpr double kMinServedShare = 0.9;
constexpr std::size_t kMaxViolations = 50;

bool
IsSuccess(int aStatus)
{
  return aStatus >= kSuccess && aStatus < kSuccessEnd;
}

bool
MayRepeat(RequestKind aKind)
{
  return aKind == RequestKind::kIdempotent ||
         aKind == RequestKind::kResumableStream;
}

bool
IsStream(RequestKind aKind)
{
  return aKind == RequestKind::kStream ||
         aKind == RequestKind::kResumableStream;
}

} // namespace

std::string_view
ToString(Promise aPromise)
{
  switch (aPromise) {
    case Promise::kOwnWholeAnswer:
      return "own-whole-answer";
    case Promise::kTrueRefusal:
      return "true-refusal";
    case Promise::kAtMostOnce:
      return "at-most-once";
    case Promise::kAsSent:
      return "as-sent";
    case Promise::kNoWorkForLeaving:
      return "no-work-for-leaving";
    case Promise::kConfiguration:
      return "configuration";
    case Promise::kUncutByPlannedStop:
      return "uncut-by-planned-stop";
    case Promise::kStoppedForGoneCaller:
      return "stopped-for-gone-caller";
    case Promise::kOneHolder:
      return "one-holder";
    case Promise::kStaysUp:
      return "stays-up";
    case Promise::kRecovers:
      return "recovers";
  }
  return "unknown";
}

PromiseChecker::PromiseChecker(Options aOptions)
  : mOptions(aOptions)
{
}

std::string
PromiseChecker::PlainBody(const RequestId& aId)
{
  return "booked " + aId.Value();
}

std::string
PromiseChecker::Event(const RequestId& aId, std::uint32_t aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId.Value() + "/" + number + "\n\n";
}

std::uint32_t
PromiseChecker::EventCount(const RequestId& aId)
{
  std::uint32_t sum = 0;
  for (const char it : aId.Value()) {
    sum = sum * 31 + static_cast<unsigned char>(it);
  }
  return kMinEvents + sum % kEventSpread;
}

void
PromiseChecker::ReportViolation(Promise aPromise,
                                Instant aNow,
                                std::string aWhat)
{
  if (mViolations.size() < kMaxViolations) {
    mViolations.push_back(
      { .promise = aPromise, .at = aNow, .what = std::move(aWhat) });
  }
}

void
PromiseChecker::OnRelayDisturbed(std::optional<RelayIndex> aRelay,
                                 Instant aFrom,
                                 Instant aTo)
{
  mRelayDisturbances.push_back({ .relay = aRelay, .from = aFrom, .to = aTo });
}

bool
PromiseChecker::IsUndisturbed(RelayIndex aRelay,
                              Instant aFrom,
                              Instant aTo) const
{
  return std::ranges::none_of(
    mRelayDisturbances, [&](const Disturbance& aDisturbance) {
      return (!aDisturbance.relay || *aDisturbance.relay == aRelay) &&
             aDisturbance.from < aTo &&
             aDisturbance.to > aFrom - mOptions.settleTime;
    });
}

void
PromiseChecker::OnBackendNetworkDisturbed(Instant aFrom, Instant aTo)
{
  mBackendDisturbances.push_back({ .from = aFrom, .to = aTo });
}

bool
PromiseChecker::IsUndisturbedWithBackends(RelayIndex aRelay,
                                          Instant aFrom,
                                          Instant aTo) const
{
  return IsUndisturbed(aRelay, aFrom, aTo) &&
         std::ranges::none_of(
           mBackendDisturbances, [&](const Disturbance& aDisturbance) {
             return aDisturbance.from < aTo &&
                    aDisturbance.to > aFrom - mOptions.settleTime;
           });
}

void
PromiseChecker::OnStopSignal(RelayIndex aRelay, Instant aNow)
{
  mStops[aRelay] = aNow;
}

void
PromiseChecker::OnRelayStarted(RelayIndex aRelay, Instant aNow)
{
  mStarts[aRelay] = aNow;
  mObservedVersions.erase(aRelay);
}

void
PromiseChecker::OnUnexpectedRelayExit(RelayIndex aRelay,
                                      const std::string& aExitStatus,
                                      Instant aNow)
{
  ReportViolation(Promise::kStaysUp,
                  aNow,
                  "relay " + std::to_string(aRelay.Value()) +
                    " ended unexpectedly: " + aExitStatus);
}

void
PromiseChecker::OnSent(const SentRequest& aRequest)
{
  mCounts.sent++;
  mRequests[aRequest.id].sent = aRequest;
}

void
PromiseChecker::OnAnswer(const RequestId& aId,
                         const ObservedAnswer& aAnswer,
                         Instant aNow)
{
  auto& request = mRequests.at(aId);
  request.answer = aAnswer;
  request.answered = aNow;
  const bool isSystemAnswer = aAnswer.stamp.empty();
  const bool isNotRun =
    isSystemAnswer &&
    std::ranges::find(kNotRunStatuses, aAnswer.status) != kNotRunStatuses.end();
  const bool served = IsSuccess(aAnswer.status) && aAnswer.whole;
  // A 404 is correct for a route that was removed.
  const bool mustBeServed =
    !aAnswer.left && (!isSystemAnswer || aAnswer.status != kNotFound);
  if (mustBeServed && mRecoveredBy && request.sent.at >= *mRecoveredBy) {
    mCounts.sentAfterFaults++;
    mCounts.servedAfterFaults += served ? 1 : 0;
  }
  if (aAnswer.left) {
    mCounts.left++;
  } else if (served) {
    mCounts.served++;
  } else if (isNotRun) {
    mCounts.refused++;
  } else {
    mCounts.failed++;
  }
  if (isNotRun && !request.runs.empty() && !MayRepeat(request.sent.kind)) {
    ReportViolation(Promise::kTrueRefusal,
                    aNow,
                    aId.Value() + " was answered " +
                      std::to_string(aAnswer.status) + " after a run at " +
                      request.runs.front().backend);
  }
  CheckBody(request, aNow);
  CheckRoute(request, aNow);
  CheckPlannedStop(request, aNow);
}

void
PromiseChecker::CheckBody(const Request& aRequest, Instant aNow)
{
  const auto& answer = *aRequest.answer;
  const auto& id = aRequest.sent.id;
  if (!IsSuccess(answer.status)) {
    return;
  }
  if (answer.stamp.empty()) {
    ReportViolation(Promise::kOwnWholeAnswer,
                    aNow,
                    id.Value() +
                      " got a success without the stamp of a backend server");
    return;
  }
  std::string expected;
  if (IsStream(aRequest.sent.kind)) {
    for (std::uint32_t i = 1; i <= EventCount(id); ++i) {
      expected += Event(id, i);
    }
  } else {
    expected = PlainBody(id);
  }
  const bool isExpected =
    answer.whole ? answer.body == expected : expected.starts_with(answer.body);
  if (!isExpected) {
    ReportViolation(Promise::kOwnWholeAnswer,
                    aNow,
                    id.Value() +
                      (answer.whole ? " got the wrong body: "
                                    : " got a wrong partial body: ") +
                      answer.body.substr(0, 200));
  }
}

void
PromiseChecker::CheckRoute(const Request& aRequest, Instant aNow)
{
  const auto& sent = aRequest.sent;
  const auto& answer = *aRequest.answer;
  const bool isRefused = answer.stamp.empty() && answer.status == kNotFound;
  const bool served = !answer.stamp.empty();
  if (!isRefused && !served) {
    return;
  }
  // Finds the oldest and newest configuration that explain the answer.
  std::uint64_t oldestMatch = 0;
  std::uint64_t newestMatch = 0;
  std::uint64_t newest = 0;
  for (const auto& it : mConfigurations) {
    if (it.at > aNow) {
      continue;
    }
    newest = it.version;
    if (it.routes.contains(sent.route) == served) {
      oldestMatch = oldestMatch == 0 ? it.version : oldestMatch;
      newestMatch = it.version;
    }
  }
  const auto what = sent.id.Value() + " on " + sent.route + " at relay " +
                    std::to_string(sent.relay.Value()) + " was " +
                    (served ? "served" : "answered 404");
  if (newestMatch == 0) {
    ReportViolation(Promise::kConfiguration,
                    aNow,
                    what + ", which no configuration version allows");
    return;
  }
  // Reports the answer if the next newer version had to be in force already.
  for (const auto& it : mConfigurations) {
    if (it.version <= newestMatch) {
      continue;
    }
    const auto due = it.at + mOptions.configApplyTime + mOptions.machineSlack;
    if (sent.at > due && IsUndisturbed(sent.relay, it.at, sent.at)) {
      ReportViolation(Promise::kConfiguration,
                      aNow,
                      what + " as version " + std::to_string(newestMatch) +
                        " says, too long after " + std::to_string(it.version));
      return;
    }
    break;
  }
  auto& observed = mObservedVersions[sent.relay];
  const auto started = mStarts.find(sent.relay);
  const bool isSameProcess =
    started != mStarts.end() && sent.at >= started->second;
  if (isSameProcess && observed.first > newestMatch &&
      sent.at > observed.second + mOptions.rollbackSlack) {
    ReportViolation(Promise::kConfiguration,
                    aNow,
                    what + " as version " + std::to_string(newestMatch) +
                      " says, after " + std::to_string(observed.first) +
                      " was in force there");
  }
  if (isSameProcess && oldestMatch > observed.first && newest >= oldestMatch) {
    observed = { oldestMatch, aNow };
  }
}

void
PromiseChecker::CheckPlannedStop(const Request& aRequest, Instant aNow)
{
  const auto& sent = aRequest.sent;
  const auto& answer = *aRequest.answer;
  const auto stop = mStops.find(sent.relay);
  if (stop == mStops.end() || answer.left || answer.whole) {
    return;
  }
  const bool isDuringStop =
    sent.at < stop->second + mOptions.refuseAfterStop && aNow > stop->second;
  // Otherwise the backend server may have aborted the request, never received
  // it, or still have been processing it when the relay could abandon it.
  const bool hasRunInTime =
    !aRequest.runs.empty() && aRequest.runs.back().ended &&
    !aRequest.runs.back().brokenOff &&
    *aRequest.runs.back().ended <= stop->second + mOptions.abandonAfterStop;
  if (isDuringStop && hasRunInTime &&
      IsUndisturbedWithBackends(sent.relay, sent.at, aNow)) {
    ReportViolation(Promise::kUncutByPlannedStop,
                    aNow,
                    sent.id.Value() + " was interrupted at relay " +
                      std::to_string(sent.relay.Value()) +
                      " during its planned stop");
  }
}

void
PromiseChecker::OnArrival(const ObservedArrival& aArrival, Instant aNow)
{
  const auto it = mRequests.find(aArrival.id);
  if (it == mRequests.end()) {
    ReportViolation(Promise::kAsSent,
                    aNow,
                    aArrival.backend + " got " + aArrival.id.Value() +
                      ", which no caller sent");
    return;
  }
  auto& request = it->second;
  const auto& sent = request.sent;
  request.arrivals++;
  if (aArrival.method != sent.method || aArrival.target != sent.target ||
      aArrival.body != sent.body) {
    ReportViolation(Promise::kAsSent,
                    aNow,
                    aArrival.backend + " got " + sent.id.Value() +
                      " changed: " + aArrival.method + " " + aArrival.target);
  }
  const auto remainingTime = sent.at + sent.deadline - aNow;
  // Bytes that a silenced connection held back carry an older deadline.
  if (IsUndisturbedWithBackends(sent.relay, sent.at, aNow) &&
      (!aArrival.deadline ||
       *aArrival.deadline > remainingTime + mOptions.deadlineSlack)) {
    ReportViolation(Promise::kAsSent,
                    aNow,
                    aArrival.backend + " got " + sent.id.Value() +
                      " with a deadline beyond the remaining time");
  }
  const auto leaving = mLeaving.find(aArrival.backend);
  if (leaving == mLeaving.end()) {
    return;
  }
  const auto due = leaving->second + mOptions.drainTime + mOptions.machineSlack;
  if (sent.at > due && IsUndisturbed(sent.relay, leaving->second, aNow)) {
    ReportViolation(Promise::kNoWorkForLeaving,
                    aNow,
                    aArrival.backend + " got " + sent.id.Value() + " " +
                      std::to_string(ToSeconds(aNow - leaving->second)) +
                      " s after it was known to leave");
  }
}

void
PromiseChecker::OnRunBegan(const std::string& aBackend,
                           const RequestId& aId,
                           Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return; // reported by OnArrival
  }
  auto& request = it->second;
  mCounts.runs++;
  request.runs.push_back({ .backend = aBackend,
                           .began = aNow,
                           .ended = std::nullopt,
                           .brokenOff = false });
  const auto& answer = request.answer;
  const bool isRefused =
    answer && !answer->left && answer->stamp.empty() &&
    std::ranges::find(kNotRunStatuses, answer->status) != kNotRunStatuses.end();
  if (isRefused) {
    ReportViolation(Promise::kTrueRefusal,
                    aNow,
                    aId.Value() + " ran at " + aBackend +
                      " after it was answered " +
                      std::to_string(answer->status));
  }
  if (!MayRepeat(request.sent.kind) && request.runs.size() > 1) {
    ReportViolation(Promise::kAtMostOnce,
                    aNow,
                    aId.Value() + " ran at " + request.runs[0].backend +
                      " and at " + aBackend);
  }
  if (request.runs.size() > request.sent.maxAttempts) {
    ReportViolation(Promise::kAsSent,
                    aNow,
                    aId.Value() + " ran " +
                      std::to_string(request.runs.size()) +
                      " times, on a route that allows " +
                      std::to_string(request.sent.maxAttempts));
  }
}

void
PromiseChecker::OnRunEnded(const std::string& aBackend,
                           const RequestId& aId,
                           bool aBrokenOff,
                           Instant aNow)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  auto& request = it->second;
  for (auto& run : request.runs) {
    if (run.backend == aBackend && !run.ended) {
      run.ended = aNow;
      run.brokenOff = aBrokenOff;
    }
  }
  const auto& answer = request.answer;
  if (!answer || !answer->left) {
    return;
  }
  const auto due =
    request.answered + mOptions.callerGoneTime + mOptions.machineSlack;
  if (aNow > due &&
      IsUndisturbedWithBackends(request.sent.relay, request.sent.at, aNow)) {
    ReportViolation(Promise::kStoppedForGoneCaller,
                    aNow,
                    aBackend + " worked on " + aId.Value() + " for " +
                      std::to_string(ToSeconds(aNow - request.answered)) +
                      " s after its caller had left");
  }
}

void
PromiseChecker::OnForeignKvCache(const RequestId& aId,
                                 const RequestId& aOwner,
                                 Instant aNow)
{
  ReportViolation(Promise::kOwnWholeAnswer,
                  aNow,
                  aId.Value() + " continues from the KV cache of " +
                    aOwner.Value());
}

void
PromiseChecker::OnLeaving(const std::string& aBackend, Instant aNow)
{
  mLeaving.try_emplace(aBackend, aNow);
}

void
PromiseChecker::OnOrder(const ObservedOrder& aOrder, Instant aNow)
{
  const auto it = mOrders.find(aOrder.backend);
  if (it != mOrders.end()) {
    const auto& [last, at] = it->second;
    const auto text = aOrder.backend + " got an order of " + aOrder.holder +
                      " with fence " + std::to_string(aOrder.fence) +
                      " after one of " + last.holder + " with " +
                      std::to_string(last.fence);
    const bool isOther = last.holder != aOrder.holder;
    const bool isWithinLease = isOther && aNow - at < mOptions.leaseTime;
    const bool sharesFence = isOther && last.fence == aOrder.fence;
    if (sharesFence || isWithinLease || aOrder.fence < last.fence) {
      ReportViolation(Promise::kOneHolder,
                      aNow,
                      isWithinLease ? text + ", within the lease" : text);
    }
  }
  mOrders[aOrder.backend] = { aOrder, aNow };
}

void
PromiseChecker::OnConfiguration(std::uint64_t aVersion,
                                const std::set<std::string>& aRoutes,
                                Instant aNow)
{
  mConfigurations.push_back(
    { .version = aVersion, .routes = aRoutes, .at = aNow });
}

void
PromiseChecker::OnLastFault(Instant aRecoveredBy)
{
  mRecoveredBy = aRecoveredBy;
}

void
PromiseChecker::Finish(Instant aNow)
{
  const auto needed =
    kMinServedShare * static_cast<double>(mCounts.sentAfterFaults);
  if (mRecoveredBy && static_cast<double>(mCounts.servedAfterFaults) < needed) {
    ReportViolation(
      Promise::kRecovers,
      aNow,
      "after the faults " + std::to_string(mCounts.servedAfterFaults) + " of " +
        std::to_string(mCounts.sentAfterFaults) + " requests were served");
  }
}

} // namespace firefly::soak
