#include "servers/relay/role_order_issuer.h"

#include <utility>

namespace firefly {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(500);
// A change must have been wanted for this long before it is ordered. The time
// is longer before the first request, so that the records of a new fleet have
// arrived.
constexpr Duration kMinWantedTimeWithoutTraffic =
  std::chrono::milliseconds(1500);
constexpr Duration kMinWantedTime = std::chrono::milliseconds(1000);
// Time between the candidacies of relays of consecutive ranks.
constexpr Duration kCandidacyStagger = std::chrono::seconds(6);
// A candidacy ends when no change has been wanted for this long.
constexpr Duration kCandidacyIdleTimeout = std::chrono::seconds(2);
// An order whose effect is unknown may still be carried out within this time.
// The engine is sent no other order until then, whatever it has answered.
constexpr Duration kOrderEffectTimeout = std::chrono::seconds(15);
constexpr Duration kOrderTimeout = std::chrono::seconds(2);
// Time between polls of the authority stream while this relay is a candidate.
constexpr Duration kPollInterval = std::chrono::milliseconds(1000);

} // namespace

// The objects that only a candidate needs. They do not exist while no change is
// wanted, so that the log is not polled.
struct RoleOrderIssuer::Candidacy
{
  Candidacy(const coord::AuthorityStream::Options& aStream,
            const coord::Lease::Options& aLease,
            Executor& aExecutor,
            coord::LogClient& aLog,
            coord::LeaseObserver& aObserver)
    : stream(aStream, aExecutor, aLog)
    , lease(aLease, aExecutor, stream, aObserver)
  {
    stream.Start();
    lease.Start();
  }

  coord::AuthorityStream stream;
  coord::Lease lease;
};

// One order that waits for its answer.
class RoleOrderIssuer::OrderCall : public BackendCallObserver
{
public:
  OrderCall(RoleOrderIssuer& aIssuer, BackendId aBackend)
    : mIssuer(aIssuer)
    , mBackend(std::move(aBackend))
  {
  }

  void Start(BackendPool::Call aCall)
  {
    mCall = mIssuer.mParts.pool->Start(std::move(aCall), *this);
    mTimer = mIssuer.mParts.executor->RunAfter(kOrderTimeout,
                                               [this] { End("no answer"); });
  }

  ResponseMatch MatchResponse(const MessageHead& /*aHead*/) override
  {
    return ResponseMatch::kUnidentified;
  }
  void OnHead(const MessageHead& aHead) override { mStatus = aHead.status; }
  void OnBody(std::string /*aBytes*/) override {}
  void OnEnd() override { End("status " + std::to_string(mStatus)); }
  void OnFault(BackendCallFault /*aFault*/) override { End("no answer"); }

private:
  void End(const std::string& aOutcome)
  {
    mTimer.Cancel();
    mIssuer.mParts.executor->Post(
      [issuer = &mIssuer, backend = mBackend, aOutcome] {
        issuer->OnAnswer(backend, aOutcome);
      });
  }

  RoleOrderIssuer& mIssuer;
  BackendId mBackend;
  std::unique_ptr<BackendCall> mCall;
  int mStatus = 0;
  Timer mTimer;
};

RoleOrderIssuer::RoleOrderIssuer(Options aOptions, Parts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
  , mPlanner(mOptions.plan)
{
}

RoleOrderIssuer::~RoleOrderIssuer() = default;

void
RoleOrderIssuer::Start()
{
  mStarted = true;
  if (mOptions.plan.prefillShare != 0.0) {
    Tick();
  }
}

void
RoleOrderIssuer::Stop()
{
  mStarted = false;
  mTimer.Cancel();
  mCandidacy.reset();
}

void
RoleOrderIssuer::SetPlan(const policy::PrefillSharePlanner::Options& aPlan)
{
  mOptions.plan = aPlan;
  mPlanner = policy::PrefillSharePlanner(aPlan);
  if (mStarted && !mTimer.IsPending()) {
    Start();
  }
}

void
RoleOrderIssuer::Tick()
{
  mTimer = mParts.executor->RunAfter(kTickInterval, [this] { Tick(); });
  const auto now = mParts.executor->Now();
  const bool hasRoutedRequest = mParts.hasRoutedRequest();
  const auto changes =
    mPlanner.Plan(*mParts.fleet, hasRoutedRequest, mParts.loadsOf, now);
  if (changes.empty()) {
    mWantedSince.reset();
    if (mCandidacy && now - mLastWanted > kCandidacyIdleTimeout) {
      // The lease is not released but expires: a successor must not send orders
      // at once.
      EndCandidacy();
    }
    return;
  }
  mLastWanted = now;
  mWantedSince = mWantedSince.value_or(now);
  const auto minWantedTime =
    hasRoutedRequest ? kMinWantedTime : kMinWantedTimeWithoutTraffic;
  if (now - *mWantedSince < minWantedTime) {
    return;
  }
  if (mCandidacy) {
    SendOrders(changes);
  } else if (now - *mWantedSince >=
             minWantedTime +
               kCandidacyStagger * static_cast<int>(mParts.rank())) {
    BecomeCandidate();
  }
}

void
RoleOrderIssuer::OnLogRestored()
{
  // The copy may lack the newest claims and renewals, so that a lease that it
  // does not show can still be held.
  mNotCandidateBefore = mParts.executor->Now() + 2 * mOptions.lease;
  if (mCandidacy) {
    EndCandidacy();
  }
}

void
RoleOrderIssuer::EndCandidacy()
{
  mLog.Info("candidacy for the authority ended");
  const auto holder = mCandidacy->lease.CurrentHolder();
  if (holder && holder->host == mOptions.host &&
      holder->incarnation == mOptions.incarnation) {
    mFormerEnd = mCandidacy->stream.Folding().Position();
  }
  mCandidacy.reset();
}

void
RoleOrderIssuer::BecomeCandidate()
{
  if (mParts.executor->Now() < mNotCandidateBefore) {
    return;
  }
  mLog.Info("candidacy for the authority started");
  mCandidacy = std::make_unique<Candidacy>(
    coord::AuthorityStream::Options{
      .writer = coord::WriterId(
        mOptions.host.Value() + "/" +
        std::to_string(mOptions.incarnation.Value()) + "/" +
        std::to_string(mParts.executor->Now().time_since_epoch().count())),
      .backendChart = mOptions.backendChart,
      .pollInterval = kPollInterval,
      .checkpointInterval = mOptions.lease / 2,
      .formerEnd = mFormerEnd,
      .seed = mOptions.seed },
    coord::Lease::Options{ .host = mOptions.host,
                           .incarnation = mOptions.incarnation,
                           .chart = mOptions.authorityChart,
                           .duration = mOptions.lease,
                           .grace = mOptions.lease,
                           .renewInterval = mOptions.lease / 3,
                           .stagger = Duration::zero(),
                           .seed = mOptions.seed },
    *mParts.executor,
    *mParts.log,
    static_cast<coord::LeaseObserver&>(*this));
}

void
RoleOrderIssuer::OnAcquired(FencingNumber aFence)
{
  mLog.Info("authority acquired",
            { { "fence", std::to_string(aFence.Value()) } });
}

void
RoleOrderIssuer::OnLost()
{
  mLog.Warning("authority lost");
}

void
RoleOrderIssuer::OnHolderChanged(const coord::LeaseHolder& aHolder)
{
  mLog.Info("authority holder changed",
            { { "holder", aHolder.host.Value() },
              { "fence", std::to_string(aHolder.fence.Value()) } });
}

void
RoleOrderIssuer::SendOrders(const std::vector<policy::RoleChange>& aChanges)
{
  for (const auto& change : aChanges) {
    // Checked before each order: the lease may have expired while the process
    // was suspended.
    const auto fence = mCandidacy->lease.Held();
    if (!fence) {
      return;
    }
    const auto it = mNotBefore.find(change.backend);
    if (it == mNotBefore.end() || mParts.executor->Now() >= it->second) {
      SendOrder(change, *fence);
    }
  }
}

void
RoleOrderIssuer::SendOrder(const policy::RoleChange& aChange,
                           FencingNumber aFence)
{
  const auto* record = mParts.backendRegistry->Find(aChange.backend);
  if (record == nullptr) {
    return;
  }
  mNotBefore[aChange.backend] = mParts.executor->Now() + kOrderEffectTimeout;
  policy::StageLoads loads;
  for (const auto& model : mParts.fleet->Find(aChange.backend)->models) {
    loads += mParts.loadsOf(model);
  }
  mLog.Info("order given",
            { { "backend", aChange.backend.Value() },
              { "role", std::string(ToString(aChange.role)) },
              { "fence", std::to_string(aFence.Value()) },
              { "prefill_work", std::to_string(loads.prefill.work) },
              { "prefill_waiting", std::to_string(loads.prefill.waiting) },
              { "decode_work", std::to_string(loads.decode.work) },
              { "decode_waiting", std::to_string(loads.decode.waiting) } });
  auto call = std::make_unique<OrderCall>(*this, aChange.backend);
  call->Start({ .backend = aChange.backend,
                .address = record->address,
                .bytes = mParts.dialect->ComposeOrder(
                  { .backend = aChange.backend,
                    .address = record->address.Value(),
                    .role = aChange.role,
                    .holder = mOptions.host,
                    .fence = aFence }) });
  mCalls[aChange.backend] = std::move(call);
}

void
RoleOrderIssuer::OnAnswer(const BackendId& aBackend,
                          const std::string& aOutcome)
{
  if (mCalls.erase(aBackend) > 0) {
    mLog.Info("order answered",
              { { "backend", aBackend.Value() }, { "outcome", aOutcome } });
  }
}

} // namespace firefly
