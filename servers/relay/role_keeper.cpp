#include "servers/relay/role_keeper.h"

#include <utility>

namespace firefly {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
// A change must have been wanted for so long, so that the records of a fresh
// fleet have come.
constexpr Duration kHoldFresh = std::chrono::milliseconds(1500);
constexpr Duration kHold = std::chrono::milliseconds(1000);
// Between the candidacies of two relays.
constexpr Duration kRankStep = std::chrono::seconds(6);
// A candidacy ends when nothing was wanted for so long.
constexpr Duration kIdle = std::chrono::seconds(2);
// An order without a known effect may still be carried out this much later;
// until then its engine gets no other one.
constexpr Duration kOrderMemory = std::chrono::seconds(15);
constexpr Duration kOrderTimeout = std::chrono::seconds(2);
// Between polls of the authority's stream while this relay is a candidate.
constexpr Duration kPoll = std::chrono::milliseconds(1000);

} // namespace

// Everything that a candidate needs; none of it exists while no change is
// wanted, so that nothing polls the log.
struct RoleKeeper::Candidacy
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

// One order under way.
class RoleKeeper::OrderCall : public BackendCallObserver
{
public:
  OrderCall(RoleKeeper& aKeeper, BackendId aBackend)
    : mKeeper(aKeeper)
    , mBackend(std::move(aBackend))
  {
  }

  void Start(BackendPool::Call aCall)
  {
    mCall = mKeeper.mParts.pool->Start(std::move(aCall), *this);
    mTimer = mKeeper.mParts.executor->RunAfter(kOrderTimeout,
                                               [this] { End("no answer"); });
  }

  bool IsMine(const MessageHead& /*aHead*/) override { return true; }
  void OnHead(const MessageHead& aHead) override { mStatus = aHead.status; }
  void OnBody(std::string /*aBytes*/) override {}
  void OnEnd() override { End("status " + std::to_string(mStatus)); }
  void OnFault(BackendCallFault /*aFault*/) override { End("no answer"); }

private:
  void End(const std::string& aOutcome)
  {
    mTimer.Cancel();
    mKeeper.mParts.executor->Post(
      [keeper = &mKeeper, backend = mBackend, aOutcome] {
        keeper->OnAnswer(backend, aOutcome);
      });
  }

  RoleKeeper& mKeeper;
  BackendId mBackend;
  std::unique_ptr<BackendCall> mCall;
  int mStatus = 0;
  Timer mTimer;
};

RoleKeeper::RoleKeeper(Options aOptions, Parts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
  , mPlanner(mOptions.plan)
{
}

RoleKeeper::~RoleKeeper() = default;

void
RoleKeeper::Start()
{
  mStarted = true;
  if (mOptions.plan.promptShare > 0) {
    Tick();
  }
}

void
RoleKeeper::Stop()
{
  mStarted = false;
  mTimer.Cancel();
  mCandidacy.reset();
}

void
RoleKeeper::SetPlan(const policy::StagePlanner::Options& aPlan)
{
  mOptions.plan = aPlan;
  mPlanner = policy::StagePlanner(aPlan);
  if (mStarted && !mTimer.Pending()) {
    Start();
  }
}

void
RoleKeeper::Tick()
{
  mTimer = mParts.executor->RunAfter(kTick, [this] { Tick(); });
  const auto now = mParts.executor->Now();
  const bool hadTraffic = mParts.hadTraffic();
  const auto changes = mPlanner.Plan(*mParts.fleet, hadTraffic);
  if (changes.empty()) {
    mWantedSince.reset();
    if (mCandidacy && now - mIdleSince > kIdle) {
      // The lease lapses by itself: a successor must not give orders at once.
      mLog.Info("no candidate any more");
      mCandidacy.reset();
    }
    return;
  }
  mIdleSince = now;
  mWantedSince = mWantedSince.value_or(now);
  const auto hold = hadTraffic ? kHold : kHoldFresh;
  if (now - *mWantedSince < hold) {
    return;
  }
  if (mCandidacy) {
    GiveOrders(changes);
  } else if (now - *mWantedSince >=
             hold + kRankStep * static_cast<int>(mParts.rank())) {
    BecomeCandidate();
  }
}

void
RoleKeeper::BecomeCandidate()
{
  mLog.Info("candidate for the authority");
  mCandidacy = std::make_unique<Candidacy>(
    coord::AuthorityStream::Options{
      .writer = coord::WriterId(
        mOptions.host.Value() + "/" +
        std::to_string(mOptions.incarnation.Value()) + "/" +
        std::to_string(mParts.executor->Now().time_since_epoch().count())),
      .backendChart = mOptions.backendChart,
      .pollInterval = kPoll,
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
RoleKeeper::OnAcquired(FencingNumber aFence)
{
  mLog.Info("authority acquired",
            { { "fence", std::to_string(aFence.Value()) } });
}

void
RoleKeeper::OnLost()
{
  mLog.Warning("authority lost");
}

void
RoleKeeper::OnHolderChanged(const coord::LeaseHolder& aHolder)
{
  mLog.Info("authority seen",
            { { "holder", aHolder.host.Value() },
              { "fence", std::to_string(aHolder.fence.Value()) } });
}

void
RoleKeeper::GiveOrders(const std::vector<policy::RoleChange>& aChanges)
{
  for (const auto& change : aChanges) {
    // Asked for each order: a process that was stopped holds nothing any more.
    const auto fence = mCandidacy->lease.Held();
    if (!fence) {
      return;
    }
    const auto it = mNotBefore.find(change.backend);
    if (it == mNotBefore.end() || mParts.executor->Now() >= it->second) {
      Give(change, *fence);
    }
  }
}

void
RoleKeeper::Give(const policy::RoleChange& aChange, FencingNumber aFence)
{
  const auto* record = mParts.directory->Find(aChange.backend);
  if (record == nullptr) {
    return;
  }
  mNotBefore[aChange.backend] = mParts.executor->Now() + kOrderMemory;
  mLog.Info("order given",
            { { "backend", aChange.backend.Value() },
              { "role", std::string(ToString(aChange.role)) },
              { "fence", std::to_string(aFence.Value()) } });
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
RoleKeeper::OnAnswer(const BackendId& aBackend, const std::string& aOutcome)
{
  if (mCalls.erase(aBackend) > 0) {
    mLog.Info("order answered",
              { { "backend", aBackend.Value() }, { "outcome", aOutcome } });
  }
}

} // namespace firefly
