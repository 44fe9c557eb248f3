#include "coord/lease.h"

#include <algorithm>
#include <utility>

namespace firefly::coord {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr Duration kReleaseTimeout = std::chrono::seconds(5);

constexpr const char* kHolding = "holding";
constexpr const char* kLapsed = "lapsed";
constexpr const char* kFollower = "follower";

} // namespace

Lease::Lease(const Options& aOptions,
             Executor& aExecutor,
             AuthorityStream& aStream,
             LeaseObserver& aObserver)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mStream(aStream)
  , mObserver(aObserver)
  , mMachine(*aOptions.chart)
  , mRandom(aOptions.seed)
{
  mStream.Folding().AddObserver(*this);
}

Lease::~Lease()
{
  mStream.Folding().RemoveObserver(*this);
}

void
Lease::Start()
{
  DrawClaimDelay();
  Tick();
}

std::optional<FencingNumber>
Lease::Held() const
{
  if (!mMachine.Is(kHolding) || mExecutor.Now() >= mValidUntil) {
    return std::nullopt;
  }
  return mFence;
}

std::optional<LeaseHolder>
Lease::CurrentHolder() const
{
  const auto& lease = mStream.State().Lease();
  if (!lease) {
    return std::nullopt;
  }
  return LeaseHolder{ .host = lease->holder,
                      .incarnation = lease->incarnation,
                      .fence = lease->fence };
}

void
Lease::Tick()
{
  mTimer = mExecutor.RunAfter(kTickInterval, [this] { Tick(); });
  if (mMachine.Is(kFollower)) {
    TickFollower();
    return;
  }
  TickHolder();
}

// A follower sends a claim once the newest lease that it read, or one that the
// log may no longer show, has expired, its random delay has passed, and a read
// sent after that found no newer lease.
void
Lease::TickFollower()
{
  if (mIsResigned) {
    return;
  }
  const auto now = mExecutor.Now();
  const auto due = LeaseExpiry() + mClaimDelay;
  const auto fresh = mStream.Folding().FreshAt();
  if (!fresh || now < due) {
    return;
  }
  if (*fresh < due) {
    mStream.Folding().ReadNow();
    return;
  }
  SendClaim();
}

Instant
Lease::LeaseExpiry() const
{
  const auto& lease = mStream.State().Lease();
  const auto read = mStream.LeaseReadAt();
  if (lease ? lease->released : !mStream.MayHideLease()) {
    return read;
  }
  // This process held the lease through a former object that no longer exists,
  // so there is no need to wait for it to expire.
  if (lease && lease->holder == mOptions.host &&
      lease->incarnation == mOptions.incarnation) {
    return read;
  }
  return read + mOptions.duration + mOptions.grace;
}

void
Lease::SendClaim()
{
  ++mClaims;
  mMachine.Fire("claim");
  const auto sent = mExecutor.Now();
  mStream.Writer().Append(
    RecordKind::kClaim,
    AuthorityState::ClaimBody(mStream.State().Lease(),
                              mOptions.host,
                              mOptions.incarnation,
                              mStream.Silent()),
    sent + mOptions.duration,
    mGuard.Wrap(
      [this, sent](const tl::expected<Confirmation, WriteError>& aResult) {
        OnClaim(sent, aResult);
      }));
}

void
Lease::OnClaim(Instant aSent,
               const tl::expected<Confirmation, WriteError>& aResult)
{
  if (!aResult || !aResult->accepted || mIsResigned) {
    mMachine.Fire("lost");
    DrawClaimDelay();
    return;
  }
  mFence = FencingNumber(aResult->offset.Value());
  mNewestFence = mFence;
  mRenewSent = aSent;
  mMachine.Fire("won");
  Extend(aSent);
  if (Held()) {
    mObserver.OnAcquired(*mFence);
  }
}

void
Lease::TickHolder()
{
  const bool holder = mMachine.Is(kHolding) || mMachine.Is(kLapsed);
  if (!holder) {
    return;
  }
  if (mExecutor.Now() >= mValidUntil) {
    Lapse();
    if (mStream.Folding().State() == StreamFold::Status::kLost) {
      // Nobody can tell any more whether the lease is still the newest.
      OnSuperseded();
      return;
    }
  }
  if (mExecutor.Now() - mRenewSent >= mOptions.renewInterval) {
    // Both share one append.
    mStream.MaintainCheckpoint();
    SendRenewal();
  }
}

void
Lease::SendRenewal()
{
  const auto sent = mExecutor.Now();
  const auto fence = *mFence;
  mRenewSent = sent;
  mStream.Writer().Append(
    RecordKind::kRenewal,
    AuthorityState::RenewalBody(fence),
    sent + mOptions.duration,
    mGuard.Wrap([this, fence, sent](
                  const tl::expected<Confirmation, WriteError>& aResult) {
      OnRenewal(fence, sent, aResult);
    }));
}

void
Lease::OnRenewal(FencingNumber aFence,
                 Instant aSent,
                 const tl::expected<Confirmation, WriteError>& aResult)
{
  if (!aResult || !aResult->accepted || mFence != aFence) {
    return;
  }
  const bool lapsed = !Held();
  // Orders sent before the lapse may still be in transit. Wait for the grace
  // period, as another candidate would have to.
  if (lapsed && mExecutor.Now() < mValidUntil + mOptions.grace) {
    return;
  }
  Extend(aSent);
  if (mExecutor.Now() >= mValidUntil) {
    return;
  }
  mMachine.Fire("renewed");
  if (lapsed) {
    mObserver.OnAcquired(aFence);
  }
}

// The duration of the lease counts from the time when its record was sent.
void
Lease::Extend(Instant aSent)
{
  mValidUntil =
    std::max(mValidUntil, aSent + mOptions.duration - mOptions.margin);
  const auto left = std::max(mValidUntil - mExecutor.Now(), Duration::zero());
  mLapseTimer = mExecutor.RunAfter(left, [this] { Lapse(); });
}

void
Lease::Lapse()
{
  if (mMachine.Is(kHolding) && mMachine.Fire("lapse")) {
    mObserver.OnLost();
  }
}

void
Lease::OnApplied(const RecordId&, LogOffset, bool)
{
  CheckHolder();
}

void
Lease::OnCaughtUp()
{
  CheckHolder();
  if (mMachine.Is(kFollower) && mTimer.IsPending()) {
    TickFollower();
  }
}

void
Lease::CheckHolder()
{
  const auto holder = CurrentHolder();
  if (!holder || holder->fence == mNewestFence) {
    return;
  }
  mNewestFence = holder->fence;
  DrawClaimDelay();
  if (mFence && *mFence != holder->fence) {
    OnSuperseded();
  }
  mObserver.OnHolderChanged(*holder);
}

void
Lease::OnSuperseded()
{
  const bool held = mMachine.Is(kHolding);
  mFence.reset();
  mValidUntil = Instant{};
  mLapseTimer.Cancel();
  mMachine.Fire("superseded");
  if (held) {
    mObserver.OnLost();
  }
}

void
Lease::Resign(std::function<void(bool)> aCallback)
{
  mIsResigned = true;
  if (!mFence) {
    mExecutor.Post(
      mGuard.Wrap([callback = std::move(aCallback)] { callback(true); }));
    return;
  }
  const auto fence = *mFence;
  const bool held = mMachine.Is(kHolding);
  mFence.reset();
  mValidUntil = Instant{};
  mLapseTimer.Cancel();
  mMachine.Fire("release");
  mStream.Writer().Append(
    RecordKind::kRelease,
    AuthorityState::ReleaseBody(fence),
    mExecutor.Now() + kReleaseTimeout,
    [callback = std::move(aCallback)](
      const tl::expected<Confirmation, WriteError>& aResult) {
      callback(aResult && aResult->accepted);
    });
  if (held) {
    mObserver.OnLost();
  }
}

void
Lease::DrawClaimDelay()
{
  mClaimDelay = FromSeconds(ToSeconds(mOptions.stagger) * mRandom.Uniform());
}

} // namespace firefly::coord
