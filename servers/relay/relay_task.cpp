#include "servers/relay/relay_task.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace firefly {

namespace {

using policy::AttemptError;
using policy::AttemptNumber;

constexpr int kFirstServerError = 500;
constexpr int kPastSuccess = 300;
// Reading from the backend server pauses when more than this many bytes wait to
// be sent to the caller.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;
// A request that must not run twice reuses a connection only if it carried an
// answer within this time: an older one may be reset, and it would then be
// unknown whether the request ran.
constexpr Duration kMaxReuseIdleForOnce = std::chrono::milliseconds(1500);
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);

std::string
Millis(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::string
Hex(std::uint64_t aValue)
{
  std::array<char, 16> text{};
  constexpr int kBase = 16;
  const auto [end, ec] =
    std::to_chars(text.data(), text.data() + text.size(), aValue, kBase);
  return { text.data(), end };
}

} // namespace

RelayTask::RelayTask(const RelayContext& aContext, Options aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mArrival(mOptions.arrivedAt)
  , mEvents(mOptions.request.lastEventId)
{
  const auto callerTimeout =
    mOptions.request.callerTimeout.value_or(mOptions.route->timeout);
  mDeadline = mArrival + std::min(callerTimeout, mOptions.route->timeout);
  mOptions.answer->Observe(this);
}

RelayTask::~RelayTask()
{
  mOptions.answer->Observe(nullptr);
}

void
RelayTask::Start()
{
  mDeadlineTimer =
    mContext.executor->RunAfter(std::max(mDeadline - Now(), Duration::zero()),
                                [this] { EndUnanswered("in time"); });
  auto info = MakeInfo();
  mCustomer = info.customer;
  mContext.router->OnArrival(std::move(info), Now());
}

policy::RequestInfo
RelayTask::MakeInfo() const
{
  const auto& request = mOptions.request;
  const auto& route = *mOptions.route;
  policy::RequestInfo info;
  info.requestId = request.id;
  info.service = mOptions.service;
  info.requestType = RequestType(route.name);
  info.worth = policy::Worth(1);
  info.arrival = mArrival;
  info.lateAfter = std::min(route.lateAfter, mDeadline - mArrival);
  const Duration timeLeft = mDeadline - mArrival;
  info.answerTimeout = std::min(timeLeft, route.patience.value_or(timeLeft));
  info.gapObjective = route.gapObjective;
  info.idempotent = route.IsRepeatable();
  info.rank = route.rank;
  if (const auto* customer = mOptions.customer) {
    info.customer = customer->name;
    info.rank = customer->rank.value_or(route.rank);
  }
  info.maxAttempts = route.maxAttempts;
  info.requiredVersion = mOptions.requiredVersion;
  info.fingerprint = request.fingerprint;
  std::vector<std::uint64_t> parts;
  for (const auto& it : request.sharedParts) {
    parts.push_back(it.hash);
  }
  if (!request.prompt) {
    info.SetCrashTraits(request.host + request.path, parts);
    return info;
  }
  const auto& prompt = *request.prompt;
  info.model = ScopedModel(mOptions.service, prompt.model);
  info.promptTokens = prompt.promptTokens;
  info.maxOutputTokens = prompt.maxOutputTokens;
  std::uint64_t hash = policy::StableHash(info.model.Value());
  std::uint32_t end = 0;
  for (const auto& it : request.sharedParts) {
    hash = policy::MixHash(hash, it.hash);
    end += it.tokens.Value();
    info.prefixHashes.push_back(hash);
    info.prefixEnds.emplace_back(end);
  }
  info.SetCrashTraits(request.host + request.path, parts);
  return info;
}

Instant
RelayTask::Now() const
{
  return mContext.executor->Now();
}

void
RelayTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  const bool promptOnly = aOrder.phase == policy::WorkPhase::kPrefill;
  mAttemptCount++;
  mTriedBackends +=
    (mTriedBackends.empty() ? "" : ",") + aOrder.backend.Value();
  mContext.log->Info(
    "dispatched",
    { { "request", mOptions.request.id.Value() },
      { "attempt", std::to_string(aOrder.attempt.Value()) },
      { "backend", aOrder.backend.Value() },
      { "version", VersionOf(aOrder.backend) },
      { "phase", std::string(ToString(aOrder.phase)) },
      { "cause", ToString(aOrder.cause) },
      { "service", mOptions.service.Value() },
      { "urgency", std::to_string(aOrder.urgency.Value()) },
      { "expected_ms", Millis(aOrder.expectedWait) },
      { "cached", std::to_string(aOrder.cachedTokens.Value()) },
      { "limit_ms", Millis(aOrder.limitWait) },
      { "copy_from", aOrder.copyFrom ? aOrder.copyFrom->Value() : "" },
      { "ms", Millis(Now() - mArrival) } });
  mContext.metrics->sentAttempts
    .With({ mOptions.service.Value(), ToString(aOrder.cause) })
    .Add();
  if (aOrder.limitWait > Duration::zero()) {
    mContext.metrics->limitWaits.With({ mOptions.service.Value() }).Add();
  }
  BackendPool::Call call;
  call.backend = aOrder.backend;
  call.address = BackendAddress(AddressOf(aOrder.backend));
  call.request = mOptions.request.id;
  call.mayUseTunnel = true;
  AttemptTerms terms{ .backend = aOrder.backend,
                      .address = call.address.Value(),
                      .timeLeft = std::max(kMinTimeLeft, mDeadline - Now()),
                      .enginePriority = aOrder.urgency.Value(),
                      .resumeAfter = mEvents.LastId(),
                      .promptOnly = promptOnly,
                      .kvCache = {},
                      .copyFrom = AddressOf(aOrder.copyFrom),
                      .hidesKeys = mOptions.table->HasCustomers() };
  if (mOptions.customer != nullptr) {
    terms.customer = mOptions.customer->name;
  }
  if (aOrder.phase == policy::WorkPhase::kDecode) {
    // A KV cache can be taken only once.
    terms.kvCache = std::exchange(mKvCache, std::nullopt);
  }
  call.bytes = mContext.dialect->ComposeRequest(mOptions.request, terms);
  call.body = mOptions.request.body;
  call.noBody = mOptions.request.method == "HEAD";
  if (!mOptions.route->IsRepeatable() && !promptOnly) {
    call.maxIdleAge = kMaxReuseIdleForOnce;
  }
  auto attempt = std::make_unique<RelayAttempt>(
    RelayAttempt::Options{
      .request = mOptions.request.id,
      .number = aOrder.attempt,
      .backend = mContext.backendRegistry->RunOf(aOrder.backend),
      .version = aOrder.version,
      .promptOnly = promptOnly,
      .isStream = mOptions.route->IsStream() && !promptOnly,
      .isContinuation = !mEvents.LastId().empty(),
      .kvCache = std::move(terms.kvCache),
      .memory = { mContext.memory, MemoryUse::kAnswers } },
    *mContext.dialect,
    static_cast<RelayAttemptListener&>(*this));
  if (mOptions.route->IsStream() && !promptOnly) {
    // Before the request, so that others know it whatever becomes of this host.
    ReportStreamSend(aOrder.backend, aOrder.version, false);
  }
  attempt->Start(*mContext.pool, std::move(call));
  mAttempts[aOrder.attempt] = std::move(attempt);
}

void
RelayTask::ReportStreamSend(const BackendId& aBackend,
                            policy::SoftwareVersion aVersion,
                            bool aHasBegun) const
{
  if (!mContext.onStreamSend) {
    return;
  }
  const auto& request = mOptions.request;
  const auto& first =
    request.resumes.Value().empty() ? request.id : request.resumes;
  mContext.onStreamSend(mOptions.service,
                        { .stream = policy::StreamHashOf(first),
                          .version = aVersion,
                          .backend = policy::StableHash(aBackend.Value()),
                          .hasBegun = aHasBegun });
}

void
RelayTask::ReportStreamBegin(const RelayAttempt& aAttempt) const
{
  // If the backend server has got another version under its id meanwhile, the
  // stream may come from either.
  const auto* record = mContext.backendRegistry->Find(aAttempt.Backend());
  const bool isSame = record == nullptr ||
                      policy::SoftwareVersionOf(
                        record->service, record->version) == aAttempt.Version();
  ReportStreamSend(
    aAttempt.Backend(), isSame ? aAttempt.Version() : policy::kNoVersion, true);
}

std::string
RelayTask::AddressOf(const std::optional<BackendId>& aBackend) const
{
  const auto* record =
    aBackend ? mContext.backendRegistry->Find(*aBackend) : nullptr;
  return record == nullptr ? "" : record->address.Value();
}

std::string
RelayTask::VersionOf(const BackendId& aBackend) const
{
  const auto* record = mContext.backendRegistry->Find(aBackend);
  return record == nullptr ? "" : record->version;
}

void
RelayTask::Cancel(AttemptNumber aAttempt)
{
  const auto ended = DetachAttempt(aAttempt);
  mEndedAttemptMayHaveRun =
    mEndedAttemptMayHaveRun || (ended && ended->CanRun());
}

std::shared_ptr<RelayAttempt>
RelayTask::DetachAttempt(AttemptNumber aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return nullptr;
  }
  std::shared_ptr<RelayAttempt> taken(std::move(it->second));
  mAttempts.erase(it);
  // This may be called from the attempt, which must not be destroyed before it
  // returns.
  mContext.executor->Post([taken] {});
  return taken;
}

void
RelayTask::OnAvailability(const policy::BackendRun& aBackend,
                          const AvailabilityNotice& aNotice)
{
  auto& registry = *mContext.backendRegistry;
  if (aNotice.isLeaving) {
    registry.OnLeaving(aBackend);
  }
  if (aNotice.wait) {
    registry.OnAskedToWait(aBackend, *aNotice.wait);
  }
  if (aNotice.hasAccepted) {
    registry.OnAccepted(aBackend);
  }
}

void
RelayTask::OnRateLimit(const policy::BackendRun& aBackend,
                       std::optional<policy::RequestRate> aRate)
{
  const bool changed =
    mContext.router->OnRateLimit(aBackend.id, aBackend.startedAt, aRate, Now());
  if (changed) {
    mContext.log->Info(
      "backend server names its rate limit",
      { { "backend", aBackend.id.Value() },
        { "per_second", aRate ? std::to_string(aRate->Value()) : "" },
        { "request", mOptions.request.id.Value() } });
  }
}

void
RelayTask::OnAttemptError(AttemptNumber aAttempt,
                          AttemptError aError,
                          const std::string& aWhy)
{
  const auto ended = mDone ? nullptr : DetachAttempt(aAttempt);
  if (!ended) {
    return;
  }
  mEndedAttemptMayHaveRun =
    mEndedAttemptMayHaveRun || (ended->CanRun() && !MeansNotRun(aError));
  if (aError == AttemptError::kNotSent && ended->KvCache()) {
    mKvCache = ended->KvCache();
  }
  mContext.metrics->attempts.With({ mOptions.service.Value(), aWhy }).Add();
  mContext.log->Info("attempt ended",
                     { { "request", mOptions.request.id.Value() },
                       { "attempt", std::to_string(aAttempt.Value()) },
                       { "backends", mTriedBackends },
                       { "why", aWhy },
                       { "ms", Millis(Now() - mArrival) } });
  if (mHasBegun && !mEvents.CanResume()) {
    // Another attempt would repeat events that the caller has.
    mContext.router->OnUnrepeatable(mOptions.request.id);
  }
  mContext.router->OnError(mOptions.request.id, aAttempt, aError, Now());
}

void
RelayTask::OnPrefillAnswer(AttemptNumber aAttempt,
                           const BackendAnswer& aAnswer,
                           const BackendId& aBackend)
{
  if (mDone || !mAttempts.contains(aAttempt)) {
    return;
  }
  mContext.log->Info("prompt read",
                     { { "request", mOptions.request.id.Value() },
                       { "backend", aBackend.Value() },
                       { "ms", Millis(Now() - mArrival) } });
  const auto address = AddressOf(aBackend);
  auto kvCache =
    mContext.dialect->ReadPrefillAnswer(aAnswer.head, aAnswer.body, address);
  if (!kvCache) {
    // The outcome becomes a metric label, so it must not contain what the
    // backend server sent.
    mContext.log->Warning("invalid prefill answer",
                          { { "request", mOptions.request.id.Value() },
                            { "backend", aBackend.Value() },
                            { "why", kvCache.error().message } });
  }
  if (!kvCache || address.empty()) {
    OnAttemptError(aAttempt,
                   AttemptError::kRejected,
                   kvCache ? "backend server gone" : "invalid prefill answer");
    return;
  }
  DetachAttempt(aAttempt);
  mKvCache = std::move(*kvCache);
  mKvCacheBackend = aBackend;
  mContext.router->OnPromptPrefilled(mOptions.request.id, aAttempt, Now());
}

void
RelayTask::ReleaseKvCache()
{
  const auto kvCache = std::exchange(mKvCache, std::nullopt);
  if (kvCache) {
    mContext.pool->Send(
      { .backend = mKvCacheBackend,
        .address = BackendAddress(kvCache->address),
        .bytes = mContext.dialect->ComposeKvCacheRelease(*kvCache) });
  }
}

void
RelayTask::OnAttemptFailure(AttemptNumber aAttempt, BackendAnswer aAnswer)
{
  RecordAnswerAsStart();
  const bool mayRepeat = mOptions.route->IsRepeatable() &&
                         aAnswer.head.status >= kFirstServerError && !mHasBegun;
  if (mayRepeat || mHasBegun) {
    const auto why = "status " + std::to_string(aAnswer.head.status);
    if (!mHasBegun) {
      mBackendFailure = std::move(aAnswer);
    }
    OnAttemptError(aAttempt, AttemptError::kFailed, why);
    return;
  }
  OnPlainAnswer(aAttempt, aAnswer);
}

void
RelayTask::OnPlainAnswer(AttemptNumber aAttempt, const BackendAnswer& aAnswer)
{
  RecordAnswerAsStart();
  const auto now = Now();
  const auto& id = mOptions.request.id;
  if (mDone || !mContext.router->OnFirstToken(id, aAttempt, now)) {
    return;
  }
  RecordFirstAnswer();
  mStatus = aAnswer.head.status;
  mOptions.answer->Send(aAnswer.head.status,
                        aAnswer.head.reason,
                        mContext.dialect->CallerHeaders(aAnswer.head),
                        aAnswer.body);
  mContext.router->OnFinish(id, aAttempt, now);
  EndTask(aAnswer.head.status < kPastSuccess ? "answered" : "backend-failure");
}

EventOrder
RelayTask::OnContinuation(const StreamEvent& aEvent)
{
  return mEvents.OrderOf(aEvent);
}

bool
RelayTask::OnFirstEvent(AttemptNumber aAttempt, const MessageHead& aHead)
{
  RecordStart();
  const auto now = Now();
  const auto& id = mOptions.request.id;
  if (mDone || !mContext.router->OnFirstToken(id, aAttempt, now)) {
    return false;
  }
  if (!mHasBegun) {
    mHasBegun = true;
    ReportStreamBegin(*mAttempts.at(aAttempt));
    mStatus = aHead.status;
    RecordFirstAnswer();
    mOptions.answer->Begin(aHead.status,
                           aHead.reason,
                           mContext.dialect->CallerHeaders(aHead),
                           std::nullopt);
  }
  return true;
}

void
RelayTask::OnEvent(AttemptNumber aAttempt, const StreamEvent& aEvent)
{
  if (mDone) {
    return;
  }
  mOptions.answer->Write(aEvent.bytes);
  const auto now = Now();
  if (mEventCount++ > 0) {
    mMaxEventGap = std::max(mMaxEventGap, now - mLastEventTime);
  }
  mLastEventTime = now;
  mEvents.OnDelivered(aEvent);
  mContext.router->OnTokens(mOptions.request.id,
                            aAttempt,
                            policy::Tokens(mOptions.tokensPerEvent),
                            now);
}

void
RelayTask::OnStreamEnd(AttemptNumber aAttempt)
{
  if (mDone) {
    return;
  }
  mOptions.answer->Finish();
  mContext.router->OnFinish(mOptions.request.id, aAttempt, Now());
  EndTask("answered");
}

void
RelayTask::OnEventsDelivered(RelayAttempt& aAttempt)
{
  if (!mDone && mOptions.answer->UnsentBytes() > kMaxUnsentBytes) {
    aAttempt.Pause();
    mContext.router->OnReadPaused(
      mOptions.request.id, aAttempt.Number(), Now());
  }
}

void
RelayTask::OnOutputAccepted()
{
  for (const auto& [number, attempt] : mAttempts) {
    attempt->Resume();
  }
}

void
RelayTask::OnCallerGone()
{
  if (!mDone) {
    mContext.router->OnCallerGone(mOptions.request.id, Now());
    EndTask("caller-gone");
  }
}

void
RelayTask::EndUnanswered(const std::string& aWhy)
{
  if (mDone) {
    return;
  }
  const bool mayHaveRun = MayHaveRun();
  mContext.router->OnCallerGone(mOptions.request.id, Now());
  if (mHasBegun) {
    mOptions.answer->Abort();
    EndTask("timed-out", "stream not whole " + aWhy);
  } else if (mBackendFailure) {
    SendFailure(*mBackendFailure);
    EndTask("backend-failure", "no other answer " + aWhy);
  } else if (mayHaveRun) {
    SendOwnAnswer(OwnAnswerKind::kTimedOut, "no answer " + aWhy);
    EndTask("timed-out", "no answer " + aWhy);
  } else {
    SendOwnAnswer(OwnAnswerKind::kRefused, "no room " + aWhy);
    EndTask("refused", "no room " + aWhy);
  }
}

bool
RelayTask::MayHaveRun() const
{
  return mEndedAttemptMayHaveRun ||
         std::ranges::any_of(mAttempts, [](const auto& aAttempt) {
           return aAttempt.second->CanRun();
         });
}

void
RelayTask::Refuse(const policy::Refusal& aRefusal)
{
  const std::string reason(ToString(aRefusal.reason));
  mContext.metrics->refusals.With({ mOptions.service.Value(), reason }).Add();
  SendOwnAnswer(OwnAnswerKind::kRefused, reason, aRefusal.retryAfter);
  EndTask("refused", reason);
}

void
RelayTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(ToString(aReason));
  if (mHasBegun) {
    mOptions.answer->Abort();
  } else if (mBackendFailure) {
    SendFailure(*mBackendFailure);
  } else {
    SendOwnAnswer(OwnAnswerKind::kFailed, reason);
  }
  EndTask("failed", reason);
}

void
RelayTask::OnCrashedAttempt(const policy::CrashedAttempt& aAttempt)
{
  const auto& request = mOptions.request;
  const bool hasBegun = aAttempt.produced.Value() > 0;
  std::string parts;
  for (const auto& it : request.sharedParts) {
    parts += (parts.empty() ? "" : ",") + Hex(it.hash);
  }
  mContext.metrics->crashedAttempts
    .With({ mOptions.service.Value(), hasBegun ? "yes" : "no" })
    .Add();
  mContext.log->Info(
    "ran at a crash",
    { { "request", request.id.Value() },
      { "attempt", std::to_string(aAttempt.attempt.Value()) },
      { "backends", mTriedBackends },
      { "phase", std::string(ToString(aAttempt.phase)) },
      { "route", mOptions.route->name },
      { "fingerprint", Hex(request.fingerprint.Value()) },
      { "parts", parts },
      { "tokens", std::to_string(aAttempt.produced.Value()) } });
}

void
RelayTask::SendOwnAnswer(OwnAnswerKind aKind,
                         const std::string& aDetail,
                         Duration aRetryAfter)
{
  const auto own =
    mContext.dialect->Compose(aKind, mOptions.request.id, aDetail, aRetryAfter);
  mStatus = own.status;
  mOptions.answer->Send(own.status, own.reason, own.headers, own.body);
}

void
RelayTask::SendFailure(const BackendAnswer& aFailure)
{
  mStatus = aFailure.head.status;
  mOptions.answer->Send(aFailure.head.status,
                        aFailure.head.reason,
                        mContext.dialect->CallerHeaders(aFailure.head),
                        aFailure.body);
}

void
RelayTask::RecordFirstAnswer()
{
  mFirstAnswer = Now() - mArrival;
  mContext.metrics->firstAnswer.With({ mOptions.service.Value() })
    .Observe(ToSeconds(*mFirstAnswer));
}

void
RelayTask::RecordStart()
{
  // A stream that the caller resumes has counted when it began. A hedge whose
  // answer arrives after the end of the request would count in a later window.
  const bool isResumed =
    mOptions.route->IsStream() && !mOptions.request.lastEventId.empty();
  if (mIsCounted || mDone || isResumed) {
    return;
  }
  mIsCounted = true;
  if (mContext.onRequestStarted) {
    mContext.onRequestStarted(mCustomer);
  }
}

void
RelayTask::RecordAnswerAsStart()
{
  if (!mOptions.route->IsStream()) {
    RecordStart();
  }
}

void
RelayTask::EndTask(const std::string& aOutcome, const std::string& aWhy)
{
  mDone = true;
  mDeadlineTimer.Cancel();
  ReleaseKvCache();
  mOptions.answer->Observe(nullptr);
  const auto took = Now() - mArrival;
  const auto& service = mOptions.service.Value();
  mContext.metrics->requests.With({ service, aOutcome }).Add();
  mContext.metrics->requestSeconds.With({ service }).Observe(ToSeconds(took));
  LogFields fields{ { "request", mOptions.request.id.Value() },
                    { "route", mOptions.route->name },
                    { "service", service },
                    { "table",
                      std::to_string(mOptions.table->Version().Value()) },
                    { "outcome", aOutcome },
                    { "why", aWhy },
                    { "status", std::to_string(mStatus) },
                    { "attempts", std::to_string(mAttemptCount) },
                    { "backends", mTriedBackends },
                    { "first_ms", mFirstAnswer ? Millis(*mFirstAnswer) : "" },
                    { "events", std::to_string(mEventCount) },
                    { "gap_ms", Millis(mMaxEventGap) },
                    { "ms", Millis(took) } };
  if (mOptions.customer != nullptr) {
    fields.push_back({ "customer", mOptions.customer->name.Value() });
  }
  if (!mOptions.request.lastEventId.empty()) {
    fields.push_back({ "resumes", mOptions.request.resumes.Value() });
    fields.push_back({ "after_event", mOptions.request.lastEventId });
  }
  mContext.log->Info("request ended", fields);
  mContext.executor->Post(
    [onDone = mOptions.onDone, id = mOptions.request.id] { onDone(id); });
}

} // namespace firefly
