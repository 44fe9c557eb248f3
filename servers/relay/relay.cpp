#include "servers/relay/relay.h"

#include <utility>

#include "policy/policy_set.h"

namespace firefly {

namespace {

// The router requires a call of Tick() every 10 to 20 ms while requests are
// live.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// Number of engines that keep the KV cache of a shared prompt part. The prefill
// work for second copies of all parts would cost more than the better balance
// gains.
constexpr std::uint32_t kHomesPerPrefix = 1;
// An engine with this much predicted wait is full.
constexpr Duration kFullBacklog = std::chrono::milliseconds(1000);
// Number of engines compared in addition to the home. With more of them, relays
// that know the same, slightly outdated load would all choose the same engine.
constexpr std::uint32_t kRandomCandidates = 2;

std::string
Millis(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

// In milliseconds; empty if there is no confirmation.
std::string
AgeText(const policy::AccessTime& aTime)
{
  const auto age = aTime.Age();
  return age ? Millis(*age) : "";
}

policy::PolicySet
MakePolicies(const Relay::Options& aOptions)
{
  auto policies =
    policy::MakePolicySet("firefly",
                          { .self = aOptions.self,
                            .seed = aOptions.seed,
                            .homesPerPrefix = kHomesPerPrefix,
                            .randomCandidates = kRandomCandidates,
                            .domain = aOptions.domain,
                            .crossDomainPenalty = aOptions.crossDomainPenalty,
                            .peersAnnouncePrompts = true,
                            .maxQueueingTime = kFullBacklog,
                            .retryAllowance = aOptions.retryAllowance,
                            .queueBound = aOptions.queueBound,
                            .disabledParts = { "admission", "hedge" } });
  return std::move(policies.value());
}

} // namespace

Relay::Relay(Options aOptions, const Parts& aParts)
  : mOptions(std::move(aOptions))
  , mParts(aParts)
  , mRouter({ .self = mOptions.self, .incarnation = mOptions.incarnation },
            MakePolicies(mOptions),
            *aParts.fleet,
            *this)
{
  mContext = { .executor = mParts.executor,
               .dialect = mParts.dialect,
               .pool = mParts.pool,
               .backendRegistry = mParts.backendRegistry,
               .router = &mRouter,
               .metrics = mParts.metrics,
               .log = &mLog,
               .memory = mParts.memory,
               .onRequestStarted = mParts.onRequestStarted };
  if (mParts.streamOrigins != nullptr) {
    mContext.onStreamSend = [this](const ServiceId& aService,
                                   const policy::StreamSend& aSend) {
      OnStreamSend(aService, aSend);
    };
  }
}

Relay::~Relay() = default;

void
Relay::OnRequest(CallerRequest aRequest, std::shared_ptr<CallerAnswer> aAnswer)
{
  auto read = mParts.dialect->ReadRequest(std::move(aRequest));
  if (!read) {
    RejectRequest(
      *aAnswer, OwnAnswerKind::kMalformed, {}, read.error().message);
    return;
  }
  const auto id = read->id;
  if (mIsClosed) {
    RejectRequest(*aAnswer, OwnAnswerKind::kNotReady, id, "stopping");
    return;
  }
  const auto& table = mParts.routing->Current();
  if (!table) {
    RejectRequest(
      *aAnswer, OwnAnswerKind::kNotReady, id, "no routing table yet");
    return;
  }
  const auto* route = table->Match(read->host, read->path);
  if (route == nullptr) {
    RejectUnrouted(*aAnswer, id);
    return;
  }
  const auto accessTime = GetAccessTime();
  const auto access =
    policy::Decide(*table, *route, read->credentials, accessTime);
  ApplyDecision(access, accessTime, *aAnswer, id);
  if (access.outcome != policy::AccessOutcome::kAdmitted) {
    return;
  }
  if (mTasks.contains(id) || mTakeUps.contains(id)) {
    RejectRequest(
      *aAnswer, OwnAnswerKind::kRefused, id, "request id is running");
    return;
  }
  // A stream goes on at the service that began it.
  const auto& service =
    route->TargetFor(read->resumes.Value().empty() ? id : read->resumes);
  const bool isTakeUp = mParts.streamOrigins != nullptr && route->IsStream() &&
                        !read->lastEventId.empty();
  AdmittedRequest request{ .request = std::move(*read),
                           .table = table,
                           .route = route,
                           .customer = access.customer,
                           .service = service,
                           .arrivedAt = mParts.executor->Now(),
                           .answer = std::move(aAnswer) };
  if (isTakeUp) {
    ContinueStream(std::move(request));
  } else {
    StartTask(std::move(request), std::nullopt);
  }
}

void
Relay::StartTask(AdmittedRequest aRequest,
                 std::optional<policy::SoftwareVersion> aOrigin)
{
  const auto* traits = aRequest.table->Service(aRequest.service);
  const bool hasEngine = traits != nullptr && traits->engine;
  if (!hasEngine) {
    aRequest.request.prompt.reset();
  }
  const auto id = aRequest.request.id;
  auto task = std::make_unique<RelayTask>(
    mContext,
    RelayTask::Options{
      .request = std::move(aRequest.request),
      .table = std::move(aRequest.table),
      .route = aRequest.route,
      .customer = aRequest.customer,
      .service = std::move(aRequest.service),
      .arrivedAt = aRequest.arrivedAt,
      .requiredVersion = aOrigin,
      .tokensPerEvent = hasEngine ? traits->engine->tokensPerEvent : 1,
      .answer = std::move(aRequest.answer),
      .onDone = [this](const RequestId& aId) { mTasks.erase(aId); } });
  mHasRoutedRequest = true;
  auto* started = task.get();
  mTasks[id] = std::move(task);
  started->Start();
  if (!mTickTimer.IsPending()) {
    mTickTimer = mParts.executor->RunAfter(kTickInterval, [this] { Tick(); });
  }
}

// A request that waits until the origin of its stream is known.
class Relay::TakeUp : public CallerObserver
{
public:
  TakeUp(Relay& aRelay, AdmittedRequest aRequest)
    : mRelay(aRelay)
    , mRequest(std::move(aRequest))
  {
    mRequest.answer->Observe(this);
  }
  TakeUp(const TakeUp&) = delete;
  TakeUp& operator=(const TakeUp&) = delete;
  ~TakeUp() override
  {
    if (mRequest.answer) {
      mRequest.answer->Observe(nullptr);
    }
  }

  [[nodiscard]] const AdmittedRequest& Request() const { return mRequest; }
  [[nodiscard]] bool IsCallerGone() const { return mIsCallerGone; }

  AdmittedRequest Release()
  {
    mRequest.answer->Observe(nullptr);
    return std::move(mRequest);
  }

private:
  void OnCallerGone() override
  {
    mIsCallerGone = true;
    mRelay.mParts.executor->Post([relay = &mRelay, id = mRequest.request.id] {
      relay->ResolveTakeUp(id);
    });
  }
  void OnOutputAccepted() override {}

  Relay& mRelay;
  AdmittedRequest mRequest;
  bool mIsCallerGone = false;
};

void
Relay::ContinueStream(AdmittedRequest aRequest)
{
  const auto origin = FindOrigin(aRequest);
  if (origin.source != policy::OriginSource::kUnconfirmed ||
      !mParts.awaitBackends) {
    DecideTakeUp(std::move(aRequest), origin);
    return;
  }
  const auto id = aRequest.request.id;
  const auto asOf = aRequest.arrivedAt;
  mTakeUps[id] = std::make_unique<TakeUp>(*this, std::move(aRequest));
  mParts.awaitBackends(asOf, [this, id] { ResolveTakeUp(id); });
}

void
Relay::ResolveTakeUp(const RequestId& aId)
{
  const auto found = mTakeUps.extract(aId);
  if (found.empty()) {
    return; // it was answered, or its caller left
  }
  auto& takeUp = *found.mapped();
  if (takeUp.IsCallerGone()) {
    mLog.Info("caller left before its stream was continued",
              { { "request", aId.Value() } });
    return;
  }
  const auto origin = FindOrigin(takeUp.Request());
  DecideTakeUp(takeUp.Release(), origin);
}

policy::StreamOrigin
Relay::FindOrigin(const AdmittedRequest& aRequest) const
{
  const auto& first = aRequest.request.resumes;
  const auto stream = first.Value().empty()
                        ? std::nullopt
                        : std::optional(policy::StreamHashOf(first));
  return mParts.streamOrigins->OriginOf(
    aRequest.service, stream, aRequest.arrivedAt, mParts.executor->Now());
}

void
Relay::DecideTakeUp(AdmittedRequest aRequest,
                    const policy::StreamOrigin& aOrigin)
{
  const auto now = mParts.executor->Now();
  const auto& request = aRequest.request;
  const auto& service = aRequest.service;
  const std::string source(ToString(aOrigin.source));
  mParts.metrics->streamResumptions.With({ service.Value(), source }).Add();
  mLog.Info(
    "caller resumes a stream",
    { { "request", request.id.Value() },
      { "resumes", request.resumes.Value() },
      { "after_event", request.lastEventId },
      { "origin", source },
      { "versions",
        std::to_string(mParts.streamOrigins->VersionCount(service, now)) },
      { "waited_ms", Millis(now - aRequest.arrivedAt) } });
  const bool isKnown = aOrigin.source == policy::OriginSource::kRecorded ||
                       aOrigin.source == policy::OriginSource::kOnlyVersion;
  if (isKnown) {
    StartTask(std::move(aRequest), aOrigin.version);
    return;
  }
  RejectRequest(*aRequest.answer,
                OwnAnswerKind::kRefused,
                request.id,
                "version that began the stream is not known",
                { { "resumes", request.resumes.Value() } });
}

void
Relay::OnStreamSend(const ServiceId& aService, const policy::StreamSend& aSend)
{
  auto& origins = *mParts.streamOrigins;
  const auto now = mParts.executor->Now();
  if (origins.NeedsRecords(aService, now) && origins.OnSend(aSend, now) &&
      mParts.announceStreamSend) {
    mParts.announceStreamSend(aSend);
  }
}

void
Relay::OnRejected(const CallerRejection& aRejection)
{
  const auto status = std::to_string(aRejection.status);
  const std::string cause(ToString(aRejection.cause));
  mParts.metrics->rejectedInput.With({ status }).Add();
  mParts.metrics->callerRejections.With({ cause }).Add();
  mLog.Info("input rejected",
            { { "status", status },
              { "cause", cause },
              { "held_bytes", std::to_string(aRejection.heldBytes) },
              { "peer", aRejection.peer } });
}

RefusalAnswer
Relay::ComposeRefusal(const MessageHead& aHead)
{
  auto own = mParts.dialect->Compose(OwnAnswerKind::kRefused,
                                     mParts.dialect->ReadRequestId(aHead),
                                     "no memory for the request's body",
                                     mOptions.retryAfter);
  return { .status = own.status,
           .reason = std::move(own.reason),
           .headers = std::move(own.headers),
           .body = std::move(own.body) };
}

void
Relay::EndRequests()
{
  for (const auto& [id, task] : mTasks) {
    task->EndUnanswered("before the stop");
  }
  for (const auto& [id, takeUp] : std::exchange(mTakeUps, {})) {
    RejectRequest(
      *takeUp->Request().answer, OwnAnswerKind::kNotReady, id, "stopping");
  }
}

void
Relay::RejectUnrouted(CallerAnswer& aAnswer, const RequestId& aId)
{
  const auto time = GetAccessTime();
  if (time.IsInForce()) {
    RejectRequest(aAnswer,
                  OwnAnswerKind::kNoRoute,
                  aId,
                  "no route matches",
                  TableFields(time));
    return;
  }
  OnTableInDoubt("no route");
  RejectRequest(aAnswer,
                OwnAnswerKind::kNotReady,
                aId,
                "no route matches, and the routing table is not confirmed",
                TableFields(time));
}

void
Relay::OnTableInDoubt(std::string_view aDecision)
{
  mParts.metrics->doubtfulRefusals.With({ std::string(aDecision) }).Add();
  if (mParts.confirmTable) {
    mParts.confirmTable();
  }
}

void
Relay::RejectRequest(CallerAnswer& aAnswer,
                     OwnAnswerKind aKind,
                     const RequestId& aId,
                     const std::string& aDetail,
                     const LogFields& aMoreFields)
{
  const auto own =
    mParts.dialect->Compose(aKind, aId, aDetail, mOptions.retryAfter);
  const auto status = std::to_string(own.status);
  mParts.metrics->rejectedInput.With({ status }).Add();
  LogFields fields{ { "request", aId.Value() },
                    { "status", status },
                    { "why", aDetail } };
  fields.insert(fields.end(), aMoreFields.begin(), aMoreFields.end());
  mLog.Info("request turned away", fields);
  aAnswer.Send(own.status, own.reason, own.headers, own.body);
}

LogFields
Relay::TableFields(const policy::AccessTime& aTime) const
{
  return { { "table",
             std::to_string(mParts.routing->Current()->Version().Value()) },
           { "source", mParts.routing->Source() },
           { "age_ms", AgeText(aTime) } };
}

policy::AccessTime
Relay::GetAccessTime() const
{
  policy::AccessTime time{ .now = mParts.executor->Now(),
                           .stalenessBound = mOptions.stalenessBound,
                           .changeBound = mOptions.changeBound };
  if (mParts.tableConfirmedAt) {
    time.confirmedAt = mParts.tableConfirmedAt();
  }
  if (mParts.logAwaySince) {
    time.logAwaySince = mParts.logAwaySince();
  }
  return time;
}

void
Relay::LogStalenessChange(const policy::AccessTime& aTime)
{
  const bool isStale = aTime.IsStale();
  if (std::exchange(mIsTableStale, isStale) == isStale) {
    return;
  }
  const LogFields fields{ { "age_ms", AgeText(aTime) } };
  if (isStale) {
    mLog.Warning("keys not accepted: routing table not confirmed", fields);
  } else {
    mLog.Info("keys accepted: routing table confirmed", fields);
  }
}

void
Relay::ApplyDecision(const policy::AccessDecision& aDecision,
                     const policy::AccessTime& aTime,
                     CallerAnswer& aAnswer,
                     const RequestId& aId)
{
  if (!mParts.routing->Current()->HasCustomers()) {
    return;
  }
  LogStalenessChange(aTime);
  const std::string outcome(ToString(aDecision.outcome));
  if (aDecision.outcome == policy::AccessOutcome::kAdmitted) {
    const auto* customer = aDecision.customer;
    mParts.metrics->accessDecisions
      .With({ customer != nullptr ? outcome : outcome + " without customer" })
      .Add();
    if (customer != nullptr) {
      mParts.metrics->customerRequests.With({ customer->name.Value() }).Add();
    }
    return;
  }
  mParts.metrics->accessDecisions.With({ outcome }).Add();
  const bool isUnconfirmed =
    aDecision.outcome == policy::AccessOutcome::kUnconfirmed;
  if (isUnconfirmed) {
    OnTableInDoubt("access");
  }
  RejectRequest(aAnswer,
                isUnconfirmed ? OwnAnswerKind::kNotReady
                              : OwnAnswerKind::kUnauthenticated,
                aId,
                outcome,
                TableFields(aTime));
}

void
Relay::Tick()
{
  mRouter.Tick(mParts.executor->Now());
  if (!mTasks.empty()) {
    mTickTimer = mParts.executor->RunAfter(kTickInterval, [this] { Tick(); });
  }
}

void
Relay::Dispatch(const policy::DispatchOrder& aOrder)
{
  mTasks.at(aOrder.requestId)->Dispatch(aOrder);
}

void
Relay::Cancel(const RequestId& aId, policy::AttemptNumber aAttempt)
{
  mTasks.at(aId)->Cancel(aAttempt);
}

void
Relay::Refuse(const RequestId& aId, const policy::Refusal& aRefusal)
{
  mTasks.at(aId)->Refuse(aRefusal);
}

void
Relay::Fail(const RequestId& aId, policy::FailureReason aReason)
{
  mTasks.at(aId)->Fail(aReason);
}

policy::LinkState
Relay::Link() const
{
  return mParts.linkState ? mParts.linkState() : policy::LinkState::kSound;
}

void
Relay::OnCrashedAttempt(const policy::CrashedAttempt& aAttempt)
{
  mTasks.at(aAttempt.requestId)->OnCrashedAttempt(aAttempt);
}

void
Relay::Announce(const policy::BackendNotice& aNotice)
{
  if (mParts.announce) {
    mParts.announce(aNotice);
  }
}

void
Relay::AnnounceCrashSuspicions(
  const std::vector<policy::CrashSuspicion>& aChanges)
{
  if (mParts.announceCrashSuspicions) {
    mParts.announceCrashSuspicions(aChanges);
  }
}

} // namespace firefly
