#include "servers/duties/duty_holder.h"

#include <utility>

namespace firefly {

namespace {

constexpr std::size_t kCandidates = 2;
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
// A starting relay does not know the others yet and takes itself for the first
// one. Gossip takes some seconds among hundreds of hosts.
constexpr Duration kJoinDelay = std::chrono::seconds(5);
// A candidate whose rank changes stays one until its successor has joined and
// read the stream.
constexpr Duration kLeaveDelay = std::chrono::seconds(10);
// After a restore of the log, the former holder becomes a candidate this much
// earlier than others.
constexpr Duration kFormerHolderLead = std::chrono::seconds(3);
// Time between polls of the stream.
constexpr Duration kPollInterval = std::chrono::milliseconds(1000);

// A token is at least 1, and the first offset of a stream is 0.
DutyToken
TokenOf(FencingNumber aFence)
{
  return DutyToken(aFence.Value() + 1);
}

} // namespace

struct DutyHolder::Candidacy
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

DutyHolder::DutyHolder(Options aOptions, Parts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
{
}

DutyHolder::~DutyHolder() = default;

void
DutyHolder::Start()
{
  mRankSince = mParts.executor->Now();
  Tick();
}

void
DutyHolder::Stop()
{
  mTimer.Cancel();
  mCandidacy.reset();
}

std::optional<DutyToken>
DutyHolder::Held() const
{
  const auto fence = mCandidacy ? mCandidacy->lease.Held() : std::nullopt;
  return fence ? std::optional(TokenOf(*fence)) : std::nullopt;
}

void
DutyHolder::OnLogRestored()
{
  const auto now = mParts.executor->Now();
  mNotCandidateBefore = now + 2 * mOptions.lease +
                        (mWasLastHolder ? Duration::zero() : kFormerHolderLead);
  if (mCandidacy) {
    mLog.Info("candidacy for the duties ended");
    mCandidacy.reset();
  }
}

void
DutyHolder::Abandon()
{
  mLog.Warning("candidacy for the duties abandoned");
  mCandidacy.reset();
  mRankSince = mParts.executor->Now();
}

std::optional<DutyHolderId>
DutyHolder::CurrentHolder() const
{
  const auto holder =
    mCandidacy ? mCandidacy->lease.CurrentHolder() : std::nullopt;
  if (!holder) {
    return std::nullopt;
  }
  return DutyHolderId{ .host = holder->host, .token = TokenOf(holder->fence) };
}

void
DutyHolder::Tick()
{
  mTimer = mParts.executor->RunAfter(kTickInterval, [this] { Tick(); });
  const auto now = mParts.executor->Now();
  const bool hasRank = mParts.rank() < kCandidates;
  if (hasRank != mHasRank) {
    mHasRank = hasRank;
    mRankSince = now;
  }
  if (hasRank && !mCandidacy && now - mRankSince >= kJoinDelay &&
      now >= mNotCandidateBefore) {
    BecomeCandidate();
  } else if (!hasRank && mCandidacy && now - mRankSince >= kLeaveDelay) {
    // The lease is not released but expires: calls of this relay may still be
    // executed, so a successor must not make calls at once.
    mLog.Info("candidacy for the duties ended");
    mCandidacy.reset();
  }
}

void
DutyHolder::BecomeCandidate()
{
  mLog.Info("candidacy for the duties started");
  mCandidacy = std::make_unique<Candidacy>(
    coord::AuthorityStream::Options{
      .stream = mOptions.stream,
      .writer = coord::WriterId(
        mOptions.host.Value() + "/" +
        std::to_string(mOptions.incarnation.Value()) + "/" +
        std::to_string(mParts.executor->Now().time_since_epoch().count())),
      .backendChart = mOptions.backendChart,
      .pollInterval = kPollInterval,
      .checkpointInterval = mOptions.lease / 2,
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
DutyHolder::OnAcquired(FencingNumber aFence)
{
  mWasLastHolder = true;
  mLog.Info("duties acquired",
            { { "token", std::to_string(TokenOf(aFence).Value()) } });
}

void
DutyHolder::OnLost()
{
  mLog.Warning("duties lost");
}

void
DutyHolder::OnHolderChanged(const coord::LeaseHolder& aHolder)
{
  mWasLastHolder = mWasLastHolder && aHolder.host == mOptions.host;
  mLog.Info("duty holder changed",
            { { "holder", aHolder.host.Value() },
              { "token", std::to_string(TokenOf(aHolder.fence).Value()) } });
}

} // namespace firefly
